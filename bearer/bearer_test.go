// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package bearer_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/bearer"
)

// TestKey has one row for each form of the field. The responses to them are tested in package
// caller.
func TestKey(t *testing.T) {
	for name, row := range map[string]struct {
		values []string
		want   string // empty if there is no key
	}{
		"a key":                  {[]string{"Bearer abc-._~+/="}, "abc-._~+/="},
		"other case":             {[]string{"bEaReR abc"}, "abc"},
		"spaces":                 {[]string{"Bearer    abc"}, "abc"},
		"the longest":            {[]string{"Bearer " + strings.Repeat("k", 1024)}, strings.Repeat("k", 1024)},
		"longer":                 {[]string{"Bearer " + strings.Repeat("k", 1025)}, ""},
		"none":                   {nil, ""},
		"several":                {[]string{"Bearer abc", "Bearer abc"}, ""},
		"a second, empty field":  {[]string{"Bearer abc", ""}, ""},
		"empty":                  {[]string{""}, ""},
		"the scheme alone":       {[]string{"Bearer"}, ""},
		"the scheme and a space": {[]string{"Bearer "}, ""},
		"another scheme":         {[]string{"Basic abc"}, ""},
		"a longer scheme":        {[]string{"Bearers abc"}, ""},
		"two words":              {[]string{"Bearer abc def"}, ""},
		"a control character":    {[]string{"Bearer a\x7fc"}, ""},
		"not ASCII":              {[]string{"Bearer \u00e9"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			key, err := bearer.Key(http.Header{"Authorization": row.values})
			qt.Check(t, key, qt.Equals, row.want)
			qt.Check(t, err == nil, qt.Equals, row.want != "")
			if err != nil && len(row.values) > 0 {
				qt.Check(t, strings.Contains(err.Error(), "abc"), qt.IsFalse)
			}
		})
	}
}

// TestStrip checks which values of the field are left on public routes and on others.
func TestStrip(t *testing.T) {
	for value, left := range map[string]bool{
		"Basic dTpw":    true,
		"Digest a=b":    true,
		"Bearer abc":    false,
		"bEARER  abc":   false,
		"Bearer\tabc":   false,
		"Bearer":        false,
		"Bearer, a abc": false,
		"abc":           false,
		"":              false,
	} {
		for public, left := range map[bool]bool{true: left, false: false} {
			h := http.Header{"Authorization": {"Basic first", value}, "X-Other": {"Bearer abc"}}
			bearer.Strip(h, public)
			qt.Check(t, len(h["Authorization"]) > 0, qt.Equals, left, qt.Commentf("%q, public %v", value, public))
			qt.Check(t, h["X-Other"], qt.HasLen, 1)
		}
	}
}
