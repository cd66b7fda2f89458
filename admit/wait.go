// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"time"

	"sassafrasfront.example/verdict"
)

const (
	// runSpread is how many times the mean run time a request is given within its
	// objective. Nine in ten requests whose run times have a standard deviation of
	// 0.3 of their mean take less. With 2.0 fewer were served, with 1.2 as many.
	runSpread = 1.5
	// waitFloor is the part of the objective that a request may wait in any case. It
	// counts where the run takes nearly all of the objective, as at cold upstreams:
	// with an eighth, requests were refused for a slow spell while nothing ran.
	waitFloor = 0.25
	// expectedPart is the part of the objective that a request is expected to run
	// before any of its class has. Operators set objectives at two to five times the
	// usual run time.
	expectedPart = 0.25
)

// queueable returns why the request, which stands in its queue, may not wait,
// or nil if it may.
func (g *Gate) queueable(t *Ticket, now, deadline time.Time) *verdict.Error {
	wait := g.expectedWait(t.queue, now, 0)
	full := verdict.New(verdict.Refused, nil).WithRetryAfter(wait)
	if wait > t.queue.standing.bound(g.longestWait(t.queue)) {
		return full
	}
	if !deadline.IsZero() && now.Add(wait+g.run(t.queue)).After(deadline) {
		return full
	}
	if g.waiting > g.limits.QueueLength && !g.shed(t, full) {
		return full
	}
	return nil
}

// expectedWait returns the time after which the last request of q starts. Before
// it start the n requests of q that wait and, of each other class o, as many as
// fair queueing lets pass,
//
//	min(n_o, n (s w_o) / (s_o w))
//
// for waiting requests n, run times s and weights w. Slots become free at the rate
// sum of 1/(s k) over the running requests, which began with a slowdown of k. What
// is held back by a slow spell waits for its expected end besides, and what a cold upstream
// does not bear yet for the second that has room for it. More requests of q, which don't
// wait yet, count as if they did.
func (g *Gate) expectedWait(q *classQueue, now time.Time, more int) time.Duration {
	n := float64(len(q.waiting) + more)
	ahead := n
	own := n * g.run(q).Seconds() / q.class.Weight
	for _, o := range g.classes {
		if o != q && len(o.waiting) > 0 {
			ahead += min(float64(len(o.waiting)), own*o.class.Weight/max(leastRun, g.run(o)).Seconds())
		}
	}
	var wait time.Duration
	if g.held(q, now) {
		wait = g.spells.rest(now, maxRest)
	}
	wait = max(wait, g.Pace.Wait(max(0, int(ahead)-1)))
	free := min(g.allowed(now), q.cap(g.limits.Slots)) - g.running
	ahead -= float64(max(0, free))
	if ahead <= 0 || g.freeing <= 0 {
		return wait
	}
	return wait + time.Duration(ahead/g.freeing*float64(time.Second))
}

// run returns the expected run time of a request of q at the usual speed.
func (g *Gate) run(q *classQueue) time.Duration {
	switch {
	case q.run > 0:
		return time.Duration(q.run * float64(time.Second))
	case q.class.Objective > 0:
		return time.Duration(expectedPart * float64(q.class.Objective))
	}
	return time.Duration(g.limiter.fast * float64(time.Second))
}

// shed refuses the newest waiting request of the lowest priority, if that is
// lower than t's, and returns whether there was one.
func (g *Gate) shed(t *Ticket, err *verdict.Error) bool {
	var lowest *classQueue
	for _, q := range g.classes {
		if len(q.waiting) == 0 || q.class.Priority >= t.queue.class.Priority {
			continue
		}
		if lowest == nil || q.class.Priority < lowest.class.Priority {
			lowest = q
		}
	}
	if lowest == nil {
		return false
	}
	victim := lowest.waiting[len(lowest.waiting)-1]
	lowest.remove(victim)
	lowest.finish = victim.start
	g.waiting--
	victim.refuse(err)
	return true
}

// expire refuses t if it still waits after the longest allowed time.
func (g *Gate) expire(t *Ticket) {
	g.mu.Lock()
	after := g.expectedWait(t.queue, time.Now(), 0)
	g.mu.Unlock()
	g.revoke(t, verdict.New(verdict.Refused, nil).WithRetryAfter(after))
}

// queueWait returns the longest time that t waits: until what is left of its time is
// its expected run. It is refused then, while its caller can still be told that it has
// not run. One that waits on to its deadline is answered that it may have run, which
// nobody repeats (TestWaitEndsBeforeTheDeadline).
func (g *Gate) queueWait(t *Ticket) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := g.longestWait(t.queue)
	if t.deadline.IsZero() {
		return longest
	}
	return min(longest, max(0, time.Until(t.deadline)-g.run(t.queue)))
}

// longestWait returns the longest time that a request of q waits: what its
// objective leaves beside its run. With 37 ms for uploads and calls and 150 ms for
// reads in place of that, 0.53 of the uploads and 0.49 of the calls end within
// their objectives, in place of 0.96 and 0.78 (TestLongRequestsOfALowClass). The
// lock is held.
func (g *Gate) longestWait(q *classQueue) time.Duration {
	switch {
	case q == nil:
		return g.limits.QueueWait
	case q.class.Wait > 0:
		return q.class.Wait
	case q.class.Objective > 0:
		o := float64(q.class.Objective)
		run := g.pace.value(time.Now()) * float64(g.run(q))
		return time.Duration(max(waitFloor*o, o-runSpread*run))
	}
	return g.limits.QueueWait
}
