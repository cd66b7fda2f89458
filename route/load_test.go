// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/route"
)

// TestCrossing has a node send to six upstreams in its availability zone and six in other zones.
// Each is slowed down fourfold a quarter of the time and runs two to seven requests, the most
// that it may run on its nine slots. A request takes 1.7 times as long beyond eight tenths of the
// slots, as was observed of upstreams on instances that they share. It is in time if it takes no
// more than 2.5 times the usual service time.
func TestCrossing(t *testing.T) {
	const (
		members          = 6 // in the zone, and as many outside
		slots            = 7
		requests         = 4000
		usualServiceTime = 480 * time.Millisecond
		onTime           = 2.5 // usual service times
	)
	type result struct{ crossed, inTime float64 }
	simulate := func(crossing float64, nearSlow float64) (f result) {
		random := rand.New(rand.NewPCG(1, 2))
		for range requests {
			p := &route.Pool[string]{Policy: route.Fastest{}}
			targets := make(map[string]route.Target)
			loads := make(map[string]route.Load)
			for i := range 2 * members {
				key := fmt.Sprint(i)
				slow, target := 0.25, route.Target{Slots: slots}
				if i < members {
					slow = nearSlow
				} else {
					target.ZoneCrossingCost = crossing
					target.Distance = 12 * time.Millisecond
				}
				load := route.Load{Running: 2 + random.IntN(6), Slots: slots, ServiceTime: usualServiceTime, Slowdown: 1}
				if random.Float64() < slow {
					load.Slowdown = 4
				}
				targets[key], loads[key] = target, load
			}
			p.SetTargets(targets)
			for key, load := range loads {
				p.Observe(key, load)
			}
			assignment, _ := p.Pick(nil)
			load := loads[assignment.Key()]
			took := load.Slowdown
			if load.Running+1 > slots {
				took++ // it waits
			} else if load.Running >= slots-1 {
				took *= 1.7
			}
			if targets[assignment.Key()].ZoneCrossingCost > 0 || targets[assignment.Key()].Distance > 0 {
				f.crossed += 1.0 / requests
			}
			if took <= onTime {
				f.inTime += 1.0 / requests
			}
		}
		return f
	}
	tests := map[string]struct {
		nearSlow              float64
		withoutCost, withCost result  // without a cost of crossing zones, and with a cost of half a service time
		minCrossed            float64 // with that cost
	}{
		"as usual":                 {nearSlow: 0.25, withoutCost: result{0.30, 0.999}, withCost: result{0.06, 0.999}},
		"the zone is slow":         {nearSlow: 0.9, withoutCost: result{0.85, 0.999}, withCost: result{0.74, 0.999}, minCrossed: 0.6},
		"the whole zone is slowed": {nearSlow: 1, withoutCost: result{1, 0.999}, withCost: result{1, 0.999}, minCrossed: 0.99},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withoutCost, withCost := simulate(0, test.nearSlow), simulate(0.5, test.nearSlow)
			t.Logf("without %+.3f, with %+.3f", withoutCost, withCost)
			qt.Check(t, withoutCost.crossed <= test.withoutCost.crossed+0.1 && withoutCost.crossed >= test.withoutCost.crossed-0.1, qt.IsTrue)
			qt.Check(t, withCost.crossed <= test.withCost.crossed+0.05 && withCost.crossed >= test.minCrossed, qt.IsTrue)
			qt.Check(t, withCost.inTime >= withoutCost.inTime-0.002, qt.IsTrue)
		})
	}
}

// TestSpareByNeed has a node send to a subset of eight of forty upstreams. If those of the
// subset are full or slow and the others are not, it sends to some of the others; otherwise it
// does not.
func TestSpareByNeed(t *testing.T) {
	const (
		members          = 40
		subset           = 8
		slots            = 7
		requests         = 2000
		usualServiceTime = 480 * time.Millisecond
	)
	full := route.Load{Running: slots, Waiting: 3, Slots: slots, ServiceTime: usualServiceTime, Slowdown: 1}
	slow := route.Load{Running: 2, Slots: slots, ServiceTime: usualServiceTime, Slowdown: 4}
	good := route.Load{Running: 3, Slots: slots, ServiceTime: usualServiceTime, Slowdown: 1}
	busy := route.Load{Running: 6, Slots: slots, ServiceTime: usualServiceTime, Slowdown: 1}
	tests := map[string]struct {
		inSubset, others route.Load
		least, most      float64 // fraction of the requests that the others get
	}{
		"the subset is full":        {inSubset: full, others: good, least: 0.95, most: 1},
		"the subset is slow":        {inSubset: slow, others: good, least: 0.95, most: 1},
		"the subset is fast enough": {inSubset: busy, others: good},
		"all are full":              {inSubset: full, others: full, most: 0.5},
		"the others are not known":  {inSubset: full, least: 0.95, most: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var others float64
			for range requests {
				p := &route.Pool[int]{Policy: route.Fastest{}, ExpectedServiceTime: usualServiceTime}
				targets := make(map[int]route.Target)
				for i := range members {
					targets[i] = route.Target{Slots: slots, Spare: i >= subset}
				}
				p.SetTargets(targets)
				for i := range members {
					load := test.inSubset
					if i >= subset {
						load = test.others
					}
					p.Observe(i, load)
				}
				assignment, ok := p.Pick(nil)
				qt.Assert(t, ok, qt.IsTrue)
				if assignment.Key() >= subset {
					others += 1.0 / requests
				}
			}
			t.Logf("%.3f", others)
			qt.Check(t, others >= test.least && others <= test.most, qt.IsTrue)
		})
	}
}
