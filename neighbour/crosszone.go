// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package neighbour

import (
	"slices"

	"sassafrasfront.example/member"
)

const (
	// crossZoneSenders is the expected number of nodes of a zone that send a record to another
	// zone, or compare their state with a node there, out of those that do so at about the same
	// time. The nodes that receive the record pass it on within their zone. With an expected
	// number of eight, no node sends in 0.03% of the cases; the comparisons of the next seconds
	// then deliver the record. A fixed number keeps the cross-zone bytes of a change from growing
	// with the number of nodes.
	crossZoneSenders = 8.0
	// fanOut is the number of nodes that a change or a read status is sent to.
	fanOut = 4
)

// sendsToOtherZone decides at random whether this node sends to another zone, given the number of
// other nodes in its zone.
func (s *Set) sendsToOtherZone(known NodeCounts) bool {
	return s.Random.Float64()*float64(known.Near+1) < crossZoneSenders
}

// ForChange returns the neighbours to push a change to.
func (s *Set) ForChange(known NodeCounts) []member.Record {
	if s.sendsToOtherZone(known) {
		return s.selectFanOut(1)
	}
	return s.selectFanOut(0)
}

// ForReadStatus returns the neighbours to forward a read status to. Each node sends it to one node
// of another zone: it has about 40 bytes and travels like a configuration.
func (s *Set) ForReadStatus() []member.Record { return s.selectFanOut(1) }

// selectFanOut returns fanOut neighbours, the given number of them in other zones. If there are too
// few in one kind of zone, more of the other are selected.
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

// ForComparison returns up to n neighbours to compare with, in the order in which to try them:
// those of the node's own zone first, unless the node sends to another zone.
func (s *Set) ForComparison(n int, known NodeCounts) []member.Record {
	list := s.Sample(MaxNeighbours)
	if !s.sendsToOtherZone(known) {
		slices.SortStableFunc(list, func(a, b member.Record) int { return s.distance(a) - s.distance(b) })
	}
	return list[:min(n, len(list))]
}

// distance returns 0 for a neighbour of the node's own zone, and 1 for any other.
func (s *Set) distance(r member.Record) int {
	if r.Zone == s.Zone {
		return 0
	}
	return 1
}
