// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the requests of one organisation that wait for tokens at a node,
	// and maxWaitingAll those of all.
	maxWaiting    = 1 << 10
	maxWaitingAll = 1 << 12
	// refuseFor is how long at most a node refuses without asking once the home has
	// refused. It bounds the messages that an organisation's rush causes.
	maxRefuseTime = 100 * time.Millisecond
	// lateAfter is how long late requests are refused after the last refusal of others.
	lateRefuseTime = 300 * time.Millisecond
	// nearly is the time for which a request waits rather than being refused: the home is
	// asked again about then.
	shortWait = 20 * time.Millisecond
	// unknownWait is when a caller may come back that was refused as no home has answered.
	unknownRetryAfter = LeaseDuration / 2
)

// Decision is what is decided on a request.
type Decision struct {
	// Granted is whether it may run, with Token.
	Granted bool
	Token   Token
	// Unknown is whether it may not as nobody knows if the limit is reached; otherwise it is.
	Unknown bool
	// Wait is when the caller may come back.
	RetryAfter time.Duration
}

// Pending is a request that waits.
type Pending struct {
	organisation string
	late         bool
	decide       func(Decision)
	cancelled    bool
}

// refusal is what is told to the callers of an organisation for which there is no token.
type refusal struct {
	until     time.Duration // when the home is asked again
	nextRetry time.Duration // when the next caller may come back
	retryStep time.Duration
	// unknown is whether that isn't certain.
	unknown bool
}

// Limiter decides on a node's requests: it gathers what to ask a home for, and hands out
// what it grants in the order of arrival. It is not safe for use by several goroutines at
// once, and calls the functions that it is given without waiting for anything.
type Limiter struct {
	*Client
	waiting      map[string][]*Pending
	requested    map[string][]*Pending // of them, in the Ask that is under way
	waitingCount int
	refusals     map[string]refusal
}

// NewLimiter returns a Limiter that asks by the given Client.
func NewLimiter(c *Client) *Limiter {
	return &Limiter{
		Client:    c,
		waiting:   make(map[string][]*Pending),
		requested: make(map[string][]*Pending),
		refusals:  make(map[string]refusal),
	}
}

// Admit decides on a request, or has it wait: decide is called then by Answered. It returns
// nil if it has decided. A late request, whose answer would come after its objective,
// gets no token while others of its organisation are refused.
func (l *Limiter) Admit(organisation string, late bool, now time.Duration, decide func(Decision)) *Pending {
	r, refused := l.refusals[organisation]
	if refused && late && now < r.until+lateRefuseTime {
		decide(Decision{
			Unknown:    r.unknown,
			RetryAfter: max(r.nextRetry-now, r.retryStep),
		})
		return nil
	}
	if t, ok := l.Take(organisation, now); ok {
		decide(Decision{
			Granted: true,
			Token:   t,
		})
		return nil
	}
	if refused && now < r.until {
		decide(Decision{
			Unknown:    r.unknown,
			RetryAfter: max(r.nextRetry-now, r.retryStep),
		})
		r.nextRetry += r.retryStep
		l.refusals[organisation] = r
		return nil
	}
	if refused && now >= r.until+lateRefuseTime {
		delete(l.refusals, organisation)
	}
	if l.waitingCount >= maxWaitingAll || len(l.waiting[organisation]) >= maxWaiting {
		decide(queueFull)
		return nil
	}
	p := &Pending{
		organisation: organisation,
		late:         late,
		decide:       decide,
	}
	l.waiting[organisation] = append(l.waiting[organisation], p)
	l.waitingCount++
	return p
}

// unknown is the decision on a request for which there is no room to wait.
var queueFull = Decision{
	Unknown:    true,
	RetryAfter: unknownRetryAfter,
}

// Cancel has a request not wait any longer. It returns false if it is decided on already.
func (l *Limiter) Cancel(p *Pending) bool {
	if p.cancelled {
		return false
	}
	p.cancelled = true
	l.waitingCount--
	return true
}

// Waiting returns the number of requests that wait.
func (l *Limiter) Waiting() int { return l.waitingCount }

// Ask returns the next Ask to a home, for the requests that wait.
func (l *Limiter) NextRequest(coordinator string, now time.Duration) *Request {
	var wanted []TokenCount
	for _, name := range slices.Sorted(maps.Keys(l.waiting)) {
		list := uncancelled(l.waiting[name])
		delete(l.waiting, name)
		if len(list) == 0 {
			continue
		}
		slices.SortStableFunc(list, lateLast)
		l.requested[name] = list
		wanted = append(wanted, TokenCount{
			Organisation: name,
			Tokens:       len(list),
			Late:         len(list) - countInTime(list),
		})
	}
	return l.Client.NextRequest(coordinator, wanted, now)
}

// inTimeFirst orders requests that are late after others.
func lateLast(a, b *Pending) int {
	switch {
	case a.late == b.late:
		return 0
	case a.late:
		return 1
	}
	return -1
}

// inTime returns how many requests of a list in that order are not late.
func countInTime(list []*Pending) int {
	n := slices.IndexFunc(list, func(p *Pending) bool { return p.late })
	if n < 0 {
		return len(list)
	}
	return n
}

// uncancelled returns those of the list that still wait.
func uncancelled(list []*Pending) []*Pending {
	var kept []*Pending
	for _, p := range list {
		if !p.cancelled {
			kept = append(kept, p)
		}
	}
	return kept
}

// Answered takes in the answer to an Ask or a probe that was sent at a time.
func (l *Limiter) HandleResponse(coordinator string, r *Request, response *Response, sent, now time.Duration) {
	l.Client.HandleResponse(coordinator, r, response, sent, now)
	if len(r.Wanted) == 0 {
		return
	}
	for _, g := range response.Grants {
		l.decide(g, now)
	}
	l.requeue()
}

// Unanswered takes in that an Ask or a probe was not answered. Who waits goes on.
func (l *Limiter) HandleFailure(coordinator string, r *Request, now time.Duration) {
	l.RecordFailure(coordinator, now)
	if len(r.Wanted) > 0 {
		l.requeue()
	}
}

// requeue has those wait again that the last Ask has not decided on.
func (l *Limiter) requeue() {
	for name, list := range l.requested {
		delete(l.requested, name)
		if list = uncancelled(list); len(list) > 0 {
			l.waiting[name] = append(list, l.waiting[name]...)
		}
	}
}

// decide decides on the requests for which a home was asked. Tokens go to those in time first.
func (l *Limiter) decide(g Grant, now time.Duration) {
	list := uncancelled(l.requested[g.Organisation])
	delete(l.requested, g.Organisation)
	for len(list) > 0 {
		t, ok := l.Take(g.Organisation, now)
		if !ok {
			break
		}
		l.settle(list[0], Decision{
			Granted: true,
			Token:   t,
		})
		list = list[1:]
	}
	switch {
	case len(list) == 0:
	case g.RetryAfter <= 0: // nothing is known, or the tokens came too late
		l.waiting[g.Organisation] = append(list, l.waiting[g.Organisation]...)
	default:
		kept := min(countInTime(list), 1+int((shortWait-g.RetryAfter)/max(g.RetryStep, 1)))
		if g.RetryAfter > shortWait {
			kept = 0
		}
		l.waiting[g.Organisation] = append(slices.Clone(list[:kept]), l.waiting[g.Organisation]...)
		g.RetryAfter += g.RetryStep * time.Duration(kept)
		if kept < len(list) {
			l.refuse(list[kept:], g, now)
		}
	}
}

// refuse refuses requests and, if some of them are in time, those that come in the next
// moment.
func (l *Limiter) refuse(list []*Pending, g Grant, now time.Duration) {
	next := now + g.RetryAfter
	anyInTime := countInTime(list) > 0
	for _, p := range list {
		l.settle(p, Decision{
			Unknown:    g.Unknown,
			RetryAfter: next - now,
		})
		next += g.RetryStep
	}
	if !anyInTime {
		return
	}
	l.refusals[g.Organisation] = refusal{
		until:     now + min(g.RetryAfter, maxRefuseTime),
		nextRetry: next,
		retryStep: g.RetryStep,
		unknown:   g.Unknown,
	}
}

// settle tells a request that waits what is decided.
func (l *Limiter) settle(p *Pending, d Decision) {
	p.cancelled = true
	l.waitingCount--
	p.decide(d)
}

// Limits takes in which organisations have a limit now: what is kept of others goes.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	for name := range l.refusals {
		if _, ok := limits[name]; !ok {
			delete(l.refusals, name)
		}
	}
}
