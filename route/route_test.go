// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/route"
)

func targets(n int) map[string]route.Target {
	m := make(map[string]route.Target)
	for i := range n {
		m[fmt.Sprint(i)] = route.Target{Slots: 10}
	}
	return m
}

// share returns the fraction of n picks, each ended at once, that chose key.
func share(p *route.Pool[string], n int, key string) float64 {
	var hits int
	for range n {
		u, ok := p.Pick(nil)
		if !ok {
			continue
		}
		if u.Key() == key {
			hits++
		}
		u.Done(route.Succeeded)
	}
	return float64(hits) / float64(n)
}

func TestPoliciesCoverAllUpstreams(t *testing.T) {
	for _, name := range []string{"twoChoice", "random", "roundRobin", "leastOutstanding", "hotCold", "fastest"} {
		t.Run(name, func(t *testing.T) {
			policy, ok := route.ByName(name)
			qt.Assert(t, ok, qt.IsTrue)
			p := &route.Pool[string]{Policy: policy}
			p.SetTargets(targets(4))
			for i := range 4 {
				got := share(p, 4000, fmt.Sprint(i))
				qt.Check(t, got > 0.15 && got < 0.35, qt.IsTrue, qt.Commentf("share %v", got))
			}
		})
	}
	_, ok := route.ByName("best")
	qt.Check(t, ok, qt.IsFalse)
}

func TestTwoChoiceAvoids(t *testing.T) {
	normal := route.Load{Running: 5, Slots: 10, ServiceTime: 20 * time.Millisecond}
	tests := map[string]struct {
		load   route.Load
		target route.Target
		after  time.Duration
		most   float64
	}{
		"slow":              {load: route.Load{Running: 5, Slots: 10, ServiceTime: 200 * time.Millisecond}, most: 0.001},
		"full":              {load: route.Load{Running: 10, Waiting: 8, Slots: 10, ServiceTime: 20 * time.Millisecond}, most: 0.001},
		"draining":          {load: route.Load{Running: 5, Slots: 10, ServiceTime: 20 * time.Millisecond, Draining: true}},
		"far away":          {load: normal, target: route.Target{Slots: 10, Distance: 40 * time.Millisecond}, most: 0.001},
		"slow, an hour ago": {load: route.Load{Running: 5, Slots: 10, ServiceTime: 200 * time.Millisecond}, after: time.Hour, most: 0.4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var p route.Pool[string]
				all := targets(4)
				if test.target.Slots > 0 {
					all["0"] = test.target
				}
				p.SetTargets(all)
				p.Observe("0", test.load)
				for i := 1; i < 4; i++ {
					p.Observe(fmt.Sprint(i), normal)
				}
				time.Sleep(test.after)
				got := share(&p, 4000, "0")
				qt.Check(t, got <= test.most, qt.IsTrue, qt.Commentf("share %v", got))
				if test.after > 0 {
					qt.Check(t, got > 0.1, qt.IsTrue, qt.Commentf("a stale report must lose its weight; share %v", got))
				}
			})
		})
	}
}

// TestBurstIsSpreadBetweenReports checks that a burst between two reports is spread, as the pool counts
// its own requests in flight before any report does.
func TestBurstIsSpreadBetweenReports(t *testing.T) {
	var p route.Pool[string]
	p.SetTargets(targets(5))
	counts := make(map[string]int)
	for range 50 {
		u, _ := p.Pick(nil)
		counts[u.Key()]++
	}
	for k, n := range counts {
		qt.Check(t, n <= 15, qt.IsTrue, qt.Commentf("%s got %d of 50", k, n))
	}
}

func TestLocalFirstWhileItHasAFreeSlot(t *testing.T) {
	p := &route.Pool[string]{}
	all := targets(5)
	all["0"] = route.Target{Slots: 10, Local: true}
	p.SetTargets(all)
	for i := range 10 {
		u, _ := p.Pick(nil)
		qt.Check(t, u.Key(), qt.Equals, "0", qt.Commentf("pick %d", i))
	}
	u, _ := p.Pick(nil)
	qt.Check(t, u.Key(), qt.Not(qt.Equals), "0")
}

func TestEjection(t *testing.T) {
	tests := map[string]struct {
		outcomes []route.Outcome
		failing  int // upstreams that fail so, of 4
		ejected  bool
	}{
		"one failure":                    {outcomes: []route.Outcome{route.Failed}, failing: 1},
		"three failures":                 {outcomes: []route.Outcome{route.Failed, route.Failed, route.Failed}, failing: 1, ejected: true},
		"a success between":              {outcomes: []route.Outcome{route.Failed, route.Failed, route.Succeeded, route.Failed}, failing: 1},
		"refusals":                       {outcomes: []route.Outcome{route.Refused, route.Refused, route.Refused}, failing: 1},
		"unreachable":                    {outcomes: []route.Outcome{route.Unreachable}, failing: 1, ejected: true},
		"half of them unreachable":       {outcomes: []route.Outcome{route.Unreachable}, failing: 2, ejected: true},
		"most unreachable: none ejected": {outcomes: []route.Outcome{route.Unreachable}, failing: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &route.Pool[string]{Policy: route.Random{}}
				p.SetTargets(targets(4))
				for i := range test.failing {
					for _, o := range test.outcomes {
						u, ok := p.Pick(func(k string) bool { return k != fmt.Sprint(i) })
						qt.Assert(t, ok, qt.IsTrue)
						u.Done(o)
					}
				}
				_, ok := p.Pick(func(k string) bool { return k != "0" })
				qt.Check(t, ok, qt.Equals, !test.ejected)
			})
		})
	}
}

func TestProbeAfterEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var p route.Pool[string]
		p.SetTargets(targets(4))
		only := func(k string) bool { return k != "0" }
		u, _ := p.Pick(only)
		u.Done(route.Unreachable)
		time.Sleep(2 * time.Second)
		probe, ok := p.Pick(only)
		c.Assert(ok, qt.IsTrue)
		_, ok = p.Pick(only)
		c.Check(ok, qt.IsFalse, qt.Commentf("one probe at a time"))
		probe.Done(route.Succeeded)
		_, ok = p.Pick(only)
		c.Check(ok, qt.IsTrue)
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var p route.Pool[string]
			p.SetTargets(targets(n))
			for b.Loop() {
				u, _ := p.Pick(nil)
				u.Done(route.Succeeded)
			}
		})
	}
}
