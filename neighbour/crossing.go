// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package neighbour

import (
	"slices"

	"sassafrasfront.example/member"
)

const (
	// crossings is how many of the nodes of a zone are expected to push a record to another
	// zone, or to compare their state with one there, of all that do so at about the same time.
	// Each that does takes it to nodes there, which pass it on among themselves. With eight
	// expected none crosses in 0.03% of the cases; the comparisons of the next seconds then find
	// it. A fixed number keeps the bytes between zones for each change from growing with the
	// nodes.
	crossZoneSenders = 8.0
	// fanOut is the number of nodes that a change or news is passed on to.
	fanOut = 4
)

// crosses draws whether this node takes something to another zone, given how many others of its
// own there are.
func (s *Set) sendsToOtherZone(known NodeCounts) bool {
	return s.Random.Float64()*float64(known.Near+1) < crossZoneSenders
}

// ForChange returns the neighbours that a change is pushed to.
func (s *Set) ForChange(known NodeCounts) []member.Record {
	if s.sendsToOtherZone(known) {
		return s.selectFanOut(1)
	}
	return s.selectFanOut(0)
}

// ForNews returns the neighbours that news of a read is passed on to. Each node tells one
// elsewhere: it is some 40 bytes, and its way is that of a configuration.
func (s *Set) ForReadStatus() []member.Record { return s.selectFanOut(1) }

// nearAndFar returns fanOut neighbours, the given number of them in other zones. Where there
// are too few of one kind, there are more of the other.
func (s *Set) selectFanOut(elsewhere int) []member.Record {
	own := fanOut - elsewhere
	var list, rest []member.Record
	for _, r := range s.Sample(MaxNeighbours) {
		left := &elsewhere
		if r.Zone == s.Zone {
			left = &own
		}
		if *left > 0 {
			*left--
			list = append(list, r)
		} else {
			rest = append(rest, r)
		}
	}
	missing := fanOut - len(list)
	return append(list, rest[:min(missing, len(rest))]...)
}

// ForComparison returns the first n neighbours to compare with, in the order in which they are
// tried: those of the own zone first, unless the node draws otherwise.
func (s *Set) ForComparison(n int, known NodeCounts) []member.Record {
	list := s.Sample(MaxNeighbours)
	if !s.sendsToOtherZone(known) {
		slices.SortStableFunc(list, func(a, b member.Record) int { return s.distance(a) - s.distance(b) })
	}
	return list[:min(n, len(list))]
}

// distance returns 0 for a neighbour of the own zone, and 1 for another.
func (s *Set) distance(r member.Record) int {
	if r.Zone == s.Zone {
		return 0
	}
	return 1
}
