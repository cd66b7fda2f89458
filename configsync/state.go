// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import (
	"math"
	"math/rand/v2"
	"time"

	"sassafrasfront.example/objectapi"
)

// News is what nodes tell each other of the latest reads of the configuration.
type ReadStatus struct {
	// Round numbers the reads that the platform answered: a node that reads takes the
	// number after the highest that it knows. The higher one is the later.
	Round uint64 `msgpack:"round"`
	// Version is that of the configuration in force at the reader after that read.
	Version uint64 `msgpack:"version"`
	// Zones is the Point of the evacuated zones that the reader had after that read.
	Zones objectapi.Point `msgpack:"zones"`
	// Age is the time since that read.
	Age time.Duration `msgpack:"age"`
	// Failure numbers the reads that the platform did not answer in the same way, and
	// FailureAge is the time since the latest of them.
	Failure    uint64        `msgpack:"failure"`
	FailureAge time.Duration `msgpack:"failureAge"`
	// Era is the platform's latest that is known, and EraAge the time since it was seen to
	// rise, or 0 if it was not.
	Era    uint64        `msgpack:"era,omitempty"`
	EraAge time.Duration `msgpack:"eraAge,omitempty"`
}

// The waits, as parts of the time within which a change has to be in force. The
// reads by nodes that heard of none end at three quarters of it, so that there is
// time for a slow answer.
const (
	// leadPart is how long the leader's reads stay open.
	leadPart = 0.35
	// askPart is the age from which a node asks two others for later news: one in
	// fifty is missed by news that each node passes on to four.
	askPart = 0.47
	// leastPart and mostPart are the ages between which nodes read by themselves.
	leastPart = 0.55
	mostPart  = 0.75
	// retryPart is the least time between two reads of a node that failed.
	retryPart = 0.5
	// startPart is how long a node that has started does not lead. Of nodes that start at
	// once each knows no other at first, and would be the first of all it knows, so that
	// every one of them would read.
	startPart = 0.35
	// gatherPart is the least time between two of the leader's reads, so that changes
	// in quick succession are found by few.
	gatherPart = 0.075
	// alonePart is how long a node watches that hears nobody, at most.
	alonePart = 1.0
	// seeAgainPart is after how long a node that would lead, had the platform answered
	// it, looks whether it does again.
	seeAgainPart = 5.0
)

// aloneReads is the number of a node's reads in a row, with nothing heard from others,
// from which it watches the platform by itself, and mostAlone how many are counted: its
// watches don't grow any more then.
const (
	aloneReads = 2
	mostAlone  = 10
)

// enoughFailures is the number of failed reads since the last answered one from which
// they spare the others theirs for a while; those of leaders, before the others read by
// themselves, count for leading only. Where the platform turns away a third of the
// nodes, it refuses the first three that read once in 27 times.
const enoughFailures = 3

// firstSpared is the part of the usual wait for which the first few failed reads spare the
// others theirs. Each further few double it, up to the whole. Where the platform refuses some
// nodes, the few that read first may all be among these, and the others are not to wait as
// long as where it answers nobody.
const firstSpared = 0.5

// Action is what a node is to do next.
type Action int

// The actions.
const (
	// Wait is to ask Next again, at the time given or on news.
	Wait Action = iota
	// Ask is to ask a few nodes for their news.
	Ask
	// Read is to read what has changed.
	Read
	// Watch is to read what has changed as soon as something does, for WatchFor at
	// most.
	Watch
)

// Place is a node's place among the others, as far as it knows.
type Role struct {
	// Leads is whether it is the leader, as far as it knows.
	IsLeader bool
	// Blind is whether it would be, had the platform answered it.
	WouldLead bool
	// Nodes is the number of live nodes.
	Nodes int
}

// State is what one node knows of the reads; New makes it. It is not safe for use by
// several goroutines at once.
type State struct {
	within  time.Duration
	started time.Time
	random  *rand.Rand
	version uint64    // in force here
	round   uint64    // of the latest answered read
	found   uint64    // the version that it found
	at      time.Time // of that read
	failure uint64    // the number of the latest failed read
	failed  time.Time // of that read
	borne   uint64    // failure, at the latest answered read
	early   uint64    // failure, before nodes read by themselves after that
	fresh   time.Time // of the latest answered read that found nothing later than what is in force
	passed  bool      // whether the latest was passed on
	tried   time.Time // of the node's own last read
	failing bool      // whether that failed
	alone   int       // own reads since anything was heard
	asked   time.Time // the value of since for which others were asked
	drawn   time.Time // the value of since for which draw was drawn
	draw    float64   // in (0, 1]

	era     era             // of the platform
	zones   objectapi.Point // of the evacuated zones that are known here
	zonesAt objectapi.Point // of those that the latest answered read found
}

// New returns the State of a node that starts now, where a change has to be in force
// everywhere within the given time. Random tells the nodes apart that wait for the same.
func New(within time.Duration, now time.Time, random *rand.Rand) *State {
	return &State{
		within:  within,
		started: now,
		random:  random,
		fresh:   now,
		passed:  true,
	}
}

func (s *State) part(p float64) time.Duration { return time.Duration(p * float64(s.within)) }

// WatchFor returns how long a Watch is to stay open. A node that hears nobody watches
// for longer each time: the platform tells it of a change at once.
func (s *State) WatchTimeout() time.Duration {
	d := s.part(leadPart)
	for range s.alone - aloneReads {
		d = min(2*d, s.part(alonePart))
	}
	return d
}

// InForce takes in the version of the configuration that is in force now.
func (s *State) SetVersion(version uint64) {
	s.version = max(s.version, version)
	s.refresh()
}

// ZonesInForce takes in the Point of the evacuated zones that are in force now.
func (s *State) SetZones(at objectapi.Point) {
	if s.zones.Less(at) {
		s.zones = at
	}
	s.refresh()
}

// refresh takes the latest read for this node's own if it found nothing later than
// what is in force.
func (s *State) refresh() {
	if s.hasFound() && s.at.After(s.fresh) {
		s.fresh = s.at
	}
}

// hasFound returns whether what the latest read found is in force here.
func (s *State) hasFound() bool { return s.found <= s.version && !s.zones.Less(s.zonesAt) }

// Hear takes in what another node told, and returns whether that node has a later
// configuration, which is then to be fetched from it.
func (s *State) Receive(n ReadStatus, now time.Time) (behind bool) {
	s.alone = 0
	s.era.hear(n, now)
	if n.Failure > s.failure {
		s.failedAt(n.Failure, now.Add(-max(0, n.FailureAge)))
	}
	if n.Round > s.round {
		s.answered(n.Round, n.Version, n.Zones, now.Add(-max(0, n.Age)))
	}
	return n.Version > s.version || s.zones.Less(n.Zones)
}

// answered takes in a read that is later than the latest.
func (s *State) answered(round, version uint64, zones objectapi.Point, at time.Time) {
	s.round = round
	s.found = version
	s.zonesAt = zones
	s.at = at
	s.borne = s.failure
	s.passed = false
	s.refresh()
}

// Done takes in the node's own read that ended now: whether the platform answered,
// and how long ago what it said held.
func (s *State) ReadDone(answered bool, age time.Duration, now time.Time) {
	s.tried = now
	s.failing = !answered
	s.alone = min(s.alone+1, mostAlone)
	if answered {
		s.answered(s.round+1, s.version, s.zones, now.Add(-age))
		return
	}
	s.failedAt(s.failure+1, now)
	s.asked = time.Time{} // others may have been answered since
}

// failedAt takes in a failed read.
func (s *State) failedAt(failure uint64, at time.Time) {
	s.failure = failure
	s.failed = at
	s.passed = false
	if at.Before(s.fresh.Add(s.part(leastPart))) {
		s.early = failure
	}
}

// Tell returns what this node knows.
func (s *State) Status(now time.Time) ReadStatus {
	return ReadStatus{
		Round:      s.round,
		Version:    s.found,
		Zones:      s.zonesAt,
		Age:        now.Sub(s.at),
		Failure:    s.failure,
		FailureAge: now.Sub(s.failed),
		Era:        s.era.number,
		EraAge:     s.era.age(now),
	}
}

// Pass returns news to be told to others, once for each read. Those who hear of a
// later configuration fetch it from this node, so there are none before it has that
// itself.
func (s *State) PendingStatus(now time.Time) (ReadStatus, bool) {
	if s.passed || !s.hasFound() {
		return ReadStatus{}, false
	}
	s.passed = true
	return s.Status(now), true
}

// Next returns what to do now, or until when to wait.
func (s *State) Next(p Role, now time.Time) (Action, time.Time) {
	p.IsLeader = p.IsLeader && p.Nodes > 1 && now.Sub(s.started) >= s.part(startPart)
	action, due := s.turn(p)
	if !now.Before(due) {
		return action, now
	}
	since := s.since()
	ask := since.Add(s.part(askPart))
	switch {
	case p.IsLeader || p.Nodes < 2 || s.asked.Equal(since) || !ask.Before(due):
		return Wait, due
	case now.Before(ask):
		return Wait, ask
	}
	s.asked = since
	return Ask, now
}

// turn returns the node's own next read, and when it is due.
func (s *State) turn(p Role) (Action, time.Time) {
	if p.IsLeader && !s.away() {
		return Watch, s.tried.Add(s.part(s.pausePart()))
	}
	if s.alone >= aloneReads && !s.failing {
		return Watch, s.tried.Add(s.part(gatherPart))
	}
	since := s.since()
	due := since.Add(s.wait(since, p.Nodes))
	if again := s.tried.Add(s.part(seeAgainPart)); p.WouldLead && again.Before(due) {
		due = again
	}
	if retry := s.tried.Add(s.part(s.pausePart())); retry.After(due) {
		due = retry
	}
	if last := since.Add(s.part(mostPart)); s.failing && last.After(due) {
		due = last // those that the platform may answer come first
	}
	return Read, due
}

// pausePart returns the least wait between two own reads.
func (s *State) pausePart() float64 {
	if s.failing {
		return retryPart
	}
	return gatherPart
}

// away returns whether the platform seems to answer nobody.
func (s *State) away() bool { return s.failedEnough(s.borne) }

// failedEnough returns whether enough reads have failed after the one with the number.
func (s *State) failedEnough(after uint64) bool { return s.failure >= after+enoughFailures }

// since returns the time from which the node's own next read is reckoned: the latest
// read that tells that it has what there is, or one that failed after that. Where
// the platform answers nobody, a few failures spare the others theirs for a while.
//
// Failures of leaders, before the others read by themselves for the first time, spare
// none of them: where the platform turns some nodes away, three leaders in turn may be
// among these.
func (s *State) since() time.Time {
	if s.failedEnough(max(s.borne, s.early)) && s.failed.After(s.fresh) {
		return s.failed
	}
	return s.fresh
}

// spared returns the part of the usual wait that is waited after since.
func (s *State) spared(since time.Time) float64 {
	if !since.Equal(s.failed) || since.Equal(s.fresh) {
		return 1
	}
	part := firstSpared
	for n := s.failure - max(s.borne, s.early); n >= 2*enoughFailures && part < 1; n -= enoughFailures {
		part *= 2
	}
	return min(1, part)
}

// wait returns how long after since the node reads by itself. Of n nodes that hear of
// no read, a few are to read first, and the others to hear of them in time. With u
// uniform in (0, 1), the part
//
//	max(0, 1 + log(u)/log(n))
//
// of the span is waited, so that n^x nodes are expected to have read after the part x
// of it: one at its beginning, n at its end. See J. Nonnenmacher and E. Biersack,
// Scalable feedback for large groups, 1999. doi:10.1109/90.779208.
func (s *State) wait(since time.Time, n int) time.Duration {
	if !s.drawn.Equal(since) {
		s.drawn = since
		s.draw = 1 - s.random.Float64()
	}
	least := s.part(s.spared(since) * leastPart)
	most := least + s.part(mostPart-leastPart) // news takes as long in any case
	if n < 2 {
		return least
	}
	x := max(0, 1+math.Log(s.draw)/math.Log(float64(n)))
	return least + time.Duration(x*float64(most-least))
}
