// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/verdict"
)

// suspected returns a request, and an index according to which the given number of upstreams have
// crashed with it in flight.
func suspected(crashes int) (*quarantine.Index, quarantine.Fingerprint) {
	p := quarantine.NewFingerprint("caller", "GET", "h.example", "/fatal").WithBody(nil)
	x := new(quarantine.Index)
	for i := range crashes {
		var isolated quarantine.Fingerprint
		if x.Assess(p).State == quarantine.Isolated {
			isolated = p
		}
		x.Add(quarantine.NewCrashReport(fmt.Sprint(i), []quarantine.Fingerprint{p}, isolated))
	}
	return x, p
}

// TestSuspectedRequests checks how often and where a suspected request is sent.
func TestSuspectedRequests(t *testing.T) {
	const gates = 4
	tests := map[string]struct {
		crashes  int
		handlers []gateFunc
		want     verdict.Cause
		calls    int
	}{
		"seen, lost and sent again":         {crashes: 1, handlers: []gateFunc{fail(verdict.UpstreamLost), respond}, calls: 2},
		"seen, refused and sent again":      {crashes: 1, handlers: []gateFunc{fail(verdict.Refused), respond}, calls: 2},
		"isolated, answered":                {crashes: 2, handlers: []gateFunc{respond}, calls: 1},
		"isolated, lost":                    {crashes: 2, handlers: []gateFunc{fail(verdict.UpstreamLost), respond}, want: verdict.UpstreamLost, calls: 1},
		"isolated, another runs there":      {crashes: 2, handlers: []gateFunc{fail(verdict.Refused), respond}, want: verdict.Refused, calls: 1},
		"isolated, its upstream is gone":    {crashes: 2, handlers: []gateFunc{fail(verdict.Misrouted), respond}, calls: 2},
		"blocked":                           {crashes: 3, handlers: []gateFunc{respond}, want: verdict.Quarantined},
		"isolated, quarantined by the gate": {crashes: 2, handlers: []gateFunc{fail(verdict.Quarantined), respond}, want: verdict.Quarantined, calls: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			config := operator.Service{Retry: operator.Retry{MaxAttempts: 3, Ratio: 0.1, Burst: 5}}
			d, g := newDispatcher(t, config, gates, test.handlers...)
			var p quarantine.Fingerprint
			d.Quarantine, p = suspected(test.crashes)
			r := &entry.Request{Service: "service", Method: "GET", Target: "/fatal", Fingerprint: p, Idempotent: true, Deadline: time.Now().Add(5 * time.Second)}
			result, failure := d.Do(context.Background(), r)
			if test.want == "" {
				qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				result.Close()
			} else {
				qt.Assert(t, failure != nil, qt.IsTrue)
				qt.Check(t, failure.Cause, qt.Equals, test.want)
				qt.Check(t, failure.Verdict() != verdict.NotRun || failure.RetryAfter > 0, qt.IsTrue)
			}
			calls, _, _ := g.count()
			qt.Check(t, calls, qt.Equals, test.calls)
		})
	}
}

// TestIsolatedRequestsMeet checks that copies of an isolated request from several nodes are all
// sent to the same upstream, and different requests to different ones.
func TestIsolatedRequestsMeet(t *testing.T) {
	const nodes, requests = 5, 40
	d, g := newDispatcher(t, operator.Service{}, 6, respond)
	members := make(map[string]bool)
	for i := range requests {
		target := fmt.Sprint("/", i)
		p := quarantine.NewFingerprint("caller", "GET", "h.example", target).WithBody(nil)
		index := new(quarantine.Index)
		for _, start := range []string{"a", "b"} {
			index.Add(quarantine.NewCrashReport(start, []quarantine.Fingerprint{p}, quarantine.Fingerprint{}))
		}
		d.Quarantine = index
		g.mu.Lock()
		g.calls = nil
		g.mu.Unlock()
		for n := range nodes {
			d.Hello = peer.Hello{Node: fmt.Sprint("node", n)}
			result, failure := d.Do(context.Background(), &entry.Request{Service: "service", Fingerprint: p, Deadline: time.Now().Add(5 * time.Second)})
			qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			result.Close()
		}
		_, distinct, _ := g.count()
		qt.Check(t, distinct, qt.Equals, 1, qt.Commentf("%v", g.calls))
		members[g.calls[0]] = true
	}
	qt.Check(t, len(members), qt.Equals, 6)
}
