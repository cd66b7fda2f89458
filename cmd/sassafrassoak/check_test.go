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

// TestChecksFail has one row for each promise, broken.
func TestChecksFail(t *testing.T) {
	run := func(id, route string) platformtest.Run {
		return platformtest.Run{ID: id, Path: "/" + route + "/x", Body: "body of " + id}
	}
	tests := map[string]struct {
		outcome outcome
		runs    []platformtest.Run
		want    string // empty if nothing is broken
	}{
		"served":              {outcome{id: "1", route: "a", status: 200}, []platformtest.Run{run("1", "a")}, ""},
		"idempotent twice":    {outcome{id: "1", route: "b", status: 200}, []platformtest.Run{run("1", "b"), run("1", "b")}, ""},
		"refused":             {outcome{id: "1", route: "a", status: 503}, nil, ""},
		"lost":                {outcome{id: "1", route: "a", status: 502}, []platformtest.Run{run("1", "a")}, ""},
		"twice":               {outcome{id: "1", route: "a", status: 200}, []platformtest.Run{run("1", "a"), run("1", "a")}, "ran twice"},
		"refused and ran":     {outcome{id: "1", route: "a", status: 503}, []platformtest.Run{run("1", "a")}, "told not run"},
		"foreign":             {outcome{id: "1", route: "b", status: 200, wrong: "x"}, []platformtest.Run{run("1", "b")}, "foreign"},
		"denied":              {outcome{id: "1", route: "b", status: http.StatusNotFound}, nil, "denied"},
		"success without run": {outcome{id: "1", route: "b", status: 200}, nil, "without a run"},
		"changed":             {outcome{id: "1", route: "a", status: 200}, []platformtest.Run{run("1", "b")}, "changed"},
		"unasked":             {outcome{id: "1", route: "a", status: 503}, []platformtest.Run{run("2", "a")}, "unasked"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runs := make(map[string][]platformtest.Run)
			for _, r := range test.runs {
				runs[r.ID] = append(runs[r.ID], r)
			}
			broken := checkOutcomes([]outcome{test.outcome}, runs)
			if test.want == "" {
				qt.Check(t, broken, qt.HasLen, 0)
				return
			}
			qt.Assert(t, broken, qt.HasLen, 1)
			qt.Check(t, strings.Contains(broken[0], test.want), qt.IsTrue, qt.Commentf("%s", broken[0]))
		})
	}
}

// TestWorstOfSpan counts what came to an upstream in the worst window while it named a limit.
func TestWorstOfSpan(t *testing.T) {
	from := time.Now()
	s := span{from: from, to: from.Add(20 * time.Second), limit: 2}
	at := func(seconds ...float64) (list []time.Time) {
		for _, x := range seconds {
			list = append(list, from.Add(time.Duration(x*float64(time.Second))))
		}
		return list
	}
	tests := map[string]struct {
		arrivals []time.Time
		most     int
	}{
		"none":                 {},
		"before it was heard":  {arrivals: at(0.1, 0.2, 0.9)},
		"after it was over":    {arrivals: at(20.5, 21)},
		"apart":                {arrivals: at(2, 7, 12), most: 1},
		"together":             {arrivals: at(2, 3, 5.9, 7), most: 3},
		"together, not sorted": {arrivals: at(7, 5.9, 2, 3), most: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			most, bound := s.worst(test.arrivals)
			qt.Check(t, most, qt.Equals, test.most)
			qt.Check(t, bound, qt.Equals, 17.0)
		})
	}
}

// TestLeavingCheckFails has a request run at an upstream after its node has passed on that it leaves.
func TestLeavingCheckFails(t *testing.T) {
	now := time.Now()
	told := outcome{id: "1", node: "n1", ended: now, leaver: "i-1"}
	tests := map[string]struct {
		later  outcome
		broken int
	}{
		"within the bound":  {later: outcome{id: "2", node: "n1", sent: now.Add(drainBound / 2)}},
		"after it":          {later: outcome{id: "2", node: "n1", sent: now.Add(2 * drainBound)}, broken: 1},
		"from another node": {later: outcome{id: "2", node: "n2", sent: now.Add(2 * drainBound)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runs := map[string][]platformtest.Run{"2": {{ID: "2", Upstream: "i-1"}}}
			qt.Check(t, checkLeaving([]outcome{told, test.later}, runs), qt.HasLen, test.broken)
		})
	}
}

func TestChecksOfTimeFail(t *testing.T) {
	now := time.Now()
	ok := outcome{id: "1", status: 200, sent: now.Add(time.Second)}
	bad := outcome{id: "2", status: 503, sent: now.Add(time.Second)}
	qt.Check(t, checkRecovery([]outcome{ok}, now), qt.HasLen, 0)
	qt.Check(t, checkRecovery([]outcome{ok, bad}, now), qt.HasLen, 1)
	qt.Check(t, checkRecovery(nil, now), qt.HasLen, 1)
	cut := outcome{id: "3", connection: true}
	qt.Check(t, checkUncut([]outcome{cut}, nil), qt.HasLen, 0)
	qt.Check(t, checkUncut([]outcome{cut}, map[string][]platformtest.Run{"3": {{ID: "3"}}}), qt.HasLen, 1)

	u := &platformtest.Upstream{ID: "i", Service: "a", Slots: 1}
	addr, err := u.Start()
	qt.Assert(t, err, qt.IsNil)
	defer u.Close()
	n := &node{name: "n"}
	n.upstream.Store(u)
	w := &world{nodes: []*node{n}}
	r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/a/x", nil)
	r.Header.Set(platformtest.RequestID, "late")
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Check(t, w.checkDrains(), qt.HasLen, 0)
	n.drainAcknowledged.Store(time.Now().Add(-time.Hour).UnixNano())
	qt.Check(t, w.checkDrains(), qt.HasLen, 1)
}

// TestDrawRepeats has a seed draw the same faults each time.
func TestDrawRepeats(t *testing.T) {
	for seed := range uint64(50) {
		one, two := draw(seed, time.Minute), draw(seed, time.Minute)
		qt.Assert(t, len(one) > 0, qt.IsTrue)
		qt.Check(t, len(one), qt.Equals, len(two))
		for i := range one {
			qt.Check(t, one[i], qt.Equals, two[i])
		}
	}
}
