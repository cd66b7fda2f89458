// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// TestCheckOutcomes has a row for each kind of violation.
func TestCheckOutcomes(t *testing.T) {
	run := func(id, route string) platformtest.Run {
		return platformtest.Run{ID: id, Path: "/" + route + "/x", Body: "body of " + id}
	}
	tests := map[string]struct {
		outcome outcome
		runs    []platformtest.Run
		want    string // empty if there is no violation
	}{
		"served":                   {outcome{id: "1", route: "a", status: 200}, []platformtest.Run{run("1", "a")}, ""},
		"idempotent, two runs":     {outcome{id: "1", route: "b", status: 200}, []platformtest.Run{run("1", "b"), run("1", "b")}, ""},
		"refused":                  {outcome{id: "1", route: "a", status: 503}, nil, ""},
		"ran without success":      {outcome{id: "1", route: "a", status: 502}, []platformtest.Run{run("1", "a")}, ""},
		"not idempotent, two runs": {outcome{id: "1", route: "a", status: 200}, []platformtest.Run{run("1", "a"), run("1", "a")}, "ran twice"},
		"refused and ran":          {outcome{id: "1", route: "a", status: 503}, []platformtest.Run{run("1", "a")}, "told not run"},
		"wrong body":               {outcome{id: "1", route: "b", status: 200, wrongBody: "x"}, []platformtest.Run{run("1", "b")}, "foreign"},
		"not found":                {outcome{id: "1", route: "b", status: http.StatusNotFound}, nil, "denied"},
		"success without run":      {outcome{id: "1", route: "b", status: 200}, nil, "without a run"},
		"changed":                  {outcome{id: "1", route: "a", status: 200}, []platformtest.Run{run("1", "b")}, "changed"},
		"not sent":                 {outcome{id: "1", route: "a", status: 503}, []platformtest.Run{run("2", "a")}, "unasked"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runs := make(map[string][]platformtest.Run)
			for _, r := range test.runs {
				runs[r.ID] = append(runs[r.ID], r)
			}
			violations := checkOutcomes([]outcome{test.outcome}, runs)
			if test.want == "" {
				qt.Check(t, violations, qt.HasLen, 0)
				return
			}
			qt.Assert(t, violations, qt.HasLen, 1)
			qt.Check(t, strings.Contains(violations[0], test.want), qt.IsTrue, qt.Commentf("%s", violations[0]))
		})
	}
}

// TestMaxInWindow counts the arrivals in the fullest window while a limit is advertised.
func TestMaxInWindow(t *testing.T) {
	from := time.Now()
	s := limitSpan{from: from, to: from.Add(20 * time.Second), limit: 2}
	at := func(seconds ...float64) (list []time.Time) {
		for _, x := range seconds {
			list = append(list, from.Add(time.Duration(x*float64(time.Second))))
		}
		return list
	}
	tests := map[string]struct {
		arrivals []time.Time
		count    int
	}{
		"none":                      {},
		"before propagation":        {arrivals: at(0.1, 0.2, 0.9)},
		"after the span":            {arrivals: at(20.5, 21)},
		"spread out":                {arrivals: at(2, 7, 12), count: 1},
		"in one window":             {arrivals: at(2, 3, 5.9, 7), count: 3},
		"in one window, not sorted": {arrivals: at(7, 5.9, 2, 3), count: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			count, bound := s.maxInWindow(test.arrivals)
			qt.Check(t, count, qt.Equals, test.count)
			qt.Check(t, bound, qt.Equals, 17.0)
		})
	}
}

// TestCheckLeaving runs a request at an upstream after its entry has received a response stating
// that the upstream is leaving.
func TestCheckLeaving(t *testing.T) {
	now := time.Now()
	first := outcome{id: "1", node: "n1", endedAt: now, leavingUpstream: "i-1"}
	tests := map[string]struct {
		later      outcome
		violations int
	}{
		"within the bound":  {later: outcome{id: "2", node: "n1", sentAt: now.Add(drainBound / 2)}},
		"after the bound":   {later: outcome{id: "2", node: "n1", sentAt: now.Add(2 * drainBound)}, violations: 1},
		"from another node": {later: outcome{id: "2", node: "n2", sentAt: now.Add(2 * drainBound)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runs := map[string][]platformtest.Run{"2": {{ID: "2", Upstream: "i-1"}}}
			qt.Check(t, checkLeaving([]outcome{first, test.later}, runs), qt.HasLen, test.violations)
		})
	}
}

func TestTimedChecks(t *testing.T) {
	now := time.Now()
	ok := outcome{id: "1", status: 200, sentAt: now.Add(time.Second)}
	bad := outcome{id: "2", status: 503, sentAt: now.Add(time.Second)}
	qt.Check(t, checkRecovery([]outcome{ok}, now), qt.HasLen, 0)
	qt.Check(t, checkRecovery([]outcome{ok, bad}, now), qt.HasLen, 1)
	qt.Check(t, checkRecovery(nil, now), qt.HasLen, 1)
	interrupted := outcome{id: "3", connected: true}
	qt.Check(t, checkInterrupted([]outcome{interrupted}, nil), qt.HasLen, 0)
	qt.Check(t, checkInterrupted([]outcome{interrupted}, map[string][]platformtest.Run{"3": {{ID: "3"}}}), qt.HasLen, 1)

	u := &platformtest.Upstream{ID: "i", Service: "a", Slots: 1}
	addr, err := u.Start()
	qt.Assert(t, err, qt.IsNil)
	defer u.Close()
	n := &node{name: "n"}
	n.upstream.Store(u)
	c := &cluster{nodes: []*node{n}}
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/a/x", nil)
	r.Header.Set(platformtest.RequestID, "late")
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Check(t, c.checkDrains(), qt.HasLen, 0)
	n.drainAcknowledged.Store(time.Now().Add(-time.Hour).UnixNano())
	qt.Check(t, c.checkDrains(), qt.HasLen, 1)
}

// TestDrawFaultsRepeats checks that a seed always draws the same faults.
func TestDrawFaultsRepeats(t *testing.T) {
	for seed := range uint64(50) {
		one, two := drawFaults(seed, time.Minute), drawFaults(seed, time.Minute)
		qt.Assert(t, len(one) > 0, qt.IsTrue)
		qt.Check(t, len(one), qt.Equals, len(two))
		for i := range one {
			qt.Check(t, one[i], qt.Equals, two[i])
		}
	}
}
