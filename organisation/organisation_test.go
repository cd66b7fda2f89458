// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package organisation_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/organisation"
)

// TestSet looks up organisations by name and by key, also after encoding and decoding them.
func TestSet(t *testing.T) {
	list := []organisation.Organisation{
		{Name: "a", Keys: []organisation.Digest{organisation.DigestOf("key-1"), organisation.DigestOf("key-2")}},
		{Name: "b", Keys: []organisation.Digest{organisation.DigestOf("key-3")}, Rate: 3, Burst: 4},
		{Name: "c"},
	}
	data, err := json.Marshal(list)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(string(data), "key-"), qt.IsFalse, qt.Commentf("%s must not contain a key", data))
	var decoded []organisation.Organisation
	qt.Assert(t, json.Unmarshal(data, &decoded), qt.IsNil)
	for _, l := range [][]organisation.Organisation{list, decoded} {
		s, err := organisation.NewSet(l)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, s.ByKey("key-2").Name, qt.Equals, "a")
		qt.Check(t, s.ByKey("key-3").Rate, qt.Equals, 3.0)
		qt.Check(t, s.ByKey(""), qt.IsNil)
		qt.Check(t, s.ByKey("KEY-1"), qt.IsNil)
		qt.Check(t, s.ByName("c").Name, qt.Equals, "c")
		qt.Check(t, s.ByName("d"), qt.IsNil)
	}
}

// TestNewSetErrors checks that a list with an invalid organisation is refused.
func TestNewSetErrors(t *testing.T) {
	key := []organisation.Digest{organisation.DigestOf("key")}
	for name, list := range map[string][]organisation.Organisation{
		"no name":               {{Keys: key}},
		"a name twice":          {{Name: "a"}, {Name: "a"}},
		"a key twice":           {{Name: "a", Keys: key}, {Name: "b", Keys: key}},
		"a key twice in one":    {{Name: "a", Keys: append(key, key...)}},
		"rate below zero":       {{Name: "a", Rate: -1}},
		"rate not a number":     {{Name: "a", Rate: math.NaN()}},
		"infinite rate":         {{Name: "a", Rate: math.Inf(1)}},
		"burst below zero":      {{Name: "a", Burst: -1}},
		"region without a name": {{Name: "a", Regions: []string{""}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := organisation.NewSet(list)
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}
