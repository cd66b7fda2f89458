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
	leaderWatchFraction = 0.35
	// askPart is the age from which a node asks two others for later news: one in
	// fifty is missed by news that each node passes on to four.
	askFraction = 0.47
	// leastPart and mostPart are the ages between which nodes read by themselves.
	minReadFraction = 0.55
	maxReadFraction = 0.75
	// retryPart is the least time between two reads of a node that failed.
	retryFraction = 0.5
	// startPart is how long a node that has started does not lead. Of nodes that start at
	// once each knows no other at first, and would be the first of all it knows, so that
	// every one of them would read.
	startFraction = 0.35
	// gatherPart is the least time between two of the leader's reads, so that changes
	// in quick succession are found by few.
	minPauseFraction = 0.075
	// alonePart is how long a node watches that hears nobody, at most.
	maxWatchFraction = 1.0
	// seeAgainPart is after how long a node that would lead, had the platform answered
	// it, looks whether it does again.
	recheckFraction = 5.0
)

// aloneReads is the number of a node's reads in a row, with nothing heard from others,
// from which it watches the platform by itself, and mostAlone how many are counted: its
// watches don't grow any more then.
const (
	minAloneReads = 2
	maxAloneReads = 10
)

// enoughFailures is the number of failed reads since the last answered one from which
// they spare the others theirs for a while; those of leaders, before the others read by
// themselves, count for leading only. Where the platform turns away a third of the
// nodes, it refuses the first three that read once in 27 times.
const failureThreshold = 3

// firstSpared is the part of the usual wait for which the first few failed reads spare the
// others theirs. Each further few double it, up to the whole. Where the platform refuses some
// nodes, the few that read first may all be among these, and the others are not to wait as
// long as where it answers nobody.
const firstPostponement = 0.5

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
	period           time.Duration
	started          time.Time
	random           *rand.Rand
	version          uint64    // in force here
	round            uint64    // of the latest answered read
	foundVersion     uint64    // the version that it found
	foundAt          time.Time // of that read
	failure          uint64    // the number of the latest failed read
	lastFailure      time.Time // of that read
	failureAtSuccess uint64    // failure, at the latest answered read
	earlyFailure     uint64    // failure, before nodes read by themselves after that
	freshAt          time.Time // of the latest answered read that found nothing later than what is in force
	forwarded        bool      // whether the latest was passed on
	lastRead         time.Time // of the node's own last read
	failing          bool      // whether that failed
	aloneReads       int       // own reads since anything was heard
	askedFor         time.Time // the value of since for which others were asked
	drawnFor         time.Time // the value of since for which draw was drawn
	draw             float64   // in (0, 1]

	era        era             // of the platform
	zones      objectapi.Point // of the evacuated zones that are known here
	foundZones objectapi.Point // of those that the latest answered read found
}

// New returns the State of a node that starts now, where a change has to be in force
// everywhere within the given time. Random tells the nodes apart that wait for the same.
func New(period time.Duration, now time.Time, random *rand.Rand) *State {
	return &State{
		period:    period,
		started:   now,
		random:    random,
		freshAt:   now,
		forwarded: true,
	}
}

func (s *State) fraction(p float64) time.Duration { return time.Duration(p * float64(s.period)) }

// WatchFor returns how long a Watch is to stay open. A node that hears nobody watches
// for longer each time: the platform tells it of a change at once.
func (s *State) WatchTimeout() time.Duration {
	d := s.fraction(leaderWatchFraction)
	for range s.aloneReads - minAloneReads {
		d = min(2*d, s.fraction(maxWatchFraction))
	}
	return d
}

// InForce takes in the version of the configuration that is in force now.
func (s *State) SetVersion(version uint64) {
	s.version = max(s.version, version)
	s.updateFresh()
}

// ZonesInForce takes in the Point of the evacuated zones that are in force now.
func (s *State) SetZones(at objectapi.Point) {
	if s.zones.Less(at) {
		s.zones = at
	}
	s.updateFresh()
}

// refresh takes the latest read for this node's own if it found nothing later than
// what is in force.
func (s *State) updateFresh() {
	if s.hasLatest() && s.foundAt.After(s.freshAt) {
		s.freshAt = s.foundAt
	}
}

// hasFound returns whether what the latest read found is in force here.
func (s *State) hasLatest() bool { return s.foundVersion <= s.version && !s.zones.Less(s.foundZones) }

// Hear takes in what another node told, and returns whether that node has a later
// configuration, which is then to be fetched from it.
func (s *State) Receive(n ReadStatus, now time.Time) (behind bool) {
	s.aloneReads = 0
	s.era.merge(n, now)
	if n.Failure > s.failure {
		s.recordFailure(n.Failure, now.Add(-max(0, n.FailureAge)))
	}
	if n.Round > s.round {
		s.recordSuccess(n.Round, n.Version, n.Zones, now.Add(-max(0, n.Age)))
	}
	return n.Version > s.version || s.zones.Less(n.Zones)
}

// answered takes in a read that is later than the latest.
func (s *State) recordSuccess(round, version uint64, zones objectapi.Point, at time.Time) {
	s.round = round
	s.foundVersion = version
	s.foundZones = zones
	s.foundAt = at
	s.failureAtSuccess = s.failure
	s.forwarded = false
	s.updateFresh()
}

// Done takes in the node's own read that ended now: whether the platform answered,
// and how long ago what it said held.
func (s *State) ReadDone(succeeded bool, age time.Duration, now time.Time) {
	s.lastRead = now
	s.failing = !succeeded
	s.aloneReads = min(s.aloneReads+1, maxAloneReads)
	if succeeded {
		s.recordSuccess(s.round+1, s.version, s.zones, now.Add(-age))
		return
	}
	s.recordFailure(s.failure+1, now)
	s.askedFor = time.Time{} // others may have been answered since
}

// failedAt takes in a failed read.
func (s *State) recordFailure(failure uint64, at time.Time) {
	s.failure = failure
	s.lastFailure = at
	s.forwarded = false
	if at.Before(s.freshAt.Add(s.fraction(minReadFraction))) {
		s.earlyFailure = failure
	}
}

// Tell returns what this node knows.
func (s *State) Status(now time.Time) ReadStatus {
	return ReadStatus{
		Round:      s.round,
		Version:    s.foundVersion,
		Zones:      s.foundZones,
		Age:        now.Sub(s.foundAt),
		Failure:    s.failure,
		FailureAge: now.Sub(s.lastFailure),
		Era:        s.era.number,
		EraAge:     s.era.age(now),
	}
}

// Pass returns news to be told to others, once for each read. Those who hear of a
// later configuration fetch it from this node, so there are none before it has that
// itself.
func (s *State) PendingStatus(now time.Time) (ReadStatus, bool) {
	if s.forwarded || !s.hasLatest() {
		return ReadStatus{}, false
	}
	s.forwarded = true
	return s.Status(now), true
}

// Next returns what to do now, or until when to wait.
func (s *State) Next(p Role, now time.Time) (Action, time.Time) {
	p.IsLeader = p.IsLeader && p.Nodes > 1 && now.Sub(s.started) >= s.fraction(startFraction)
	action, due := s.ownRead(p)
	if !now.Before(due) {
		return action, now
	}
	since := s.waitStart()
	ask := since.Add(s.fraction(askFraction))
	switch {
	case p.IsLeader || p.Nodes < 2 || s.askedFor.Equal(since) || !ask.Before(due):
		return Wait, due
	case now.Before(ask):
		return Wait, ask
	}
	s.askedFor = since
	return Ask, now
}

// turn returns the node's own next read, and when it is due.
func (s *State) ownRead(p Role) (Action, time.Time) {
	if p.IsLeader && !s.platformDown() {
		return Watch, s.lastRead.Add(s.fraction(s.pauseFraction()))
	}
	if s.aloneReads >= minAloneReads && !s.failing {
		return Watch, s.lastRead.Add(s.fraction(minPauseFraction))
	}
	since := s.waitStart()
	due := since.Add(s.waitAfter(since, p.Nodes))
	if again := s.lastRead.Add(s.fraction(recheckFraction)); p.WouldLead && again.Before(due) {
		due = again
	}
	if retry := s.lastRead.Add(s.fraction(s.pauseFraction())); retry.After(due) {
		due = retry
	}
	if last := since.Add(s.fraction(maxReadFraction)); s.failing && last.After(due) {
		due = last // those that the platform may answer come first
	}
	return Read, due
}

// pausePart returns the least wait between two own reads.
func (s *State) pauseFraction() float64 {
	if s.failing {
		return retryFraction
	}
	return minPauseFraction
}

// away returns whether the platform seems to answer nobody.
func (s *State) platformDown() bool { return s.tooManyFailures(s.failureAtSuccess) }

// failedEnough returns whether enough reads have failed after the one with the number.
func (s *State) tooManyFailures(after uint64) bool { return s.failure >= after+failureThreshold }

// since returns the time from which the node's own next read is reckoned: the latest
// read that tells that it has what there is, or one that failed after that. Where
// the platform answers nobody, a few failures spare the others theirs for a while.
//
// Failures of leaders, before the others read by themselves for the first time, spare
// none of them: where the platform turns some nodes away, three leaders in turn may be
// among these.
func (s *State) waitStart() time.Time {
	if s.tooManyFailures(max(s.failureAtSuccess, s.earlyFailure)) && s.lastFailure.After(s.freshAt) {
		return s.lastFailure
	}
	return s.freshAt
}

// spared returns the part of the usual wait that is waited after since.
func (s *State) postponement(since time.Time) float64 {
	if !since.Equal(s.lastFailure) || since.Equal(s.freshAt) {
		return 1
	}
	part := firstPostponement
	for n := s.failure - max(s.failureAtSuccess, s.earlyFailure); n >= 2*failureThreshold && part < 1; n -= failureThreshold {
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
func (s *State) waitAfter(since time.Time, n int) time.Duration {
	if !s.drawnFor.Equal(since) {
		s.drawnFor = since
		s.draw = 1 - s.random.Float64()
	}
	least := s.fraction(s.postponement(since) * minReadFraction)
	most := least + s.fraction(maxReadFraction-minReadFraction) // news takes as long in any case
	if n < 2 {
		return least
	}
	x := max(0, 1+math.Log(s.draw)/math.Log(float64(n)))
	return least + time.Duration(x*float64(most-least))
}
