// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"time"

	"sassafrasfront.example/verdict"
)

// EnterPendingBody does what EnterFor does for a request whose body has not arrived yet and is
// expected within the given time. The request is refused at once if it would be refused with
// its body present, or if the body would arrive too late. Otherwise it takes no slot until
// BodyArrived is called on its ticket: a slot held while a body crosses a slow link is of no
// use to any request.
func (g *Gate) EnterPendingBody(organisation, class string, deadline time.Time, bodyTime time.Duration) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.observeQueues(now)
	t := g.ticket(organisation, class, deadline, now)
	t.state = pendingBody
	err := g.checkAdmissible(t, now, deadline)
	if err == nil {
		err = g.checkPendingBody(t, now, bodyTime)
	}
	if err != nil {
		t.refuse(err)
		return t
	}
	g.pendingBodies++
	t.queue.pendingBodies++
	return t
}

// maxBodyFraction is the fraction of the longest wait that a body may take. The rest is left for the
// wait for a slot, and for the overhead of a transfer beside the bytes queued before it.
const maxBodyFraction = 0.5

// checkPendingBody returns why a request whose body arrives after the given time should be
// refused, or nil. Requests that already await their bodies count as waiting. The lock is held.
func (g *Gate) checkPendingBody(t *Ticket, now time.Time, bodyTime time.Duration) *verdict.Error {
	free := min(g.allowed(now), t.queue.maxSlots(g.limits.Slots)) - g.occupiedSlots(now) - g.waiting
	wait := g.AdvertisedLimiter.Wait(g.waiting + g.pendingBodies)
	if g.pendingBodies >= free {
		wait = max(wait, g.expectedWait(t.queue, len(t.queue.waiting)+1+g.pendingBodies, now))
	}
	maxWait := g.classMaxWait(t.queue)
	ready := max(wait, bodyTime)
	switch {
	case bodyTime > time.Duration(maxBodyFraction*float64(maxWait)) || wait > t.queue.standing.maxWait(maxWait):
	case !t.deadline.IsZero() && now.Add(ready+g.expectedRun(t.queue)).After(t.deadline):
	case g.waiting+g.pendingBodies >= g.limits.QueueLength+max(0, free):
	default:
		return nil
	}
	return g.refusal(ready)
}

// bodyArrived lets t, whose body was pending, wait for a slot.
func (g *Gate) bodyArrived(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != pendingBody {
		return
	}
	now := time.Now()
	g.observeQueues(now)
	g.pendingBodies--
	t.queue.pendingBodies--
	t.enteredAt = now
	g.enter(t, now)
}
