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
	// near and far are the numbers of neighbours in the node's own zone and elsewhere.
	near = 7
	far  = 5
	// Most is the number of neighbours.
	MaxNeighbours = near + far
)

// Set is the neighbours of one node. The exported fields are set before the first call. One
// goroutine calls its methods.
type Set struct {
	// Zone is the node's own zone.
	Zone string
	// Random is where draws come from.
	Random *rand.Rand

	list []member.Record
}

// Known is the numbers of other live nodes that are known, in the own zone and elsewhere.
type NodeCounts struct {
	Near, Far int
}

// All returns the neighbours. The caller does not change them.
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

// Clear removes all.
func (s *Set) Clear() { s.list = nil }

// TurnOver replaces one neighbour, and those that don't stay, by some of the candidates in the
// own zone and elsewhere, and fills up their number. It changes the order of the candidates.
func (s *Set) TurnOver(stays func(r member.Record) bool, nearby, elsewhere []member.Record) {
	s.list = slices.DeleteFunc(s.list, func(r member.Record) bool { return !stays(r) })
	if len(s.list) > 0 {
		i := s.Random.IntN(len(s.list))
		s.list = slices.Delete(s.list, i, i+1)
	}
	s.fill(nearby, near-s.count(true))
	s.fill(elsewhere, far-s.count(false))
}

// count returns the number of neighbours in the own zone, or of the others.
func (s *Set) count(own bool) (n int) {
	for _, r := range s.list {
		if (r.Zone == s.Zone) == own {
			n++
		}
	}
	return n
}

// fill adds n of some candidates.
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

// Consider makes a node that has come up a neighbour, with the chance that each
// node of its kind has. Without it, nodes that start late would be nobody's
// neighbours for some time, and changes would reach them by comparisons only.
func (s *Set) Consider(r member.Record, known NodeCounts) {
	s.Remove(r.ID)
	own := r.Zone == s.Zone
	quota, total := far, known.Far
	if own {
		quota, total = near, known.Near
	}
	var places []int // of the neighbours of that kind
	for i, o := range s.list {
		if (o.Zone == s.Zone) == own {
			places = append(places, i)
		}
	}
	switch {
	case len(places) < quota:
		s.list = append(s.list, r)
	case s.Random.IntN(max(total, 1)) < quota:
		s.list[places[s.Random.IntN(len(places))]] = r
	}
}

// Some returns n neighbours at most, in random order.
func (s *Set) Sample(n int) []member.Record {
	s.Random.Shuffle(len(s.list), func(i, j int) { s.list[i], s.list[j] = s.list[j], s.list[i] })
	return slices.Clone(s.list[:min(n, len(s.list))])
}
