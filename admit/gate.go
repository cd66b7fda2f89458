// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"sync"
	"time"

	"sassafrasfront.example/coldstart"
	"sassafrasfront.example/throttle"
	"sassafrasfront.example/verdict"
)

// Gate admits requests to one upstream. The zero value refuses all requests until SetLimits is
// called. Its methods may be called from any goroutine.
type Gate struct {
	// ColdLimiter limits the rate of requests while the upstream is cold.
	ColdLimiter coldstart.Limiter
	// AdvertisedLimiter limits the rate of requests while the upstream advertises a limit.
	AdvertisedLimiter throttle.Limiter

	mu            sync.Mutex
	dispatchTimer *time.Timer // calls dispatch again when a limit lets a request start
	limits        Limits
	limiter       limiter
	classes       []*classQueue
	byName        map[string]*classQueue
	virtualTime   float64
	running       int
	waiting       int
	pendingBodies int           // number of requests that wait for their bodies, and not for a slot yet
	startTimeSum  time.Duration // sum over running requests of their start times since epoch
	epoch         time.Time
	draining      bool
	idle          chan struct{}
	slowdown      float64         // as last reported by the upstream, 0 if never
	slowdownAt    time.Time       // when it was last reported
	minSlowdown   slowdownMinimum // over the last second
	slowPeriods   slowPeriods     // in which the slowdown is at least slowRatio times its minimum
	releaseRate   float64         // expected rate at which running requests end, in 1/s
	failureRatio  DecayingRatio   // of recent requests

	abandoned abandonedRequests
	displaced uint64 // requests refused in favour of another organisation's
}

// SetLimits replaces the limits. Running and waiting requests keep their places, even if there
// are now more of them than the limits allow.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.epoch.IsZero() {
		g.epoch = now
		g.idle = make(chan struct{})
		g.limiter.restart(l.Slots, now)
	}
	if l.Slots != g.limits.Slots {
		g.limiter.limit = float64(l.Slots)
	}
	g.limits = l
	g.setClasses(l.Classes)
	g.dispatch(now)
}

// Restart records that the upstream has been restarted and is cold. The state learnt from the
// former start does not apply any more: its speed, the lengths of its slow periods, its run
// times and its failures are discarded. Running and waiting requests keep their places.
func (g *Gate) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.limiter.restart(g.limits.Slots, now)
	g.slowdown = 0
	g.slowdownAt = time.Time{}
	g.minSlowdown = slowdownMinimum{}
	g.slowPeriods = slowPeriods{}
	g.failureRatio = DecayingRatio{}
	for _, q := range g.classes {
		q.meanRun = 0
		q.flows.ResetHoldTimes()
	}
	g.dispatch(now)
}

// Drain refuses all new and all waiting requests. Running requests continue. The returned
// channel is closed once none runs.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	if !g.draining {
		g.draining = true
		g.refuseWaiting(verdict.New(verdict.Draining, nil))
		g.signalIdle()
	}
	return g.idle
}

// Resume accepts requests again after a Drain.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		g.draining = false
		g.idle = make(chan struct{})
	}
}

// RecordResult records whether the upstream failed a request that was sent to it.
func (g *Gate) RecordResult(failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failureRatio.Add(failed, time.Now())
}

// ObserveSlowdown records how many times longer than usual the upstream takes at present.
func (g *Gate) ObserveSlowdown(slowdown float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.slowdown = slowdown
	g.slowdownAt = now
	g.minSlowdown.observe(slowdown, now)
	g.slowPeriods.observe(slowdown >= slowRatio*g.minSlowdown.value(now), now)
	g.observeQueues(now)
	g.dispatch(now)
}

// slowRatio is the ratio of the slowdown to its recent minimum from which the upstream counts
// as slow: a request should then be sent elsewhere, or held.
const slowRatio = 2.0

// SlowdownAge returns how long ago the upstream last reported its speed.
func (g *Gate) SlowdownAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.slowdownAt)
}

// SlowedWithin returns whether the present slow period began within the given time, so that
// senders may not know about it yet.
func (g *Gate) SlowedWithin(within time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, slow := g.slowPeriods.age(time.Now())
	return slow && age < within
}

// currentSlowdown returns the last known slowdown.
func (g *Gate) currentSlowdown() float64 {
	if g.slowdown <= 0 {
		return 1
	}
	return g.slowdown
}

// Enter asks for a slot for a request of the given class that is of no use after the deadline.
// A zero deadline means none. The returned ticket runs, waits, or is refused.
func (g *Gate) Enter(class string, deadline time.Time) *Ticket {
	return g.EnterFor("", class, deadline)
}

// EnterFor does what Enter does for a request of the given organisation. The empty name means
// that the request has none.
func (g *Gate) EnterFor(organisation, class string, deadline time.Time) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.observeQueues(now)
	t := g.ticket(organisation, class, deadline, now)
	g.enter(t, now)
	return t
}

// ticket returns the ticket of a request that arrives now.
func (g *Gate) ticket(organisation, class string, deadline, now time.Time) *Ticket {
	return &Ticket{
		gate:         g,
		queue:        g.class(class),
		organisation: organisation,
		ready:        make(chan struct{}),
		enteredAt:    now,
		deadline:     deadline,
	}
}

// enter starts t, queues it, or refuses it. The lock is held.
func (g *Gate) enter(t *Ticket, now time.Time) {
	if err := g.checkAdmissible(t, now, t.deadline); err != nil {
		t.refuse(err)
		return
	}
	t.state = waiting
	t.flow = t.queue.flows.Flow(t.organisation, now)
	t.expectedRun = max(minRun, t.flow.ExpectedHoldTime(g.expectedRun(t.queue)))
	t.withinShare = t.flow.AddDemand(t.expectedRun, g.availableSlots(t.queue, now), now)
	t.queue.tag(t, g.virtualTime, g.expectedRun(t.queue))
	t.queue.push(t)
	g.waiting++
	g.dispatch(now)
	if t.state != waiting {
		return
	}
	if err := g.checkQueueable(t, now, t.deadline); err != nil {
		t.queue.remove(t)
		t.queue.finishTag = t.startTag
		g.waiting--
		t.refuse(err)
	}
}

// checkAdmissible returns why the request can't be admitted in any case, or nil.
func (g *Gate) checkAdmissible(t *Ticket, now, deadline time.Time) *verdict.Error {
	switch {
	case t.queue == nil || g.limits.Slots <= 0:
		return verdict.New(verdict.NoUpstream, nil)
	case g.draining:
		return verdict.New(verdict.Draining, nil)
	case !deadline.IsZero() && !now.Before(deadline):
		return verdict.New(verdict.DeadlinePassed, nil)
	}
	return nil
}

// revoke refuses t with err if it waits, and returns whether it did so.
func (g *Gate) revoke(t *Ticket, err *verdict.Error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case waiting:
		t.queue.remove(t)
		g.waiting--
	case pendingBody:
		g.pendingBodies--
		t.queue.pendingBodies--
	default:
		return false
	}
	t.refuse(err)
	return true
}

// release gives back the slot of t.
func (g *Gate) release(t *Ticket, healthy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != running {
		panic("admit: release of a request that is not running")
	}
	now := time.Now()
	g.observeQueues(now)
	t.state = released
	t.queue.running--
	t.flow.End(t.expectedRun, time.Duration(float64(now.Sub(t.startedAt))/t.slowdown), now)
	g.running--
	g.startTimeSum -= t.startedAt.Sub(g.epoch)
	g.releaseRate = max(0, g.releaseRate-t.releaseRate)
	if healthy {
		took := time.Duration(float64(now.Sub(t.startedAt)) / t.slowdown)
		g.limiter.observe(took, g.limits.Slots)
		t.queue.observeRun(took)
	}
	g.dispatch(now)
	g.signalIdle()
}

// observeQueues records which classes have waiting requests. Each class is observed separately:
// if the queue of a low priority never empties, a request of a higher priority may still start in
// time.
func (g *Gate) observeQueues(now time.Time) {
	for _, q := range g.classes {
		q.standing.observe(len(q.waiting) > 0, now)
	}
}

// class returns the queue of the named class, or that of the first class.
func (g *Gate) class(name string) *classQueue {
	if q, ok := g.byName[name]; ok {
		return q
	}
	if len(g.classes) == 0 {
		return nil
	}
	return g.classes[0]
}

// setClasses replaces the classes. A class that has been removed keeps its queue, at the end of
// the list, until the queue is empty.
func (g *Gate) setClasses(classes []Class) {
	if len(classes) == 0 {
		classes = []Class{defaultClass}
	}
	old := g.classes
	known := g.byName
	g.classes = nil
	g.byName = make(map[string]*classQueue, len(classes))
	for _, c := range classes {
		q := known[c.Name]
		if q == nil {
			q = &classQueue{}
		}
		q.flows.Weight = g.limits.Weight
		q.flows.UpdateWeights()
		q.class = c
		g.classes = append(g.classes, q)
		g.byName[c.Name] = q
	}
	for _, q := range old {
		if g.byName[q.class.Name] != q && len(q.waiting)+q.running+q.pendingBodies > 0 {
			g.classes = append(g.classes, q)
		}
	}
}

// refuseWaiting refuses every waiting request.
func (g *Gate) refuseWaiting(err *verdict.Error) {
	for _, q := range g.classes {
		for len(q.waiting) > 0 {
			t := q.waiting[0]
			q.remove(t)
			g.waiting--
			t.refuse(err)
		}
	}
}

// signalIdle closes the idle channel if the gate drains and no request runs.
func (g *Gate) signalIdle() {
	if !g.draining || g.running > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// refuse ends the wait of t with err. The gate's mutex is held.
func (t *Ticket) refuse(err *verdict.Error) {
	t.state = refused
	t.failure = err
	t.startedAt = time.Now()
	close(t.ready)
}
