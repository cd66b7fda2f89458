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
	// maxDrift bounds the difference between the rates of two clocks. The kernel corrects each by at most
	// 500 ppm, and this is twice the difference of two clocks that are corrected in opposite directions.
	maxDrift = 2e-3
	// renewAfter is the age from which the bound on a clock's offset is learnt again: by then it has become
	// 60 ms worse.
	renewAfter = 30 * time.Second
	// maxClocks bounds the number of stored offsets.
	maxClocks = 256
)

// drift returns the most by which two clocks may diverge between moments that are d apart, in either order.
func drift(d time.Duration) time.Duration { return time.Duration(maxDrift * float64(d.Abs())) }

// Proof states that a version, and each later one, contains everything that the platform had acknowledged
// before a moment, by the clock of the node that stores it. The zero value is no proof.
type Proof struct {
	Version uint64
	// At is the moment, by that clock.
	At time.Duration
}

// known returns whether p is a proof.
func (p Proof) known() bool { return p.Version > 0 }

// laterThan returns whether p is stronger than q.
func (p Proof) laterThan(q Proof) bool { return p.known() && (!q.known() || p.At > q.At) }

// Proofs are the proofs that a node stores. It is an immutable value.
type Proofs struct {
	// Current is the latest proof for the active version, and Ahead the latest one for a version that
	// the node does not have yet.
	Current, Ahead Proof
}

// latest returns the later of the proofs.
func (p Proofs) latest() Proof {
	if p.Ahead.laterThan(p.Current) {
		return p.Ahead
	}
	return p.Current
}

// Age returns an upper bound on the time for which a table with the version may have been out of date.
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

// Message is what a node sends to others: its latest proof, by its own clock.
type Message struct {
	// Clock identifies the clock. Each process has its own.
	Clock uint64 `msgpack:"clock"`
	// Now is its reading when the message was made.
	Now time.Duration `msgpack:"now"`
	// Version and At are those of the proof, or zero if there is none.
	Version uint64        `msgpack:"version,omitempty"`
	At      time.Duration `msgpack:"at,omitempty"`
}

// offset is a lower bound on what to add to a reading of another clock to get this node's reading at the
// same moment.
type offset struct {
	bound  time.Duration
	learnt time.Duration // by this node's clock
}

// at returns the bound at another time by this node's clock, including the drift since it was learnt.
func (o offset) at(t time.Duration) time.Duration { return o.bound - drift(t-o.learnt) }

// convert returns a lower bound on this node's reading at the moment of the given reading of the other clock.
func (o offset) convert(reading time.Duration) time.Duration {
	estimate := reading + o.bound
	return reading + o.at(estimate)
}

// State is one node's knowledge of proofs and of other clocks. Use New to create one. Times are readings of
// the node's clock. It is not safe for concurrent use.
type State struct {
	clock   uint64
	proofs  Proofs
	version uint64            // the active version
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

// SetVersion sets the version that is active.
func (s *State) SetVersion(version uint64) {
	s.version = max(s.version, version)
	if s.proofs.Ahead.known() && s.proofs.Ahead.Version <= s.version {
		ahead := s.proofs.Ahead
		s.proofs.Ahead = Proof{}
		s.store(ahead)
	}
}

// ObserveRead records a read to which the platform responded. The argument is the time at which it was sent.
// What the read found must be active.
func (s *State) ObserveRead(sent time.Duration) {
	s.store(Proof{
		Version: s.version,
		At:      sent,
	})
}

// store stores a proof if it is later than the stored one.
func (s *State) store(p Proof) {
	stored := &s.proofs.Current
	if p.Version > s.version {
		stored = &s.proofs.Ahead
	}
	if p.laterThan(*stored) {
		*stored = p
	}
}

// Message returns the message to send to another node.
func (s *State) Message(now time.Duration) Message {
	latest := s.proofs.latest()
	return Message{
		Clock:   s.clock,
		Now:     now,
		Version: latest.Version,
		At:      latest.At,
	}
}

// Receive records a message of another node. It returns false if a request has to be sent to that node because
// the offset of its clock is unknown or outdated.
func (s *State) Receive(t Message, now time.Duration) (known bool) {
	if t.Clock == 0 || t.Clock == s.clock {
		return true // a node without proofs, or this node
	}
	o, ok := s.offsets[t.Clock]
	if !ok {
		return false
	}
	if t.At <= t.Now { // otherwise the moment is in the sender's future
		s.store(Proof{
			Version: t.Version,
			At:      min(now, o.convert(t.At)),
		})
	}
	return now-o.learnt < renewAfter
}

// ReceiveReply records the reply to a request that was sent at the given time.
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

// evictOldest makes room for another offset.
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
