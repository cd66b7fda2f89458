// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"time"

	"sassafrasfront.example/verdict"
)

const (
	// runTimeMargin is the multiple of the mean run time that is reserved for a request within
	// its objective. Nine in ten requests whose run times have a standard deviation of 0.3 of
	// their mean take less. With 2.0 fewer requests were served, with 1.2 as many.
	runTimeMargin = 1.5
	// minWaitFraction is the fraction of the objective that a request may wait in any case. It applies
	// if the run takes nearly all of the objective, as at cold upstreams: with an eighth,
	// requests were refused for a slow period while nothing ran.
	minWaitFraction = 0.25
	// initialRunFraction is the fraction of the objective that a run is expected to take before any
	// request of the class has run. Operators set objectives at two to five times the usual
	// run time.
	initialRunFraction = 0.25
)

// checkQueueable returns why the request, which is already in its queue, may not wait, or nil if
// it may.
func (g *Gate) checkQueueable(t *Ticket, now, deadline time.Time) *verdict.Error {
	wait := g.expectedWait(t.queue, g.queuePosition(t), now)
	if wait > t.queue.maxWait(t, g.classMaxWait(t.queue)) {
		return g.refusal(wait)
	}
	if !deadline.IsZero() && now.Add(wait+g.expectedRun(t.queue)).After(deadline) {
		return g.refusal(wait)
	}
	if g.waiting > g.limits.QueueLength && !g.shed(t, wait) {
		return g.refusal(wait)
	}
	return nil
}

// refusal returns the error for a request that would have to wait for the given time. The lock is
// held.
func (g *Gate) refusal(wait time.Duration) *verdict.Error {
	return verdict.New(verdict.Refused, nil).WithRetryAfter(g.AdvertisedLimiter.RetryAfter(wait))
}

// queuePosition returns the number of requests of t's class that start up to and including the
// last one of t's organisation.
func (g *Gate) queuePosition(t *Ticket) int {
	return t.flow.QueuePosition(max(minRun, g.expectedRun(t.queue)))
}

// expectedWait returns the time after which the given number of waiting requests of q have
// started. Before the last of these n requests, fair queueing lets
//
//	min(n_o, n (s w_o) / (s_o w))
//
// requests of each other class o start, for waiting requests n, run times s and weights w. Slots
// become free at the rate sum of 1/(s k) over the running requests, which started at a slowdown
// of k. The wait also includes the expected remaining time of a slow period for which requests are
// held, and the time until the limits of a cold upstream or its advertised limit allow the
// start.
func (g *Gate) expectedWait(q *classQueue, starting int, now time.Time) time.Duration {
	n := float64(starting)
	ahead := n
	own := n * g.expectedRun(q).Seconds() / q.class.Weight
	for _, o := range g.classes {
		if o != q && len(o.waiting) > 0 {
			ahead += min(float64(len(o.waiting)), own*o.class.Weight/max(minRun, g.expectedRun(o)).Seconds())
		}
	}
	var wait time.Duration
	if g.shouldHold(q, now) {
		wait = g.slowPeriods.remaining(now, maxSlowRemaining)
	}
	wait = max(wait, g.limitWait(max(0, int(ahead)-1)))
	free := min(g.allowed(now), q.maxSlots(g.limits.Slots)) - g.occupiedSlots(now)
	ahead -= float64(max(0, free))
	if ahead <= 0 || g.releaseRate <= 0 {
		return wait
	}
	return wait + time.Duration(ahead/g.releaseRate*float64(time.Second))
}

// availableSlots returns the number of slots that the other classes leave to q, in slots of an
// upstream that runs at its usual speed.
func (g *Gate) availableSlots(q *classQueue, now time.Time) float64 {
	n := g.allowed(now) - (g.occupiedSlots(now) - q.running)
	return float64(max(1, min(n, q.maxSlots(g.limits.Slots)))) / g.currentSlowdown()
}

// expectedRun returns the expected run time of a request of q at the usual speed.
func (g *Gate) expectedRun(q *classQueue) time.Duration {
	switch {
	case q.meanRun > 0:
		return time.Duration(q.meanRun * float64(time.Second))
	case q.class.Objective > 0:
		return time.Duration(initialRunFraction * float64(q.class.Objective))
	}
	return time.Duration(g.limiter.fast * float64(time.Second))
}

// shed refuses a waiting request in favour of t, and returns whether there was one. The refused
// request is the newest one of the organisation with the most waiting requests in the class of the
// lowest priority, if that is lower than t's. Otherwise it is one of a class of the same priority, if
// another organisation has more requests waiting there than that of t. It would have waited for
// about as long as t.
func (g *Gate) shed(t *Ticket, wait time.Duration) bool {
	victim := g.lowerPriorityVictim(t)
	if victim == nil {
		if victim = g.largerFlowVictim(t); victim == nil {
			return false
		}
		g.displaced++
	}
	q := victim.queue
	last := victim == q.waiting[len(q.waiting)-1]
	q.remove(victim)
	if last {
		q.finishTag = victim.startTag
	}
	g.waiting--
	victim.refuse(g.refusal(wait))
	return true
}

// lowerPriorityVictim returns a waiting request of a lower priority to refuse in favour of t, or
// nil.
func (g *Gate) lowerPriorityVictim(t *Ticket) *Ticket {
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
		return nil
	}
	return lowest.newestOfLargestFlow()
}

// largerFlowVictim returns a waiting request to refuse in favour of t because its organisation has
// more requests waiting, or nil.
func (g *Gate) largerFlowVictim(t *Ticket) *Ticket {
	var victim *Ticket
	most := t.flow.Waiting()
	for _, q := range g.classes {
		if q.class.Priority != t.queue.class.Priority {
			continue
		}
		if v := q.newestOfLargestFlow(); v != nil && v.flow.Waiting() > most && v.flow.Name() != t.flow.Name() {
			victim = v
			most = v.flow.Waiting()
		}
	}
	return victim
}

// expire refuses t if it still waits after the longest allowed time.
func (g *Gate) expire(t *Ticket) {
	g.mu.Lock()
	err := g.refusal(g.expectedWait(t.queue, g.queuePosition(t), time.Now()))
	g.mu.Unlock()
	g.revoke(t, err)
}

// waitLimit returns the longest time that t waits: until its remaining time equals its expected
// run time. It is refused then, while its caller can still be told that it has not run. If it
// waited up to its deadline, the result would be that it may have run, and nobody would retry it.
func (g *Gate) waitLimit(t *Ticket) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	maxWait := g.classMaxWait(t.queue)
	if t.deadline.IsZero() {
		return maxWait
	}
	return min(maxWait, max(0, time.Until(t.deadline)-g.expectedRun(t.queue)))
}

// classMaxWait returns the longest time that a request of q waits, which by default is what its
// objective leaves beside its run. A wait that is the same for all requests would be too short for
// those with a long objective to get a slot. The lock is held.
func (g *Gate) classMaxWait(q *classQueue) time.Duration {
	switch {
	case q == nil:
		return g.limits.QueueWait
	case q.class.MaxWait > 0:
		return q.class.MaxWait
	case q.class.Objective > 0:
		objective := float64(q.class.Objective)
		run := g.minSlowdown.value(time.Now()) * float64(g.expectedRun(q))
		return time.Duration(max(minWaitFraction*objective, objective-runTimeMargin*run))
	}
	return g.limits.QueueWait
}
