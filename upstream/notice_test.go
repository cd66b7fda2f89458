// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// FuzzParseLimit checks that whatever is accepted as a limit is within the bounds.
func FuzzParseLimit(f *testing.F) {
	for _, text := range []string{"7.6", "0", "-1", "1e999", "NaN", "", "0x1p-2", "1_000"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		limit, err := ParseLimit(text)
		if err == nil && !(limit >= 0 && limit <= maxLimit) {
			t.Fatalf("%q is read as %v", text, limit)
		}
	})
}

// TestNoticesOfResponses checks from which responses a notice is taken: not from those of other
// upstreams, and not from those that may be of another upstream and carry neither a limit nor
// leaving.
func TestNoticesOfResponses(t *testing.T) {
	names := FieldNames{
		RequestID:        "Request-Id",
		ExpectedInstance: "Expected",
		NotRun:           "Not-Run",
		Signature:        "Signature",
		Limit:            "Limit",
		Leaving:          "Leaving",
	}
	tests := map[string]struct {
		status int
		fields []string
		want   []Notice
	}{
		"a success":                    {status: 200, fields: []string{"Signature", "s"}, want: []Notice{{}}},
		"a success with a limit":       {status: 200, fields: []string{"Signature", "s", "Limit", "5"}, want: []Notice{{Limited: true, Limit: 5}}},
		"a failure":                    {status: 500, fields: []string{"Limit", "5"}, want: []Notice{{Limited: true, Limit: 5}}},
		"a refusal":                    {status: 503, fields: []string{"Not-Run", "1", "Limit", "5"}, want: []Notice{{Limited: true, Limit: 5}}},
		"another upstream's":           {status: 421, fields: []string{"Limit", "5"}},
		"not signed, without a notice": {status: 200},
		"not signed, with a limit":     {status: 200, fields: []string{"Limit", "5"}, want: []Notice{{Limited: true, Limit: 5}}},
		"an unconfirmed refusal":       {status: 503},
		"not signed, leaving":          {status: 200, fields: []string{"Leaving", "1"}, want: []Notice{{Leaving: true}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for i := 0; i < len(test.fields); i += 2 {
					w.Header().Set(test.fields[i], test.fields[i+1])
				}
				w.WriteHeader(test.status)
			}))
			defer s.Close()
			var got []Notice
			tr := &Transport{
				Addr:  s.Listener.Addr().String(),
				Names: names,
				NoticeReceived: func(n Notice) {
					qt.Check(t, n.SentAt.IsZero(), qt.IsFalse)
					n.SentAt = time.Time{}
					got = append(got, n)
				},
			}
			r, err := http.NewRequest(http.MethodGet, "http://upstream/", nil)
			qt.Assert(t, err, qt.IsNil)
			if response, failure := tr.Send(r, nil); failure == nil {
				_ = response.Body.Close()
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestParseNotice checks the parsing of the limit and leaving fields.
func TestParseNotice(t *testing.T) {
	names := FieldNames{
		Limit:   "Server-Limit",
		Leaving: "Server-Leaving",
	}
	tests := map[string]struct {
		limit, leaving string // "-" means absent
		want           Notice
		fault          string
	}{
		"nothing":         {limit: "-", leaving: "-"},
		"a limit":         {limit: "7.6", leaving: "-", want: Notice{Limited: true, Limit: 7.6}},
		"with spaces":     {limit: " 7.6 ", leaving: "-", want: Notice{Limited: true, Limit: 7.6}},
		"below one":       {limit: "0.25", leaving: "-", want: Notice{Limited: true, Limit: 0.25}},
		"zero":            {limit: "0", leaving: "-", want: Notice{Limited: true}},
		"a huge number":   {limit: "1e300", leaving: "-", want: Notice{Limited: true, Limit: maxLimit}},
		"out of range":    {limit: "1e999", leaving: "-", want: Notice{Limited: true, Limit: maxLimit}},
		"below zero":      {limit: "-1", leaving: "-", fault: `limit "-1" is .*`},
		"no number":       {limit: "NaN", leaving: "-", fault: `limit "NaN" is .*`},
		"infinite":        {limit: "Inf", leaving: "-", fault: `limit "Inf" is .*`},
		"a word":          {limit: "few", leaving: "-", fault: `limit "few" is .*`},
		"empty":           {limit: "", leaving: "-", fault: `limit "" is .*`},
		"leaving":         {limit: "-", leaving: "1", want: Notice{Leaving: true}},
		"not leaving":     {limit: "-", leaving: "0"},
		"leaving, a word": {limit: "-", leaving: "soon", fault: `leaving "soon" is .*`},
		"both":            {limit: "5", leaving: "1", want: Notice{Limited: true, Limit: 5, Leaving: true}},
		"invalid limit":   {limit: "x", leaving: "1", want: Notice{Leaving: true}, fault: `limit "x" is .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			if test.limit != "-" {
				h.Set(names.Limit, test.limit)
			}
			if test.leaving != "-" {
				h.Set(names.Leaving, test.leaving)
			}
			got := parseNotice(h, names)
			if test.fault == "" {
				qt.Check(t, got.Err, qt.IsNil)
			} else {
				qt.Check(t, got.Err, qt.ErrorMatches, test.fault)
			}
			got.Err = nil
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}
