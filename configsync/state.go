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

// ReadStatus is the message in which nodes tell each other of the latest reads of the configuration.
type ReadStatus struct {
	// Round numbers the successful reads: a node that reads uses the number after the highest that it
	// knows. A higher number means a later read.
	Round uint64 `msgpack:"round"`
	// Version is the version of the configuration at the reader after that read.
	Version uint64 `msgpack:"version"`
	// Zones is the resource version of the evacuated zones at the reader after that read.
	Zones objectapi.ResourceVersion `msgpack:"zones"`
	// Position is the resource version up to which that read found the changes of the table. It is zero if the
	// reader's software does not tell.
	Position objectapi.ResourceVersion `msgpack:"position"`
	// Age is the time since that read.
	Age time.Duration `msgpack:"age"`
	// Failure numbers the failed reads in the same way, and FailureAge is the time since the latest of
	// them.
	Failure    uint64        `msgpack:"failure"`
	FailureAge time.Duration `msgpack:"failureAge"`
	// Era is the platform's latest known era, and EraAge the time since the change to it was first
	// seen, or 0 if it was not seen.
	Era    uint64        `msgpack:"era,omitempty"`
	EraAge time.Duration `msgpack:"eraAge,omitempty"`
}

// The waits, as fractions of the time within which a change has to be active. The reads by nodes that
// received no status end at three quarters of it, which leaves time for a slow response.
const (
	// leaderWatchFraction is how long the leader's watches stay open.
	leaderWatchFraction = 0.35
	// queryFraction is the age of the latest read at which a node requests a later status from two others: a
	// status that each node forwards to four others does not reach one node in fifty.
	queryFraction = 0.47
	// reportedQueryFraction is the time after the last report of a read in progress at which a node does so too.
	reportedQueryFraction = 0.15
	// minReadFraction and maxReadFraction are the ages between which nodes read by themselves.
	minReadFraction = 0.55
	maxReadFraction = 0.75
	// retryFraction is the least time before the retry of a failed read.
	retryFraction = 0.5
	// startFraction is how long a node does not lead after its start. Nodes that start at once know no
	// others at first, so that each of them would be the first of the nodes that it knows, and would
	// read.
	startFraction = 0.35
	// minPauseFraction is the least time between two reads of the leader, so that one read finds several
	// changes in quick succession.
	minPauseFraction = 0.075
	// maxWatchFraction is the longest watch of a node that receives nothing from others.
	maxWatchFraction = 1.0
	// recheckFraction is the interval at which a node that would lead if the platform had responded to it
	// checks whether the platform responds again.
	recheckFraction = 5.0
)

// minIsolatedReads is the number of a node's consecutive reads, with nothing received from others, after
// which it watches the platform by itself. maxIsolatedReads is where the count stops: watches don't get longer
// after that.
const (
	minIsolatedReads = 2
	maxIsolatedReads = 10
)

// failureThreshold is the number of failed reads since the last successful one after which the other nodes
// postpone theirs. Failures of leaders before the others read by themselves only make leaders stop. If the
// platform refuses a third of the nodes, the first three readers are all refused once in 27 times.
const failureThreshold = 3

// firstPostponement is the fraction of the usual wait for which the first failureThreshold failed reads postpone
// those of the other nodes. Each further failureThreshold failures double it, up to the whole wait. If the platform
// refuses some nodes only, the first readers may all be among them, and the others must not wait as long as
// they do while it refuses all.
const firstPostponement = 0.5

// Action is what a node has to do next.
type Action int

// The actions.
const (
	// Wait means to call Next again at the returned time, or when a status arrives.
	Wait Action = iota
	// Query means to request the status from a few nodes.
	Query
	// Read means to read the changes.
	Read
	// Watch means to read the changes as soon as there are any, waiting for WatchTimeout at most.
	Watch
)

// Role is a node's role among the others, as far as it knows.
type Role struct {
	// IsLeader is whether it is the leader.
	IsLeader bool
	// WouldLead is whether it would be the leader if the platform had responded to it.
	WouldLead bool
	// Nodes is the number of live nodes.
	Nodes int
}

// State is one node's knowledge of the reads. Use New to create one. It is not safe for concurrent use.
type State struct {
	maxDelay         time.Duration
	started          time.Time
	random           *rand.Rand
	version          uint64    // active here
	round            uint64    // number of the latest successful read
	foundVersion     uint64    // version found by the latest successful read
	foundAt          time.Time // of that read
	failure          uint64    // number of the latest failed read
	lastFailure      time.Time // of that read
	failureAtSuccess uint64    // value of the failure number at the latest successful read
	earlyFailure     uint64    // value of the failure number before nodes read by themselves after that
	freshAt          time.Time // time of the latest successful read that found nothing later than what is active
	forwarded        bool      // whether the latest status was forwarded
	lastRead         time.Time // when the node's own last read ended
	failing          bool      // whether the node's own last read failed
	isolatedReads    int       // own reads since anything was received from others
	queriedAt        time.Time // the due time of the latest query
	drawnFor         time.Time // the start of the wait for which draw was drawn
	draw             float64   // uniform in (0, 1]

	position      objectapi.ResourceVersion // of the node's own latest read
	foundPosition objectapi.ResourceVersion // of the latest successful read

	reading     uint64    // number of the latest report of a read in progress
	readingHold time.Time // until when the node does not read because another node's read makes progress
	fetchHold   time.Time // until when it does not because a fetch from other nodes makes progress

	era        era                       // of the platform
	zones      objectapi.ResourceVersion // of the evacuated zones active here
	foundZones objectapi.ResourceVersion // of the evacuated zones found by the latest successful read
}

// New returns the State of a node that starts now, where a change has to be active at all nodes within
// the given time. The random source spreads the reads of nodes that wait for the same event.
func New(maxDelay time.Duration, now time.Time, random *rand.Rand) *State {
	return &State{
		maxDelay:  maxDelay,
		started:   now,
		random:    random,
		freshAt:   now,
		forwarded: true,
	}
}

func (s *State) fraction(p float64) time.Duration { return time.Duration(p * float64(s.maxDelay)) }

// WatchTimeout returns how long a Watch may stay open. A node that receives nothing from others watches for
// longer each time: the platform reports a change at once.
func (s *State) WatchTimeout() time.Duration {
	d := s.fraction(leaderWatchFraction)
	for range s.isolatedReads - minIsolatedReads {
		d = min(2*d, s.fraction(maxWatchFraction))
	}
	return d
}

// SetVersion sets the version of the configuration that is active.
func (s *State) SetVersion(version uint64) {
	s.version = max(s.version, version)
	s.updateFresh()
}

// SetZones sets the resource version of the evacuated zones that are active.
func (s *State) SetZones(at objectapi.ResourceVersion) {
	if s.zones.Less(at) {
		s.zones = at
	}
	s.updateFresh()
}

// SetPosition sets the resource version up to which the node's own latest read found the changes of the table. It is
// called before ReadDone.
func (s *State) SetPosition(at objectapi.ResourceVersion) { s.position = at }

// Position returns the resource version up to which the active table has all changes, as far as the latest successful
// read of any node tells, or the zero value if that is not known. A node that reads the changes from there on does not
// receive again what it has from other nodes.
func (s *State) Position() objectapi.ResourceVersion {
	if s.foundVersion > s.version {
		return objectapi.ResourceVersion{}
	}
	return s.foundPosition
}

// updateFresh marks the configuration as fresh as of the latest read, if that found nothing later than what is
// active.
func (s *State) updateFresh() {
	if s.hasLatest() && s.foundAt.After(s.freshAt) {
		s.freshAt = s.foundAt
	}
}

// hasLatest returns whether what the latest read found is active here.
func (s *State) hasLatest() bool { return s.foundVersion <= s.version && !s.zones.Less(s.foundZones) }

// HasZones returns whether the evacuated zones of the given resource version, or later ones, are active here.
func (s *State) HasZones(at objectapi.ResourceVersion) bool { return !s.zones.Less(at) }

// Receive merges the status of another node, and returns whether that node has a later configuration, which
// then has to be fetched from it.
func (s *State) Receive(n ReadStatus, now time.Time) (behind bool) {
	s.isolatedReads = 0
	s.era.merge(n, now)
	if n.Failure > s.failure {
		s.recordFailure(n.Failure, now.Add(-max(0, n.FailureAge)))
	}
	if n.Round > s.round {
		s.recordSuccess(n, now.Add(-max(0, n.Age)))
	}
	return n.Version > s.version || s.zones.Less(n.Zones)
}

// recordSuccess records a successful read that is later than all known ones.
func (s *State) recordSuccess(n ReadStatus, at time.Time) {
	s.round = n.Round
	s.foundVersion = n.Version
	s.foundZones = n.Zones
	s.foundPosition = n.Position
	s.foundAt = at
	s.failureAtSuccess = s.failure
	s.forwarded = false
	s.updateFresh()
}

// ReadDone records the end of the node's own read: whether the platform responded, and the age of the
// response.
func (s *State) ReadDone(succeeded bool, age time.Duration, now time.Time) {
	s.lastRead = now
	s.failing = !succeeded
	s.isolatedReads = min(s.isolatedReads+1, maxIsolatedReads)
	if succeeded {
		s.recordSuccess(ReadStatus{
			Round:    s.round + 1,
			Version:  s.version,
			Zones:    s.zones,
			Position: s.position,
		}, now.Add(-age))
		return
	}
	s.recordFailure(s.failure+1, now)
	s.queriedAt = time.Time{} // the reads of others may have succeeded since
}

// ReadAbandoned records that the node has ended its own read, as it fetches the table from other nodes.
func (s *State) ReadAbandoned(now time.Time) { s.lastRead = now }

// recordFailure records a failed read.
func (s *State) recordFailure(failure uint64, at time.Time) {
	s.failure = failure
	s.lastFailure = at
	s.forwarded = false
	if at.Before(s.freshAt.Add(s.fraction(minReadFraction))) {
		s.earlyFailure = failure
	}
}

// Status returns the status known to this node.
func (s *State) Status(now time.Time) ReadStatus {
	return ReadStatus{
		Round:      s.round,
		Version:    s.foundVersion,
		Zones:      s.foundZones,
		Position:   s.foundPosition,
		Age:        now.Sub(s.foundAt),
		Failure:    s.failure,
		FailureAge: now.Sub(s.lastFailure),
		Era:        s.era.number,
		EraAge:     s.era.age(now),
	}
}

// PendingStatus returns a status to forward to other nodes, once for each read. There is none until the node
// has the configuration that the read found, as the receivers fetch it from this node.
func (s *State) PendingStatus(now time.Time) (ReadStatus, bool) {
	if s.forwarded || !s.hasLatest() {
		return ReadStatus{}, false
	}
	s.forwarded = true
	return s.Status(now), true
}

// Next returns the action to perform now, or the time until which to wait.
func (s *State) Next(role Role, now time.Time) (Action, time.Time) {
	role.IsLeader = role.IsLeader && role.Nodes > 1 && now.Sub(s.started) >= s.fraction(startFraction)
	action, due := s.ownRead(role)
	if !now.Before(due) {
		return action, now
	}
	queryAt := s.nextQuery()
	switch {
	case role.IsLeader || role.Nodes < 2 || s.queriedAt.Equal(queryAt) || !queryAt.Before(due):
		return Wait, due
	case now.Before(queryAt):
		return Wait, queryAt
	}
	s.queriedAt = queryAt
	return Query, now
}

// nextQuery returns the time at which the node requests a status from others unless it receives one. If another node's read has
// made progress, that is some time after its last report: the status of that read may be one of those that do not reach the node.
func (s *State) nextQuery() time.Time {
	at := s.waitStart().Add(s.fraction(queryFraction))
	return later(at, s.readingHold.Add(-s.fraction(progressFraction-reportedQueryFraction)))
}

// ownRead returns the node's own next read, and its time.
func (s *State) ownRead(role Role) (Action, time.Time) {
	if role.IsLeader && !s.platformDown() {
		return Watch, s.lastRead.Add(s.fraction(s.pauseFraction()))
	}
	if s.isolatedReads >= minIsolatedReads && !s.failing {
		return Watch, s.lastRead.Add(s.fraction(minPauseFraction))
	}
	since := s.waitStart()
	least, most := s.readWindow(since)
	due := s.afterHolds(least, most, s.readFraction(since, role.Nodes))
	if again := s.lastRead.Add(s.fraction(recheckFraction)); role.WouldLead && again.Before(due) {
		due = again
	}
	if retry := s.lastRead.Add(s.fraction(s.pauseFraction())); retry.After(due) {
		due = retry
	}
	if last := since.Add(s.fraction(maxReadFraction)); s.failing && last.After(due) {
		due = last // nodes whose last read did not fail read first
	}
	return Read, due
}

// pauseFraction returns the least wait between two of the node's own reads.
func (s *State) pauseFraction() float64 {
	if s.failing {
		return retryFraction
	}
	return minPauseFraction
}

// platformDown returns whether the platform seems to be unavailable to all nodes.
func (s *State) platformDown() bool { return s.tooManyFailures(s.failureAtSuccess) }

// tooManyFailures returns whether at least failureThreshold reads have failed after the one with the number.
func (s *State) tooManyFailures(after uint64) bool { return s.failure >= after+failureThreshold }

// waitStart returns the time from which the wait for the node's own next read is measured: the latest read that
// showed that the configuration is current, or a later failed one. While the platform is unavailable to all
// nodes, a few failures postpone the reads of the others.
//
// Failures of leaders, before the others read by themselves for the first time, postpone none: if the
// platform refuses some nodes, three successive leaders may be among them.
func (s *State) waitStart() time.Time {
	if s.tooManyFailures(max(s.failureAtSuccess, s.earlyFailure)) && s.lastFailure.After(s.freshAt) {
		return s.lastFailure
	}
	return s.freshAt
}

// postponement returns the fraction of the usual wait that applies after since.
func (s *State) postponement(since time.Time) float64 {
	if !since.Equal(s.lastFailure) || since.Equal(s.freshAt) {
		return 1
	}
	fraction := firstPostponement
	for n := s.failure - max(s.failureAtSuccess, s.earlyFailure); n >= 2*failureThreshold && fraction < 1; n -= failureThreshold {
		fraction *= 2
	}
	return min(1, fraction)
}

// readWindow returns the times between which the nodes read by themselves after since.
func (s *State) readWindow(since time.Time) (least, most time.Time) {
	least = since.Add(s.fraction(s.postponement(since) * minReadFraction))
	return least, least.Add(s.fraction(maxReadFraction - minReadFraction)) // a status takes as long to spread in any case
}

// readFraction returns after which fraction of the window after since the node reads by itself. Of n nodes that receive no
// status, a few have to read first, and the others to learn of these reads in time. With u uniform in (0, 1), the node
// waits for the fraction
//
//	max(0, 1 + log(u)/log(n))
//
// of the window, so that n^x nodes are expected to have read after the fraction x of it: one at its beginning,
// n at its end. See J. Nonnenmacher and E. Biersack, Scalable feedback for large groups, 1999.
// doi:10.1109/90.779208.
func (s *State) readFraction(since time.Time, n int) float64 {
	if !s.drawnFor.Equal(since) {
		s.drawnFor = since
		s.draw = 1 - s.random.Float64()
	}
	if n < 2 {
		return 0
	}
	return max(0, 1+math.Log(s.draw)/math.Log(float64(n)))
}
