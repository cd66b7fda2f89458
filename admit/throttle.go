// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"sync"
	"time"
)

// Share is the share of recent events that had something happen to them. Events
// count less the older they are, by the factor exp(-age/shareTime). The zero value
// has seen none. It is not safe for use by several goroutines at once.
type Share struct {
	hits, all float64
	at        time.Time
}

// shareTime is the time constant of a Share: long enough for some ten requests of
// a caller's node to a service, and short against the seconds for which upstreams
// are lost.
const shareTime = time.Second

// Add takes in one event.
func (s *Share) Add(hit bool, now time.Time) {
	s.fade(now)
	s.all++
	if hit {
		s.hits++
	}
}

// Value returns the share, in [0, 1], and the number of events that it rests on.
// The share of no events is 0.
func (s *Share) Value(now time.Time) (share, events float64) {
	s.fade(now)
	if s.all == 0 {
		return 0, 0
	}
	return s.hits / s.all, s.all
}

// fade brings the counts to the given time.
func (s *Share) fade(now time.Time) {
	keep := math.Exp(-float64(now.Sub(s.at)) / float64(shareTime))
	s.hits *= keep
	s.all *= keep
	s.at = now
}

const (
	// throttleStep is the time between two changes of the part that a Throttle lets
	// in.
	throttleStep = 200 * time.Millisecond
	// throttleShare is the share of failed runs, and that of refused calls, from
	// which less is let in.
	throttleShare = 0.35
	// throttleEvents is the number of runs that a decision rests on.
	throttleEvents = 3
	// throttleDown and throttleUp change the part that is let in: by a factor and by
	// a summand, as in the limiter of a gate.
	throttleDown = 0.85
	throttleUp   = 0.04
	// throttleFloor is the least part that is let in, so that the state of things
	// goes on being seen, and no kind of request is shut out.
	throttleFloor = 0.6
)

// Throttle holds back requests whose work would be wasted: those of a kind that
// upstreams run and then fail, because the calls that they make meanwhile are
// refused. Letting in fewer of them gives the others the room for all of their
// calls. A kind that fails for another reason is let in: refusing it would serve
// nobody. The zero value lets all in. Its methods may be called from any
// goroutine.
//
// The part p that is let in changes each 200 ms to
//
//	max(0.3, 0.85 p)  if over a tenth of the runs fail and over a tenth of calls are refused
//	min(1, p + 0.04)  otherwise.
type Throttle struct {
	mu     sync.Mutex
	failed Share
	held   float64 // 1 - p
	credit float64 // of the part that is let in
	at     time.Time
}

// Ran takes in that a request was run, and whether it failed.
func (t *Throttle) Ran(failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed.Add(failed, now)
}

// Admit returns whether a request is let in, given the share of calls to other
// services that are refused now.
func (t *Throttle) Admit(refused float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.at) >= throttleStep {
		t.at = now
		t.step(refused, now)
	}
	t.credit += 1 - t.held
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// step changes the part that is let in. The lock is held.
func (t *Throttle) step(refused float64, now time.Time) {
	failed, events := t.failed.Value(now)
	part := 1 - t.held
	if events >= throttleEvents && failed > throttleShare && refused > throttleShare {
		part = max(throttleFloor, throttleDown*part)
	} else {
		part = min(1, part+throttleUp)
	}
	t.held = 1 - part
}
