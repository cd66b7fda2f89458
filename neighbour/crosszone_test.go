// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package neighbour

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/member"
)

// TestCrossZoneTraffic counts how often a node, in zones of different sizes, pushes a change to
// another zone or compares its state with a node there. The expected number for a whole zone is
// eight whatever its size, and in small zones every node does so. A read status is sent to
// one node of another zone each time.
func TestCrossZoneTraffic(t *testing.T) {
	tests := map[string]struct {
		near, far   int
		least, most float64 // bounds of the fraction of one node's pushes
		targets     int     // number of receivers
	}{
		"no other node in the zone": {far: 20, least: 1, most: 1, targets: fanOut},
		"one other node":            {near: 1, far: 20, least: 1, most: 1, targets: fanOut},
		"a small zone":              {near: 7, far: 20, least: 1, most: 1, targets: fanOut},
		"one zone only":             {near: 20, targets: fanOut},
		"a zone of 25":              {near: 24, far: 50, least: 0.28, most: 0.36, targets: fanOut},
		"a zone of 100":             {near: 99, far: 200, least: 0.06, most: 0.1, targets: fanOut},
		"a zone of 1000":            {near: 999, far: 2000, least: 0.004, most: 0.013, targets: fanOut},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Set{
				Zone:   "here",
				Random: rand.New(rand.NewPCG(1, uint64(test.near))),
			}
			known := NodeCounts{
				Near: test.near,
				Far:  test.far,
			}
			var nearby, elsewhere []member.Record
			for i := range test.near + test.far {
				if i < test.near {
					nearby = append(nearby, nodeIn("here", i))
				} else {
					elsewhere = append(elsewhere, nodeIn("there", i))
				}
			}
			s.TurnOver(func(member.Record) bool { return true }, nearby, elsewhere)
			const draws = 4000
			passed, compared := 0, 0
			for range draws {
				list := s.ForChange(known)
				qt.Assert(t, list, qt.HasLen, test.targets)
				if test.far > 0 && test.near > fanOut {
					qt.Assert(t, outside(s.ForReadStatus()), qt.Equals, 1)
				}
				if outside(list) > 0 {
					passed++
				}
				if first := s.ForComparison(3, known)[0]; first.Zone != "here" {
					compared++
				}
			}
			share := float64(passed) / draws
			qt.Check(t, share >= test.least && share <= test.most, qt.IsTrue, qt.Commentf("%f", share))
			qt.Check(t, float64(compared)/draws <= test.most, qt.IsTrue, qt.Commentf("%d", compared))
		})
	}
}

// outside returns the number of nodes that are in another zone.
func outside(list []member.Record) (n int) {
	for _, t := range list {
		if t.Zone != "here" {
			n++
		}
	}
	return n
}
