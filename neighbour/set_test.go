// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package neighbour

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/member"
)

// nodeIn returns the i-th node of a zone.
func nodeIn(zone string, i int) member.Record {
	return member.Record{
		ID:   fmt.Sprint(zone, "-", i),
		Zone: zone,
		Addr: fmt.Sprint(zone, ":", i),
	}
}

// TestLateStarts starts nodes one after another. The first and the last must be neighbours of
// equally many nodes, and no node may have more than MaxNeighbours neighbours.
func TestLateStarts(t *testing.T) {
	tests := map[string]struct{ own, elsewhere int }{
		"few":              {own: 5, elsewhere: 3},
		"one zone":         {own: 100},
		"a hundred of 300": {own: 100, elsewhere: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const sets = 4000
			first, last := 0, 0
			for i := range sets {
				s := &Set{
					Zone:   "here",
					Random: rand.New(rand.NewPCG(7, uint64(i))),
				}
				var known NodeCounts
				for j := range test.elsewhere {
					known.Far++
					s.Consider(nodeIn("there", j), known)
				}
				for j := range test.own {
					known.Near++
					s.Consider(nodeIn("here", j), known)
				}
				qt.Assert(t, s.Len(), qt.Equals, min(near, test.own)+min(far, test.elsewhere))
				has := func(id string) bool {
					return slices.ContainsFunc(s.All(), func(r member.Record) bool { return r.ID == id })
				}
				if has(nodeIn("here", 0).ID) {
					first++
				}
				if has(nodeIn("here", test.own-1).ID) {
					last++
				}
			}
			want := min(1, float64(near)/float64(test.own))
			for _, n := range []int{first, last} {
				share := float64(n) / sets
				qt.Check(t, share > 0.8*want && share <= min(1, 1.2*want), qt.IsTrue, qt.Commentf("%f, want %f", share, want))
			}
		})
	}
}

// TestTurnOver removes and replaces neighbours.
func TestTurnOver(t *testing.T) {
	s := &Set{
		Zone:   "here",
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	var nearby, elsewhere []member.Record
	for i := range 20 {
		nearby = append(nearby, nodeIn("here", i))
		elsewhere = append(elsewhere, nodeIn("there", i))
	}
	stays := func(member.Record) bool { return true }
	s.TurnOver(stays, nearby, elsewhere)
	qt.Assert(t, s.Len(), qt.Equals, MaxNeighbours)
	before := slices.Clone(s.All())
	s.TurnOver(stays, nearby, elsewhere)
	kept := 0
	for _, r := range before {
		if s.HasAddress(r.Addr) {
			kept++
		}
	}
	qt.Check(t, kept >= MaxNeighbours-1, qt.IsTrue, qt.Commentf("%d kept", kept))
	s.TurnOver(func(r member.Record) bool { return r.Zone == "here" }, nearby, nil)
	qt.Check(t, s.Len(), qt.Equals, near, qt.Commentf("no neighbour in other zones is left"))
	gone := s.All()[0]
	s.Remove(gone.ID)
	qt.Check(t, s.HasAddress(gone.Addr), qt.IsFalse)
	s.Clear()
	qt.Check(t, s.Sample(3), qt.HasLen, 0)
}
