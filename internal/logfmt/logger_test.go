// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/logfmt"
)

func TestValuesAreQuoted(t *testing.T) {
	tests := map[string]struct {
		value, want string
	}{
		"plain":     {value: "abc", want: ` k=abc`},
		"space":     {value: "a b", want: ` k="a b"`},
		"newline":   {value: "a\nlevel=error", want: ` k="a\nlevel=error"`},
		"pair":      {value: "a=b", want: ` k="a=b"`},
		"quote":     {value: `a"b`, want: ` k="a\"b"`},
		"empty":     {value: "", want: ` k=""`},
		"control":   {value: "a\x1b[31m", want: ` k="a\x1b[31m"`},
		"backslash": {value: `a\b`, want: ` k="a\\b"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			log := logfmt.New(&b, "info")
			log.Info().Str("k", test.value).Int("n", 7).Bool("yes", true).Err(errors.New("bad thing")).Msg("it happened")
			line := b.String()
			qt.Check(t, strings.Count(line, "\n"), qt.Equals, 1)
			qt.Check(t, line, qt.Contains, test.want)
			qt.Check(t, line, qt.Contains, `level=info event="it happened"`)
			qt.Check(t, line, qt.Contains, ` n=7`)
			qt.Check(t, line, qt.Contains, ` yes=true`)
			qt.Check(t, line, qt.Contains, ` error="bad thing"`)
		})
	}
}

func TestLevel(t *testing.T) {
	var b bytes.Buffer
	log := logfmt.New(&b, "warn")
	log.Info().Msg("no")
	qt.Check(t, b.Len(), qt.Equals, 0)
}
