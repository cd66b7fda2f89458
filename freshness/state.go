// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package freshness

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// maxDrift bounds by how much the rates of two clocks differ. The kernel corrects each
	// by 500 ppm at most, and this is twice what two may differ by then.
	maxDrift = 2e-3
	// renewAfter is the age from which the bound on a clock's offset is learnt anew: it has
	// lost 60 ms by then.
	renewAfter = 30 * time.Second
	// maxClocks bounds the offsets that are kept.
	maxClocks = 256
)

// drift returns the most by which two clocks come apart between moments that lie d apart,
// in either order.
func drift(d time.Duration) time.Duration { return time.Duration(maxDrift * float64(d.Abs())) }

// Proof says that a version, and each later one, has all that the platform acknowledged
// before a moment by the clock of the node that holds it. The zero value is none.
type Proof struct {
	Version uint64
	// At is the moment, by that clock.
	At time.Duration
}

// known returns whether p is any.
func (p Proof) known() bool { return p.Version > 0 }

// laterThan returns whether p says more than q.
func (p Proof) laterThan(q Proof) bool { return p.known() && (!q.known() || p.At > q.At) }

// Proofs are what a node holds. It is an immutable value.
type Proofs struct {
	// Held is the latest proof for the version in force, and Ahead the latest one for a
	// version that the node does not have yet.
	Current, Ahead Proof
}

// latest returns the later of the proofs.
func (p Proofs) latest() Proof {
	if p.Ahead.laterThan(p.Current) {
		return p.Ahead
	}
	return p.Current
}

// Age returns for how long a table with the version may have been out of date.
func (p Proofs) Age(version uint64, now time.Duration) Age {
	best := Proof{}
	for _, q := range []Proof{p.Current, p.Ahead} {
		if q.known() && q.Version <= version && q.laterThan(best) {
			best = q
		}
	}
	return Age{
		Known: best.known(),
		Time:  now - best.At,
	}
}

// Told is what a node tells another of its latest proof, by its own clock.
type Message struct {
	// Clock identifies the clock, which is one process's.
	Clock uint64 `msgpack:"clock"`
	// Now is its reading when this was told.
	Now time.Duration `msgpack:"now"`
	// Version and At are the proof's, or zero if there is none.
	Version uint64        `msgpack:"version,omitempty"`
	At      time.Duration `msgpack:"at,omitempty"`
}

// offset bounds from below what is to be added to a reading of another clock to get this
// node's at the same moment.
type offset struct {
	bound  time.Duration
	learnt time.Duration // by this node's clock
}

// at returns the bound at another time of this node's clock: the clocks drift apart.
func (o offset) at(t time.Duration) time.Duration { return o.bound - drift(t-o.learnt) }

// convert returns the earliest that a reading of the other clock may be by this node's.
func (o offset) convert(reading time.Duration) time.Duration {
	estimate := reading + o.bound
	return reading + o.at(estimate)
}

// State is what one node knows of proofs and of others' clocks; New makes it. Times are readings of its clock. It is not
// safe for use by several goroutines at once.
type State struct {
	clock   uint64
	proofs  Proofs
	version uint64            // the version
	offsets map[uint64]offset // by clock
}

// New returns the State of a process that starts.
func New() *State {
	return &State{
		clock:   rand.Uint64(),
		offsets: make(map[uint64]offset),
	}
}

// Proofs returns the latest proofs.
func (s *State) Proofs() Proofs { return s.proofs }

// InForce takes in the version that is in force now.
func (s *State) SetVersion(version uint64) {
	s.version = max(s.version, version)
	if s.proofs.Ahead.known() && s.proofs.Ahead.Version <= s.version {
		ahead := s.proofs.Ahead
		s.proofs.Ahead = Proof{}
		s.store(ahead)
	}
}

// Read takes in a read that the platform answered, which was sent at the given time, after
// what it found is in force.
func (s *State) ObserveRead(sent time.Duration) {
	s.store(Proof{
		Version: s.version,
		At:      sent,
	})
}

// take takes in a proof.
func (s *State) store(p Proof) {
	stored := &s.proofs.Current
	if p.Version > s.version {
		stored = &s.proofs.Ahead
	}
	if p.laterThan(*stored) {
		*stored = p
	}
}

// Tell returns what to tell another node.
func (s *State) Message(now time.Duration) Message {
	latest := s.proofs.latest()
	return Message{
		Clock:   s.clock,
		Now:     now,
		Version: latest.Version,
		At:      latest.At,
	}
}

// Hear takes in what another node told. It returns false if that node is to be asked, as
// the offset of its clock is not known, or not well any more.
func (s *State) Receive(t Message, now time.Duration) (known bool) {
	if t.Clock == 0 || t.Clock == s.clock {
		return true // a node that knows of no proofs, or this one
	}
	o, ok := s.offsets[t.Clock]
	if !ok {
		return false
	}
	if t.At <= t.Now { // otherwise it is no moment that the other has seen
		s.store(Proof{
			Version: t.Version,
			At:      min(now, o.convert(t.At)),
		})
	}
	return now-o.learnt < renewAfter
}

// Answered takes in a reply to a question that was asked at the given time.
func (s *State) ReceiveReply(sent time.Duration, t Message, now time.Duration) {
	if t.Clock == 0 || t.Clock == s.clock {
		return
	}
	learnt := offset{
		bound:  sent - t.Now,
		learnt: sent,
	}
	if o, ok := s.offsets[t.Clock]; !ok || o.at(now) < learnt.at(now) || now-o.learnt >= renewAfter {
		s.evictOldest()
		s.offsets[t.Clock] = learnt
	}
	s.Receive(t, now)
}

// forgetOldest makes room for another offset.
func (s *State) evictOldest() {
	if len(s.offsets) < maxClocks {
		return
	}
	var oldest uint64
	for clock := range maps.Keys(s.offsets) {
		if o, ok := s.offsets[oldest]; !ok || s.offsets[clock].learnt < o.learnt {
			oldest = clock
		}
	}
	delete(s.offsets, oldest)
}
