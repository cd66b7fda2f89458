// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/verdict"
)

// TestResourceVersionOrder parses and compares resource versions.
func TestResourceVersionOrder(t *testing.T) {
	versions := []string{"0", "7", "900", "1/1", "1/870", "1/900", "2/0", "2/870", "10/3"}
	for i, a := range versions {
		v, err := objectapi.ParseResourceVersion(a)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, v.String(), qt.Equals, a)
		for k, b := range versions {
			w, err := objectapi.ParseResourceVersion(b)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, v.Less(w), qt.Equals, i < k, qt.Commentf("%s and %s", a, b))
		}
	}
	for _, bad := range []string{"", "x", "/", "1/", "/1", "1/2/3", "-1", "1/x", "x/1"} {
		_, err := objectapi.ParseResourceVersion(bad)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
}

// response is a response of the platform to one call.
type response struct {
	era    string // empty for none
	status int
}

// TestEras sends responses with various sequences of eras. Those with an invalid or earlier era
// are rejected with a reason, and the known era stays.
func TestEras(t *testing.T) {
	ok := func(era string) response { return response{era: era, status: 200} }
	tests := map[string]struct {
		responses []response
		advanceTo uint64 // AdvanceEra is called with it before the last response
		rejected  bool   // whether the last response is rejected
		failed    bool   // whether the last call fails
		era       uint64 // known at the end
		changes   []objectapi.EraChange
	}{
		"none":                       {responses: []response{ok(""), ok("")}},
		"the first":                  {responses: []response{ok("5")}, era: 5, changes: []objectapi.EraChange{{New: 5}}},
		"the first is zero":          {responses: []response{ok("0"), ok("0")}, changes: []objectapi.EraChange{{}}},
		"the same":                   {responses: []response{ok("5"), ok("5")}, era: 5, changes: []objectapi.EraChange{{New: 5}}},
		"rises":                      {responses: []response{ok("5"), ok("6")}, era: 6, changes: []objectapi.EraChange{{New: 5}, {Old: 5, New: 6, Restored: true}}},
		"rises from none":            {responses: []response{ok(""), ok("1")}, era: 1, changes: []objectapi.EraChange{{New: 1, Restored: true}}},
		"rises twice":                {responses: []response{ok("0"), ok("2")}, era: 2, changes: []objectapi.EraChange{{}, {New: 2, Restored: true}}},
		"the first after a refusal":  {responses: []response{{status: 503}, ok("5")}, era: 5, changes: []objectapi.EraChange{{New: 5}}},
		"rises with a failure":       {responses: []response{ok("5"), {era: "6", status: 404}}, failed: true, era: 6, changes: []objectapi.EraChange{{New: 5}, {Old: 5, New: 6, Restored: true}}},
		"an earlier one":             {responses: []response{ok("5"), ok("6"), ok("5")}, rejected: true, failed: true, era: 6, changes: []objectapi.EraChange{{New: 5}, {Old: 5, New: 6, Restored: true}}},
		"missing after one":          {responses: []response{ok("5"), ok("")}, rejected: true, failed: true, era: 5, changes: []objectapi.EraChange{{New: 5}}},
		"not a number":               {responses: []response{ok("5"), ok("six")}, rejected: true, failed: true, era: 5, changes: []objectapi.EraChange{{New: 5}}},
		"negative":                   {responses: []response{ok("-1")}, rejected: true, failed: true},
		"AdvanceEra to a later one":  {responses: []response{ok("5"), ok("5")}, advanceTo: 6, rejected: true, failed: true, era: 6, changes: []objectapi.EraChange{{New: 5}, {Old: 5, New: 6, Restored: true}}},
		"AdvanceEra to the same one": {responses: []response{ok("5"), ok("6")}, advanceTo: 6, era: 6, changes: []objectapi.EraChange{{New: 5}, {Old: 5, New: 6, Restored: true}}},
		"missing in a refusal":       {responses: []response{ok("5"), {status: 503}}, rejected: true, failed: true, era: 5, changes: []objectapi.EraChange{{New: 5}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var next response
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if next.era != "" {
					w.Header().Set("Era", next.era)
				}
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(next.status)
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			var changes []objectapi.EraChange
			var rejected error
			c := &objectapi.JSONClient{
				URL: server.URL,
				ParseEra: func(h http.Header) (uint64, bool, error) {
					if h.Get("Era") == "" {
						return 0, false, nil
					}
					era, err := strconv.ParseUint(h.Get("Era"), 10, 64)
					return era, true, err
				},
				OnEraChange: func(e objectapi.EraChange) { changes = append(changes, e) },
				OnRejected:  func(reason error) { rejected = reason },
			}
			var err error
			for i, r := range test.responses {
				if i == len(test.responses)-1 && test.advanceTo > 0 {
					c.AdvanceEra(test.advanceTo)
				}
				next, rejected = r, nil
				_, err = c.Do(context.Background(), http.MethodGet, "/", nil, nil)
			}
			qt.Check(t, rejected != nil, qt.Equals, test.rejected, qt.Commentf("%v", rejected))
			qt.Check(t, err != nil, qt.Equals, test.failed, qt.Commentf("%v", err))
			qt.Check(t, c.Era(), qt.Equals, test.era)
			qt.Check(t, changes, qt.DeepEquals, test.changes)
			if next.status == 503 {
				e, ok := err.(*objectapi.Error)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, e.Status, qt.Equals, 503, qt.Commentf("the status is kept"))
				qt.Check(t, e.RetryAfter, qt.Equals, 3*time.Second)
			} else if test.rejected {
				e, ok := err.(*objectapi.Error)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Check(t, e.Verdict, qt.Equals, verdict.MayHaveRun, qt.Commentf("a write may have taken effect"))
			}
		})
	}
}
