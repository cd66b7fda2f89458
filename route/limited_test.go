// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/route"
)

// TestLimitedUpstream has one of two upstreams advertise a rate limit, and counts how many of ten
// consecutive requests it is sent, with each policy that considers loads.
func TestLimitedUpstream(t *testing.T) {
	const work = 100 * time.Millisecond
	other := route.Load{Running: 4, Slots: 8, ServiceTime: work, Slowdown: 1}
	tests := map[string]struct {
		limited     route.Load
		after       time.Duration
		least, most int
	}{
		"unused":              {limited: route.Load{Slots: 8, ServiceTime: work, Slowdown: 1, Limited: true, Limit: 10}, least: 1, most: 4},
		"a long wait":         {limited: route.Load{Slots: 8, ServiceTime: work, Slowdown: 1, Limited: true, Limit: 10, LimitWait: time.Second}},
		"the wait is over":    {limited: route.Load{Slots: 8, ServiceTime: work, Slowdown: 1, Limited: true, Limit: 10, LimitWait: time.Second}, after: time.Second, least: 1, most: 4},
		"used up":             {limited: route.Load{Slots: 8, ServiceTime: work, Slowdown: 1, Limited: true, Limit: 10, LimitUsed: 1}, most: 3},
		"a limit of zero":     {limited: route.Load{Slots: 8, ServiceTime: work, Slowdown: 1, Limited: true, LimitWait: 4 * time.Second}},
		"limit does not bind": {limited: route.Load{Slots: 8, ServiceTime: work, Slowdown: 1, Limited: true, Limit: 1e6}, least: 3, most: 10},
		"no limit":            {limited: route.Load{Slots: 8, ServiceTime: work, Slowdown: 1}, least: 3, most: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, policy := range []string{"fastest", "twoChoice"} {
				synctest.Test(t, func(t *testing.T) {
					policy, _ := route.ByName(policy)
					p := &route.Pool[int]{Policy: policy}
					p.SetTargets(map[int]route.Target{0: {Slots: 8}, 1: {Slots: 8}})
					p.Observe(0, test.limited)
					time.Sleep(test.after)
					p.Observe(1, other)
					var sent int
					for range 10 {
						assignment, ok := p.Pick(nil)
						qt.Assert(t, ok, qt.IsTrue)
						if assignment.Key() == 0 {
							sent++
						}
					}
					qt.Check(t, sent >= test.least && sent <= test.most, qt.IsTrue, qt.Commentf("%T: %d", policy, sent))
				})
			}
		})
	}
}

// TestPickWithMaxWait checks that upstreams are skipped where a request would wait too long for
// the rate limit.
func TestPickWithMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &route.Pool[int]{Policy: route.Fastest{}}
		p.SetTargets(map[int]route.Target{0: {Slots: 8}, 1: {Slots: 8}})
		for i, free := range []time.Duration{time.Second, 3 * time.Second} {
			p.Observe(i, route.Load{Slots: 8, Limited: true, Limit: 1, LimitWait: free})
		}
		for name, test := range map[string]struct {
			maxWait time.Duration
			ok      bool
		}{
			"no bound":           {ok: true},
			"long enough":        {maxWait: 2 * time.Second, ok: true},
			"too short for both": {maxWait: 500 * time.Millisecond},
		} {
			assignment, ok := p.PickWithMaxWait(test.maxWait, 0, nil)
			qt.Check(t, ok, qt.Equals, test.ok, qt.Commentf("%s", name))
			if ok {
				qt.Check(t, assignment.Key(), qt.Equals, 0, qt.Commentf("%s", name))
				assignment.Done(route.Refused)
				p.Observe(0, route.Load{Slots: 8, Limited: true, Limit: 1, LimitWait: time.Second})
			}
		}
	})
}
