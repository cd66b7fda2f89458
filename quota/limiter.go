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
	// and maxWaitingAll those of all organisations.
	maxWaiting    = 1 << 10
	maxWaitingAll = 1 << 12
	// maxRefuseTime is the longest time for which a node refuses requests on its own after
	// the coordinator has refused some. It bounds the messages that a surge causes.
	maxRefuseTime = 100 * time.Millisecond
	// lateRefuseTime is how long late requests are refused after the last refusal of others.
	lateRefuseTime = 300 * time.Millisecond
	// shortWait is the time up to which a request waits rather than being refused: the next
	// Request is sent to the coordinator after about that time.
	shortWait = 20 * time.Millisecond
	// unknownRetryAfter is when a caller may retry that was refused because no coordinator
	// has responded.
	unknownRetryAfter = LeaseDuration / 2
)

// Decision is the decision on a request.
type Decision struct {
	// Granted is whether the request may run, with Token.
	Granted bool
	Token   Token
	// Unknown is whether the request is refused because it isn't known if the limit is
	// reached. A request that is refused otherwise is over the limit.
	Unknown bool
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Pending is a request that waits for a decision.
type Pending struct {
	organisation string
	late         bool
	decide       func(Decision)
	cancelled    bool
}

// refusal is how requests of an organisation are refused for which there is no token.
type refusal struct {
	until     time.Duration // when tokens are requested again
	nextRetry time.Duration // when the next caller may retry
	retryStep time.Duration
	// unknown is whether it isn't certain that the limit is reached.
	unknown bool
}

// Limiter decides on a node's requests. It collects the tokens to request from a coordinator,
// and hands out granted tokens in the order of arrival. It is not safe for concurrent use. The
// functions that it is given are called synchronously.
type Limiter struct {
	*Client
	waiting      map[string][]*Pending
	requested    map[string][]*Pending // those of the Request in flight
	waitingCount int
	refusals     map[string]refusal
}

// NewLimiter returns a Limiter that requests tokens by the given Client.
func NewLimiter(c *Client) *Limiter {
	return &Limiter{
		Client:    c,
		waiting:   make(map[string][]*Pending),
		requested: make(map[string][]*Pending),
		refusals:  make(map[string]refusal),
	}
}

// Admit decides on a request by calling decide, and returns nil. If the request has to wait, it
// returns a Pending, and HandleResponse calls decide later. A late request, whose response would
// miss its latency objective, gets no token while others of its organisation are refused.
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

// queueFull is the decision on a request that arrives while too many others wait.
var queueFull = Decision{
	Unknown:    true,
	RetryAfter: unknownRetryAfter,
}

// Cancel removes a waiting request. It returns false if the request is decided on already.
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

// NextRequest returns the next Request to a coordinator, for the requests that wait.
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

// lateLast orders late requests after the others.
func lateLast(a, b *Pending) int {
	switch {
	case a.late == b.late:
		return 0
	case a.late:
		return 1
	}
	return -1
}

// countInTime returns how many requests of a list in that order are not late.
func countInTime(list []*Pending) int {
	n := slices.IndexFunc(list, func(p *Pending) bool { return p.late })
	if n < 0 {
		return len(list)
	}
	return n
}

// uncancelled returns the requests of a list that still wait.
func uncancelled(list []*Pending) []*Pending {
	var kept []*Pending
	for _, p := range list {
		if !p.cancelled {
			kept = append(kept, p)
		}
	}
	return kept
}

// HandleResponse handles the Response to a Request or a probe that was sent at the given time.
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

// HandleFailure handles a Request or a probe that got no Response. Requests that wait for it
// go on waiting.
func (l *Limiter) HandleFailure(coordinator string, r *Request, now time.Duration) {
	l.RecordFailure(coordinator, now)
	if len(r.Wanted) > 0 {
		l.requeue()
	}
}

// requeue has the requests wait again that the last Request has not decided on.
func (l *Limiter) requeue() {
	for name, list := range l.requested {
		delete(l.requested, name)
		if list = uncancelled(list); len(list) > 0 {
			l.waiting[name] = append(list, l.waiting[name]...)
		}
	}
}

// decide decides on the requests for which tokens were requested. Requests that are not late
// get tokens first.
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
	case g.RetryAfter <= 0: // nothing is known, or the tokens arrived too late
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

// refuse refuses requests and, if some of them are not late, those that arrive shortly after
// them.
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

// settle delivers the decision on a waiting request.
func (l *Limiter) settle(p *Pending, d Decision) {
	p.cancelled = true
	l.waitingCount--
	p.decide(d)
}

// SetLimits sets the organisations that have a limit. The state of others is dropped.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	for name := range l.refusals {
		if _, ok := limits[name]; !ok {
			delete(l.refusals, name)
		}
	}
}
