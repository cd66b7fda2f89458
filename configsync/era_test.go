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

// TestZonesOverEras checks that a lower revision of the next era is later than a higher revision of the era
// before, and that the node that has it ignores the other.
func TestZonesOverEras(t *testing.T) {
	now := origin
	old, later := newState(now), newState(now)
	old.SetZones(objectapi.ResourceVersion{Era: 1, Revision: 900})
	old.ReadDone(true, 0, now)
	later.SetZones(objectapi.ResourceVersion{Era: 2, Revision: 870})
	later.ReadDone(true, 0, now)
	qt.Check(t, old.Receive(later.Status(now), now), qt.IsTrue, qt.Commentf("revision 870 of the next era is later"))
	qt.Check(t, later.Receive(old.Status(now), now), qt.IsFalse)
	later.SetZones(objectapi.ResourceVersion{Era: 1, Revision: 901})
	qt.Check(t, later.zones, qt.Equals, objectapi.ResourceVersion{Era: 2, Revision: 870})
}

// TestEraByStatus checks that nodes learn from one another of a new era that one of them has seen, with its
// age, and that all of them wait until the rewrite window has elapsed.
func TestEraByStatus(t *testing.T) {
	now := origin
	first, second, late := newState(now), newState(now), newState(now)
	first.ObserveEra(4, false, now)
	second.ObserveEra(4, false, now)
	qt.Check(t, first.RewriteWindowElapsed(now), qt.IsTrue, qt.Commentf("the era at the start is not a new one"))
	first.ObserveEra(5, true, now)
	qt.Check(t, first.RewriteWindowElapsed(now), qt.IsFalse)
	qt.Check(t, first.EraSeenAt(), qt.Equals, now)

	now = now.Add(rewriteWindow / 2)
	second.Receive(first.Status(now), now)
	qt.Check(t, second.Era(), qt.Equals, uint64(5))
	qt.Check(t, second.RewriteWindowElapsed(now), qt.IsFalse)
	second.ObserveEra(5, true, now)
	qt.Check(t, second.EraSeenAt(), qt.Equals, origin, qt.Commentf("the first observation counts"))

	late.ObserveEra(5, false, now)
	qt.Check(t, late.RewriteWindowElapsed(now), qt.IsTrue, qt.Commentf("it has not received the status yet"))
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

// TestEraReachesAll has the store be unavailable for a while and then restored from a backup while it
// refuses some nodes: all nodes learn of the new era in time, without additional reads.
func TestEraReachesAll(t *testing.T) {
	tests := map[string]struct {
		nodes          int
		unavailable    time.Duration
		refusedPercent int // of the nodes, refused after the restore
		calls          int // bound on the mean per seed, a quarter above the usual number
		seeds          uint64
	}{
		"9 nodes":                        {nodes: 9, seeds: 50, calls: 25},
		"200 nodes, unavailable for 1 s": {nodes: 200, unavailable: time.Second, seeds: 50, calls: 65},
		"200 nodes, unavailable for 5 s": {nodes: 200, unavailable: 5 * time.Second, seeds: 50, calls: 100},
		"200 nodes, a third refused":     {nodes: 200, unavailable: time.Second, refusedPercent: 33, seeds: 50, calls: 65},
		"1000 nodes":                     {nodes: 1000, unavailable: time.Second, seeds: 3, calls: 115},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			var calls int
			for seed := range test.seeds {
				took, made := restoreStore(test.nodes, seed, test.unavailable, test.refusedPercent)
				worst = max(worst, took)
				calls += made
			}
			t.Logf("worst %v, %d calls a seed", worst, calls/int(test.seeds))
			qt.Check(t, worst <= within, qt.IsTrue, qt.Commentf("%v", worst))
			qt.Check(t, calls/int(test.seeds) <= test.calls, qt.IsTrue)
		})
	}
}

// TestEraOfUnluckyReaders guards against nodes that learn late of the store's new era because all nodes in
// two successive rounds of reads were refused.
func TestEraOfUnluckyReaders(t *testing.T) {
	for _, seed := range []uint64{482, 502} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			took, _ := restoreStore(200, seed, time.Second, 33)
			qt.Check(t, took <= within, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// restoreStore simulates a store that is unavailable for a time and is then restored from a backup. From then on
// the store refuses a percentage of the nodes. It returns the time until all nodes knew the new era, and the number of
// calls to the store.
func restoreStore(nodes int, seed uint64, unavailable time.Duration, refusedPercent int) (took time.Duration, calls int) {
	const begin = 10 * time.Second
	s := newSystem(nodes, seed)
	s.era = 1
	s.run(begin)
	s.down = true
	s.run(s.now + unavailable)
	s.down = false
	s.era++
	for _, i := range s.random.Perm(nodes)[:nodes*refusedPercent/100] {
		s.nodes[i].refused = true
	}
	restored := s.now
	for unaware(s) && s.now < restored+3*within {
		s.run(s.now + 10*time.Millisecond)
	}
	took = s.now - restored
	s.run(restored + 3*within)
	return took, s.calls
}

// unaware returns whether some node does not know the store's era.
func unaware(s *system) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.Era() < s.era })
}
