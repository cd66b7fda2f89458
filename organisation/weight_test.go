// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package organisation_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/organisation"
)

func TestWeight(t *testing.T) {
	limited := []organisation.Organisation{{Name: "a", Rate: 2}, {Name: "b", Rate: 10}, {Name: "free"}}
	tests := map[string]struct {
		list []organisation.Organisation
		name string
		want float64
	}{
		"by its limit":      {list: limited, name: "b", want: 10},
		"without a limit":   {list: limited, name: "free", want: 6},
		"not known":         {list: limited, name: "gone", want: 6},
		"none with a limit": {list: limited[2:], name: "free", want: 1},
		"no organisations":  {name: "gone", want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := organisation.NewSet(test.list)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, s.Weight(test.name), qt.Equals, test.want)
		})
	}
}
