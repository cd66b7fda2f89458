// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"context"
	"slices"
	"time"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/route"
	"sassafrasfront.example/verdict"
)

// attempt is one attempt to have a request served by an upstream.
type attempt struct {
	assignment *route.Assignment[string]
	member     Member
	exchange   *peer.Exchange
	startedAt  time.Time
	silent     bool // whether the node has been reported silent
}

// silentChan returns the channel that reports that the node is silent, or nil once it has
// been reported.
func (a *attempt) silentChan() <-chan struct{} {
	if a.silent {
		return nil
	}
	return a.exchange.Silent()
}

// finish closes the attempt and reports its outcome to the routing pool.
func (a *attempt) finish(failure *verdict.Error) {
	a.assignment.Done(outcome(failure))
	if a.exchange != nil {
		a.exchange.Close()
	}
}

// outcome returns what a failure indicates about the upstream.
func outcome(failure *verdict.Error) route.Outcome {
	if failure == nil {
		return route.Succeeded
	}
	switch failure.Cause {
	case verdict.DialFailed, verdict.UpstreamDialFailed, verdict.Misrouted:
		return route.Unreachable
	case verdict.PeerLost, verdict.UpstreamLost, verdict.TimedOut, verdict.ResponseInvalid:
		return route.Failed
	case verdict.Refused, verdict.Slowed, verdict.Draining, verdict.UpstreamRefused:
		return route.Refused
	}
	return route.Unknown
}

// startAttempt picks an upstream to which the request has not been sent yet and starts a call
// there. If the request has been sent to all of them, it picks any that has not refused it.
func (d *Dispatcher) startAttempt(ctx context.Context, s *service, r *Request, tried, refused []string) (*attempt, *verdict.Error) {
	if !time.Now().Before(r.Deadline) {
		return nil, verdict.New(verdict.DeadlinePassed, nil)
	}
	if failure := d.stopError(); failure != nil {
		return nil, failure
	}
	s, assignment, m, ok := d.pickCurrent(s, r, tried, refused)
	if !ok && len(refused) > 0 {
		return nil, verdict.New(verdict.Refused, nil).WithGivenUp() // all are at capacity
	}
	if !ok {
		return nil, d.noUpstream()
	}
	a := &attempt{
		assignment: assignment,
		member:     m,
		startedAt:  time.Now(),
	}
	c := r.call(len(tried) + 1)
	c.Notice = d.notices.get(a.member.ID)
	x, failure := d.client(s, a.member).Start(ctx, c, r.bodyReader())
	if failure != nil {
		a.finish(failure)
		return a, failure
	}
	a.exchange = x
	return a, nil
}

const (
	// discoveryPeriod is how long after its start a node may still be unaware of the other nodes.
	discoveryPeriod = 2 * time.Second
	// retryAfterDiscovery is the Retry-After during that period. After a simultaneous start
	// of all nodes, most of them know the others within this time. A longer value would make
	// all refused callers retry at the same later moment.
	retryAfterDiscovery = 250 * time.Millisecond
)

// noUpstream returns the failure of a request to a service that has no known upstream.
func (d *Dispatcher) noUpstream() *verdict.Error {
	e := verdict.New(verdict.NoUpstream, nil)
	if time.Since(d.Started) < discoveryPeriod || d.discovering() {
		e = e.WithRetryAfter(retryAfterDiscovery)
	}
	return e
}

// pickCurrent picks an upstream, as described at startAttempt, among the current members of the
// service, and returns them too. A service and its later versions share one pool, so a pick may
// name a member that was added in the meantime.
func (d *Dispatcher) pickCurrent(s *service, r *Request, tried, refused []string) (*service, *route.Assignment[string], Member, bool) {
	for {
		if now := d.currentServices()[s.Name]; now != nil {
			s = now
		}
		assignment, ok := d.pick(s, r, tried, refused)
		if !ok {
			return s, nil, Member{}, false
		}
		m, ok := s.member(assignment.Key())
		if ok {
			return s, assignment, m, true
		}
		assignment.Done(route.Unknown)
		d.awaitUpdate()
		if d.currentServices()[s.Name] == s {
			return s, nil, Member{}, false
		}
	}
}

// awaitUpdate waits until no update of the services is in progress. An update changes the pools
// before it stores the services.
func (d *Dispatcher) awaitUpdate() {
	d.mu.Lock()
	defer d.mu.Unlock()
}

// pick picks an upstream, as described at startAttempt.
func (d *Dispatcher) pick(s *service, r *Request, tried, refused []string) (*route.Assignment[string], bool) {
	for _, excluded := range s.exclusions(len(tried) > 0) {
		if assignment, ok := d.pickAmong(s, r, tried, refused, excluded); ok {
			return assignment, true
		}
	}
	return nil, false
}

// pickAmong picks an upstream that excluded does not rule out, as described at startAttempt.
func (d *Dispatcher) pickAmong(s *service, r *Request, tried, refused []string, excluded func(id string) bool) (*route.Assignment[string], bool) {
	ineligible := func(id string) bool { return excluded(id) || !s.inRegions(id, r.Regions) }
	unavailable := func(id string) bool { return slices.Contains(tried, id) || ineligible(id) }
	if d.Quarantine.Assess(r.Fingerprint).State == quarantine.Isolated {
		return s.pickIsolated(r.Fingerprint, unavailable)
	}
	// The responsive members are determined first: PickWithMaxWait holds the pool's lock, and
	// SetServices takes that lock while it holds the Dispatcher's.
	responsive := d.responsive(s)
	maxWait := r.maxLimitWait(refused)
	assignment, ok := s.pool.PickWithMaxWait(maxWait, r.bodyFrameBytes(), func(id string) bool { return unavailable(id) || !responsive[id] })
	if !ok {
		assignment, ok = s.pool.PickWithMaxWait(maxWait, r.bodyFrameBytes(), unavailable)
	}
	if !ok && len(tried) > 0 {
		assignment, ok = s.pool.PickWithMaxWait(maxWait, r.bodyFrameBytes(), func(id string) bool { return slices.Contains(refused, id) || ineligible(id) })
	}
	return assignment, ok
}

// maxWaitFraction is the fraction of its objective that a request may wait under a limit
// advertised by an upstream. The rest is left for the request to run.
const maxWaitFraction = 0.5

// maxLimitWait returns how long the request may wait under an advertised limit, or 0 for no bound. The
// first gate decides by itself, because it knows the order of its queue. A request that it has refused
// is not sent to others that are known to have no room for it either.
func (r *Request) maxLimitWait(refused []string) time.Duration {
	if len(refused) == 0 {
		return 0
	}
	return time.Duration(maxWaitFraction * float64(r.Objective))
}

// responsive returns the members of the node's subset whose nodes respond on an open connection. It
// starts to connect to the others, so that a request need not wait for a node that may be down
// while others respond.
func (d *Dispatcher) responsive(s *service) map[string]bool {
	responsive := make(map[string]bool, len(s.subset))
	for _, m := range s.subset {
		c := d.client(s, m)
		responsive[m.ID] = c.Responsive()
		if !responsive[m.ID] && c.dialing.CompareAndSwap(false, true) {
			go func() {
				defer c.dialing.Store(false)
				_ = c.Connect(context.Background()) // a request without an alternative will report the failure
			}()
		}
	}
	return responsive
}

// inRegions returns whether a member is in one of the given regions. No regions means any.
func (s *service) inRegions(id string, regions []string) bool {
	if len(regions) == 0 {
		return true
	}
	m, ok := s.member(id)
	return ok && slices.Contains(regions, m.Region)
}

// member returns the member with the given id.
func (s *service) member(id string) (Member, bool) {
	i, ok := s.memberIndex[id]
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}
