// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/objectapi"
)

func newState(now time.Time) *State { return New(within, now, rand.New(rand.NewPCG(1, 1))) }

// TestZonesOverEras has a node that has seen a high revision hear of a lower one of the next
// era: it is later, and the one it has is no news to a node that has it.
func TestZonesOverEras(t *testing.T) {
	now := origin
	old, later := newState(now), newState(now)
	old.SetZones(objectapi.Point{Era: 1, Revision: 900})
	old.ReadDone(true, 0, now)
	later.SetZones(objectapi.Point{Era: 2, Revision: 870})
	later.ReadDone(true, 0, now)
	qt.Check(t, old.Receive(later.Status(now), now), qt.IsTrue, qt.Commentf("870 of the next era is later"))
	qt.Check(t, later.Receive(old.Status(now), now), qt.IsFalse)
	later.SetZones(objectapi.Point{Era: 1, Revision: 901})
	qt.Check(t, later.zones, qt.Equals, objectapi.Point{Era: 2, Revision: 870})
}

// TestEraByNews has an era that one node has seen rise become known to others, with its age,
// and all of them wait until operators have written again what was lost.
func TestEraByStatus(t *testing.T) {
	now := origin
	first, second, late := newState(now), newState(now), newState(now)
	first.ObserveEra(4, false, now)
	second.ObserveEra(4, false, now)
	qt.Check(t, first.RewriteWindowElapsed(now), qt.IsTrue, qt.Commentf("an era that was there at the start is none that rose"))
	first.ObserveEra(5, true, now)
	qt.Check(t, first.RewriteWindowElapsed(now), qt.IsFalse)
	qt.Check(t, first.EraSeenAt(), qt.Equals, now)

	now = now.Add(rewriteWindow / 2)
	second.Receive(first.Status(now), now)
	qt.Check(t, second.Era(), qt.Equals, uint64(5))
	qt.Check(t, second.RewriteWindowElapsed(now), qt.IsFalse)
	second.ObserveEra(5, true, now)
	qt.Check(t, second.EraSeenAt(), qt.Equals, origin, qt.Commentf("the first to see it counts"))

	late.ObserveEra(5, false, now)
	qt.Check(t, late.RewriteWindowElapsed(now), qt.IsTrue, qt.Commentf("it can't know better"))
	late.Receive(second.Status(now), now)
	qt.Check(t, late.RewriteWindowElapsed(now), qt.IsFalse)
	second.Receive(ReadStatus{Era: 4}, now)
	qt.Check(t, second.Era(), qt.Equals, uint64(5))

	now = now.Add(rewriteWindow/2 - 1)
	qt.Check(t, late.RewriteWindowElapsed(now), qt.IsFalse)
	now = now.Add(1)
	for _, s := range []*State{first, second, late} {
		qt.Check(t, s.RewriteWindowElapsed(now), qt.IsTrue)
	}
}

// TestEraReachesAll has the store be away for a moment and come back from a copy while it turns
// some nodes away: all nodes know in time, by the reads that there are anyway.
func TestEraReachesAll(t *testing.T) {
	tests := map[string]struct {
		nodes       int
		unavailable time.Duration
		share       int // of the nodes that are turned away afterwards, in percent
		calls       int // of the mean seed, at most: a quarter above what was seen
		seeds       uint64
	}{
		"9 nodes":                 {nodes: 9, seeds: 50, calls: 25},
		"200 nodes, away 1 s":     {nodes: 200, unavailable: time.Second, seeds: 50, calls: 65},
		"200 nodes, away 5 s":     {nodes: 200, unavailable: 5 * time.Second, seeds: 50, calls: 100},
		"200 nodes third refused": {nodes: 200, unavailable: time.Second, share: 33, seeds: 50, calls: 65},
		"1000 nodes":              {nodes: 1000, unavailable: time.Second, seeds: 3, calls: 115},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			var calls int
			for seed := range test.seeds {
				took, made := restoreStore(test.nodes, seed, test.unavailable, test.share)
				worst = max(worst, took)
				calls += made
			}
			t.Logf("worst %v, %d calls a seed", worst, calls/int(test.seeds))
			qt.Check(t, worst <= within, qt.IsTrue, qt.Commentf("%v", worst))
			qt.Check(t, calls/int(test.seeds) <= test.calls, qt.IsTrue)
		})
	}
}

// TestEraOfUnluckyReaders guards against nodes that know late that the store has come back from a copy,
// as two rounds of readers in a row were all turned away.
func TestEraOfUnluckyReaders(t *testing.T) {
	for _, seed := range []uint64{482, 502} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			took, _ := restoreStore(200, seed, time.Second, 33)
			qt.Check(t, took <= within, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// comeBack plays a store that is away for a time and comes back from a copy, while it turns a share of
// the nodes away, in percent. It returns how long it took until all knew, and the calls that were made.
func restoreStore(nodes int, seed uint64, unavailable time.Duration, share int) (took time.Duration, calls int) {
	const begins = 10 * time.Second
	s := newSystem(nodes, seed)
	s.era = 1
	s.run(begins)
	s.down = true
	s.run(s.now + unavailable)
	s.down = false
	s.era++
	for _, i := range s.random.Perm(nodes)[:nodes*share/100] {
		s.nodes[i].refused = true
	}
	back := s.now
	for unaware(s) && s.now < back+3*within {
		s.run(s.now + 10*time.Millisecond)
	}
	took = s.now - back
	s.run(back + 3*within)
	return took, s.calls
}

// unaware returns whether some node does not know the store's era.
func unaware(s *system) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.Era() < s.era })
}
