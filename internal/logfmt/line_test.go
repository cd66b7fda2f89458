// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rs/zerolog"

	"sassafrasfront.example/internal/logfmt"
)

func BenchmarkLine(b *testing.B) {
	log := logfmt.New(io.Discard, "info")
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("requestId", "7fc51bd4df09197c").Dur("afterMs", 5*time.Millisecond).Str("to", "sidecar-nbo-b-23").Str("load", "6.6/14").Float64("slowdown", 1).Float64("failing", 0).Dur("serviceMs", 372*time.Millisecond).Dur("reportAgeMs", 121*time.Millisecond).Msg("request sent")
	}
}

// TestLine has one row for each kind of field, and rows for events without a message or value.
func TestLine(t *testing.T) {
	tests := map[string]struct {
		log  func(z *zerolog.Logger)
		want string
	}{
		"fields by name": {
			log:  func(z *zerolog.Logger) { z.Info().Int("b", 2).Str("a", "x").Float64("c", 1.5).Msg("m") },
			want: "level=info event=m a=x b=2 c=1.5",
		},
		"no message": {
			log:  func(z *zerolog.Logger) { z.Warn().Bool("yes", true).Send() },
			want: "level=warn yes=true",
		},
		"escapes": {
			log:  func(z *zerolog.Logger) { z.Info().Str("k", "ü\t\u2028x").Msg("m") },
			want: `level=info event=m k="ü\t\u2028x"`,
		},
		"braces and commas in text": {
			log:  func(z *zerolog.Logger) { z.Info().Str("k", `},"x":{`).Str("l", "a,b").Msg("m") },
			want: `level=info event=m k="},\"x\":{" l=a,b`,
		},
		"a list": {
			log:  func(z *zerolog.Logger) { z.Info().Strs("k", []string{"a", "b]"}).Int("n", 1).Msg("m") },
			want: `level=info event=m k="[\"a\",\"b]\"]" n=1`,
		},
		"nothing": {
			log:  func(z *zerolog.Logger) { z.Info().Interface("k", nil).Msg("m") },
			want: "level=info event=m k=null",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			log := logfmt.New(&b, "info")
			test.log(&log)
			when, rest, _ := strings.Cut(b.String(), " ")
			qt.Check(t, strings.HasPrefix(when, "time=20"), qt.IsTrue, qt.Commentf("%s", when))
			qt.Check(t, rest, qt.Equals, test.want+"\n")
		})
	}
}
