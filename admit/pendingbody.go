// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"time"

	"sassafrasfront.example/verdict"
)

// Expect is EnterFor for a request whose body has yet to come in, which is likely to take the
// given time: it is refused at once if it would be refused now with its body there, or if
// that comes too late, and otherwise takes no slot until Arrive is called on its ticket. A
// slot that is held while a body crosses a slow link is of no use to any request.
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

// bodyShare is the part of the longest wait that a body may take. The rest is left for the
// wait for a slot, and for what a transfer takes beside the bytes ahead of it.
const maxBodyShare = 0.5

// expectable returns why a request whose body is there after the given time is better
// refused, or nil. Those that are expected already count as if they waited. The lock is held.
func (g *Gate) checkPendingBody(t *Ticket, now time.Time, bodyTime time.Duration) *verdict.Error {
	free := min(g.allowed(now), t.queue.maxSlots(g.limits.Slots)) - g.occupiedSlots(now) - g.waiting
	wait := g.AdvertisedLimiter.Wait(g.waiting + g.pendingBodies)
	if g.pendingBodies >= free {
		wait = max(wait, g.expectedWait(t.queue, len(t.queue.waiting)+1+g.pendingBodies, now))
	}
	maxWait := g.classMaxWait(t.queue)
	ready := max(wait, bodyTime)
	switch {
	case bodyTime > time.Duration(maxBodyShare*float64(maxWait)) || wait > t.queue.standing.maxWait(maxWait):
	case !t.deadline.IsZero() && now.Add(ready+g.expectedRun(t.queue)).After(t.deadline):
	case g.waiting+g.pendingBodies >= g.limits.QueueLength+max(0, free):
	default:
		return nil
	}
	return g.refusal(ready)
}

// arrive has t, which was expected, wait for a slot.
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
