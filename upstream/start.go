// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"context"
	"time"
)

// Running is the start of an upstream that was found to run at an address. It is an immutable value.
type Running struct {
	// Known is whether a start was found.
	Known bool
	// StartID and StartMillis identify it, as in Announcement.
	StartID     string
	StartMillis int64
}

// startVerdict is what is known of whether the start of an announcement runs.
type startVerdict int

const (
	startUnchecked startVerdict = iota // the announcements decide
	startRuns
	startNotRunning
	startUnknown // there was a check, which has found nothing out
)

// runningCheck is the result of FindRunning for an announcement. The zero value means that it was not
// called.
type runningCheck struct {
	verdict startVerdict
	running Running
}

// withVerdict returns a copy of c with another verdict.
func (c runningCheck) withVerdict(v startVerdict) runningCheck {
	c.verdict = v
	return c
}

// verdictOn returns whether the start of a runs.
func (r Running) verdictOn(a *Announcement) startVerdict {
	switch {
	case !r.Known:
		return startUnknown
	case r.StartID != a.StartID:
		return startNotRunning
	case r.StartMillis == a.StartMillis || a.StartMillis == 0:
		return startRuns
	case r.StartMillis == 0:
		return startUnknown
	}
	return startNotRunning
}

// ofRunning returns a copy of a for the start that was found to run, or a if that has another ID or an
// unknown start time.
func (a *Announcement) ofRunning(r Running) *Announcement {
	if !r.Known || r.StartID != a.StartID || r.StartMillis == 0 {
		return a
	}
	b := *a
	b.StartMillis = r.StartMillis
	return &b
}

// findRunning calls FindRunning, if that is set.
func (h *Announcements) findRunning(ctx context.Context, a *Announcement) runningCheck {
	if h.FindRunning == nil {
		return runningCheck{}
	}
	r := h.FindRunning(ctx, a)
	return runningCheck{
		verdict: r.verdictOn(a),
		running: r,
	}
}

// check calls FindRunning if the announcements alone do not tell whether a is outdated.
func (h *Announcements) check(ctx context.Context, a *Announcement) runningCheck {
	h.mu.Lock()
	ambiguous := h.ambiguous(a)
	h.mu.Unlock()
	if !ambiguous {
		return runningCheck{}
	}
	return h.findRunning(ctx, a)
}

// ambiguous returns whether the announcements alone do not tell whether a is outdated: start times may
// be in another order than the starts, and a may be delayed. The lock is held.
func (h *Announcements) ambiguous(a *Announcement) bool {
	c := h.current
	switch {
	case a.StartID == "" || h.pastStarts.hasDeparted(a.StartID, a.StartMillis):
		return false
	case c != nil && c.SameStart(a):
		return false
	case c != nil && c.StartID == a.StartID || h.pastStarts.hasOther(a.StartID, a.StartMillis):
		// The node that sends requests with this ID can't tell the two starts apart.
		return true
	case a.Draining:
		return c != nil && !c.Draining
	}
	return h.outdated(a) != ""
}

// outdatedBy returns why the announcement has to be ignored, given what FindRunning has found out, or "".
// The lock is held.
func (h *Announcements) outdatedBy(a *Announcement, check runningCheck) (reason string) {
	if h.pastStarts.hasDeparted(a.StartID, a.StartMillis) {
		return reasonPastStart
	}
	switch check.verdict {
	case startRuns:
		if c := h.current; c != nil && c.SameStart(a) {
			break // a may be older than another announcement of the same start
		}
		h.revive(a)
		return ""
	case startNotRunning:
		return reasonNotRunning
	case startUnknown:
		if a.Draining || h.pastStarts.hasOtherDeparted(a.StartID, a.StartMillis) {
			return reasonUnknown
		}
	}
	return h.outdated(a)
}

// pastStartRetention is how long it is remembered that a start has left or was superseded. Delayed
// announcements arrive within seconds.
const pastStartRetention = time.Hour

// forgetExpired forgets the past starts, other than the current one, that have left or were superseded
// more than pastStartRetention ago. The lock is held.
func (h *Announcements) forgetExpired() {
	now := time.Now()
	for key, s := range h.pastStarts {
		if now.Sub(s.since) > pastStartRetention && (h.current == nil || h.current.StartID != key.id) {
			delete(h.pastStarts, key)
			delete(h.superseded, key.id)
		}
	}
}

// pastStart is what is known of a start that was superseded or has departed.
type pastStart struct {
	since time.Time
	// departed is whether it has drained or left, and so gets no more requests whatever it announces.
	departed bool
	// anyTime is whether it has departed without a start time being known, so that each start with its ID
	// counts as departed.
	anyTime bool
}

// pastStarts are the starts that have departed or were superseded. The zero value is empty.
type pastStarts map[startKey]pastStart

// startKey identifies a start.
type startKey struct {
	id          string
	startMillis int64
}

// add adds a start that was superseded or has departed. It is also added without its start time, for
// announcements that have none.
func (p *pastStarts) add(id string, startMillis int64, departed bool) {
	if *p == nil {
		*p = make(pastStarts)
	}
	now := time.Now()
	for _, key := range []startKey{{id: id, startMillis: startMillis}, {id: id}} {
		s := (*p)[key]
		s.since = now
		s.departed = s.departed || departed
		s.anyTime = s.anyTime || departed && startMillis == 0
		(*p)[key] = s
	}
}

// remove removes a start.
func (p pastStarts) remove(id string, startMillis int64) {
	delete(p, startKey{id: id, startMillis: startMillis})
	if !p.hasOther(id, startMillis) {
		delete(p, startKey{id: id})
	}
}

// has returns whether a start has departed or was superseded. A start without a start time has if any
// start with its ID has.
func (p pastStarts) has(id string, startMillis int64) bool {
	_, ok := p[startKey{id: id, startMillis: startMillis}]
	return ok || p[startKey{id: id}].anyTime
}

// hasDeparted returns whether a start has departed.
func (p pastStarts) hasDeparted(id string, startMillis int64) bool {
	return p[startKey{id: id, startMillis: startMillis}].departed || p[startKey{id: id}].anyTime
}

// hasOther returns whether another start with the ID has departed or was superseded.
func (p pastStarts) hasOther(id string, startMillis int64) bool {
	return p.anyOther(id, startMillis, func(pastStart) bool { return true })
}

// hasOtherDeparted returns whether another start with the ID has departed.
func (p pastStarts) hasOtherDeparted(id string, startMillis int64) bool {
	return p.anyOther(id, startMillis, func(s pastStart) bool { return s.departed })
}

// anyOther returns whether f returns true for another start with the ID. A start without a start time
// can't be told from the others.
func (p pastStarts) anyOther(id string, startMillis int64, f func(pastStart) bool) bool {
	if _, ok := p[startKey{id: id}]; !ok || startMillis == 0 {
		return false
	}
	for key, s := range p {
		if key.id == id && key.startMillis != 0 && key.startMillis != startMillis && f(s) {
			return true
		}
	}
	return false
}
