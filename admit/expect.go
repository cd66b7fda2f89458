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
func (g *Gate) EnterPendingBody(organisation, class string, deadline time.Time, coming time.Duration) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.observeQueues(now)
	t := g.ticket(organisation, class, deadline, now)
	t.state = expected
	err := g.admissible(t, now, deadline)
	if err == nil {
		err = g.expectable(t, now, coming)
	}
	if err != nil {
		t.refuse(err)
		return t
	}
	g.expected++
	t.queue.expected++
	return t
}

// bodyShare is the part of the longest wait that a body may take. The rest is left for the
// wait for a slot, and for what a transfer takes beside the bytes ahead of it.
const bodyShare = 0.5

// expectable returns why a request whose body is there after the given time is better
// refused, or nil. Those that are expected already count as if they waited. The lock is held.
func (g *Gate) expectable(t *Ticket, now time.Time, coming time.Duration) *verdict.Error {
	free := min(g.allowed(now), t.queue.cap(g.limits.Slots)) - g.occupied(now) - g.waiting
	wait := g.AdvertisedLimiter.Wait(g.waiting + g.expected)
	if g.expected >= free {
		wait = max(wait, g.expectedWait(t.queue, len(t.queue.waiting)+1+g.expected, now))
	}
	longest := g.longestWait(t.queue)
	ready := max(wait, coming)
	switch {
	case coming > time.Duration(bodyShare*float64(longest)) || wait > t.queue.standing.bound(longest):
	case !t.deadline.IsZero() && now.Add(ready+g.run(t.queue)).After(t.deadline):
	case g.waiting+g.expected >= g.limits.QueueLength+max(0, free):
	default:
		return nil
	}
	return g.full(ready)
}

// arrive has t, which was expected, wait for a slot.
func (g *Gate) arrive(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != expected {
		return
	}
	now := time.Now()
	g.observeQueues(now)
	g.expected--
	t.queue.expected--
	t.entered = now
	g.enter(t, now)
}
