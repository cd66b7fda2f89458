// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package neighbour

import (
	"math/rand/v2"
	"slices"

	"sassafrasfront.example/member"
)

const (
	// near and far are the numbers of neighbours in the node's own zone and in other zones.
	near = 7
	far  = 5
	// MaxNeighbours is the maximum number of neighbours.
	MaxNeighbours = near + far
)

// Set is the set of neighbours of a node. The exported fields must be set before the first call. It
// is not safe for concurrent use.
type Set struct {
	// Zone is the node's own zone.
	Zone string
	// Random is the source of random numbers.
	Random *rand.Rand

	list []member.Record
}

// NodeCounts holds the numbers of other live nodes in the node's own zone and in other zones.
type NodeCounts struct {
	Near, Far int
}

// All returns the neighbours. The caller must not modify the slice.
func (s *Set) All() []member.Record { return s.list }

// Len returns the number of neighbours.
func (s *Set) Len() int { return len(s.list) }

// HasAddress returns whether a neighbour has the address.
func (s *Set) HasAddress(addr string) bool {
	return slices.ContainsFunc(s.list, func(r member.Record) bool { return r.Addr == addr })
}

// Remove removes a neighbour.
func (s *Set) Remove(id string) {
	s.list = slices.DeleteFunc(s.list, func(r member.Record) bool { return r.ID == id })
}

// Clear removes all neighbours.
func (s *Set) Clear() { s.list = nil }

// TurnOver replaces one random neighbour, and those for which stays returns false, by candidates of
// the node's own zone and of other zones, and fills up the set. It reorders the candidates.
func (s *Set) TurnOver(stays func(r member.Record) bool, nearby, elsewhere []member.Record) {
	s.list = slices.DeleteFunc(s.list, func(r member.Record) bool { return !stays(r) })
	if len(s.list) > 0 {
		i := s.Random.IntN(len(s.list))
		s.list = slices.Delete(s.list, i, i+1)
	}
	s.fill(nearby, near-s.count(true))
	s.fill(elsewhere, far-s.count(false))
}

// count returns the number of neighbours in the node's own zone, or in other zones.
func (s *Set) count(own bool) (n int) {
	for _, r := range s.list {
		if (r.Zone == s.Zone) == own {
			n++
		}
	}
	return n
}

// fill adds up to n of the candidates, at random.
func (s *Set) fill(list []member.Record, n int) {
	s.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, r := range list {
		if n <= 0 {
			return
		}
		if !slices.ContainsFunc(s.list, func(o member.Record) bool { return o.ID == r.ID }) {
			s.list = append(s.list, r)
			n--
		}
	}
}

// Consider makes a node that has started a neighbour, with the same probability as any
// other node of its own zone, or of other zones. Otherwise nodes that start late would be
// neighbours of no node for some time, and changes would reach them by comparisons only.
func (s *Set) Consider(r member.Record, known NodeCounts) {
	s.Remove(r.ID)
	own := r.Zone == s.Zone
	quota, total := far, known.Far
	if own {
		quota, total = near, known.Near
	}
	var indexes []int // indexes of the neighbours of that kind of zone
	for i, o := range s.list {
		if (o.Zone == s.Zone) == own {
			indexes = append(indexes, i)
		}
	}
	switch {
	case len(indexes) < quota:
		s.list = append(s.list, r)
	case s.Random.IntN(max(total, 1)) < quota:
		s.list[indexes[s.Random.IntN(len(indexes))]] = r
	}
}

// Sample returns up to n neighbours in random order.
func (s *Set) Sample(n int) []member.Record {
	s.Random.Shuffle(len(s.list), func(i, j int) { s.list[i], s.list[j] = s.list[j], s.list[i] })
	return slices.Clone(s.list[:min(n, len(s.list))])
}
