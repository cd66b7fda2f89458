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

// attempt is one sending of a request.
type attempt struct {
	assignment *route.Assignment[string]
	member     Member
	exchange   *peer.Exchange
	startedAt  time.Time
	silent     bool // whether the member's node has been silent for long
}

// silence returns the channel that tells that the node is silent, or nil once it has told.
func (a *attempt) silentChan() <-chan struct{} {
	if a.silent {
		return nil
	}
	return a.exchange.Silent()
}

// end closes the attempt and tells the routing how it went.
func (a *attempt) finish(failure *verdict.Error) {
	a.assignment.Done(outcome(failure))
	if a.exchange != nil {
		a.exchange.Close()
	}
}

// outcome returns what a failure says of the upstream.
func outcome(failure *verdict.Error) route.Outcome {
	if failure == nil {
		return route.Succeeded
	}
	switch failure.Cause {
	case verdict.DialFailed, verdict.UpstreamDialFailed, verdict.Misrouted:
		return route.Unreachable
	case verdict.PeerLost, verdict.UpstreamLost, verdict.TimedOut, verdict.AnswerInvalid:
		return route.Failed
	case verdict.Refused, verdict.Slowed, verdict.Draining, verdict.UpstreamRefused:
		return route.Refused
	}
	return route.Unknown
}

// start picks an upstream that the request has not been sent to yet, or any that
// has not refused it if it has been sent to all, and sends the request there.
func (d *Dispatcher) startAttempt(ctx context.Context, s *service, r *Request, tried, refused []string) (*attempt, *verdict.Error) {
	if !time.Now().Before(r.Deadline) {
		return nil, verdict.New(verdict.DeadlinePassed, nil)
	}
	if failure := d.stopError(); failure != nil {
		return nil, failure
	}
	s, use, m, ok := d.pickCurrent(s, r, tried, refused)
	if !ok && len(refused) > 0 {
		return nil, verdict.New(verdict.Refused, nil).WithGivenUp() // all are full
	}
	if !ok {
		return nil, d.noUpstream()
	}
	a := &attempt{
		assignment: use,
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
	// learning is how long after its start a node may not have heard of the others yet.
	discoveryPeriod = 2 * time.Second
	// comeBackLearnt is what a caller is told to wait for meanwhile. After a start of all
	// nodes at once most know the others within that time, and callers that came back
	// after longer would all come at the same later moment.
	retryAfterDiscovery = 250 * time.Millisecond
)

// noUpstream returns the failure of a request to a service without a known upstream.
func (d *Dispatcher) noUpstream() *verdict.Error {
	e := verdict.New(verdict.NoUpstream, nil)
	if time.Since(d.Started) < discoveryPeriod || d.discovering() {
		e = e.WithRetryAfter(retryAfterDiscovery)
	}
	return e
}

// choose picks an upstream, as start says, among the members that the service has now, and returns
// them too. The pool is the same for a service and those that come after it, so that a pick may be
// of a member that has come meanwhile.
func (d *Dispatcher) pickCurrent(s *service, r *Request, tried, refused []string) (*service, *route.Assignment[string], Member, bool) {
	for {
		if now := d.currentServices()[s.Name]; now != nil {
			s = now
		}
		use, ok := d.pick(s, r, tried, refused)
		if !ok {
			return s, nil, Member{}, false
		}
		m, ok := s.member(use.Key())
		if ok {
			return s, use, m, true
		}
		use.Done(route.Unknown)
		d.awaitUpdate()
		if d.currentServices()[s.Name] == s {
			return s, nil, Member{}, false
		}
	}
}

// awaitSet waits until the services are not being replaced: their pools are before they are.
func (d *Dispatcher) awaitUpdate() {
	d.mu.Lock()
	defer d.mu.Unlock()
}

// pick picks an upstream, as start says.
func (d *Dispatcher) pick(s *service, r *Request, tried, refused []string) (*route.Assignment[string], bool) {
	for _, excluded := range s.exclusions(len(tried) > 0) {
		if use, ok := d.pickAmong(s, r, tried, refused, excluded); ok {
			return use, true
		}
	}
	return nil, false
}

// pickOf picks an upstream of those that other does not pass over, as start says.
func (d *Dispatcher) pickAmong(s *service, r *Request, tried, refused []string, excluded func(id string) bool) (*route.Assignment[string], bool) {
	ineligible := func(id string) bool { return excluded(id) || !s.inRegions(id, r.Regions) }
	unavailable := func(id string) bool { return slices.Contains(tried, id) || ineligible(id) }
	if d.Quarantine.Assess(r.Fingerprint).State == quarantine.Isolated {
		return s.pickIsolated(r.Fingerprint, unavailable)
	}
	// What answers is found out first: Pick holds the pool's lock, and Set takes
	// that while it holds the Dispatcher's.
	responsive := d.responsive(s)
	maxWait := r.maxLimitWait(refused)
	use, ok := s.pool.PickWithMaxWait(maxWait, r.bodyFrameBytes(), func(id string) bool { return unavailable(id) || !responsive[id] })
	if !ok {
		use, ok = s.pool.PickWithMaxWait(maxWait, r.bodyFrameBytes(), unavailable)
	}
	if !ok && len(tried) > 0 {
		use, ok = s.pool.PickWithMaxWait(maxWait, r.bodyFrameBytes(), func(id string) bool { return slices.Contains(refused, id) || ineligible(id) })
	}
	return use, ok
}

// waitShare is the part of its objective that a request waits for its turn under a limit that an
// upstream names. The rest is left for its run.
const maxWaitFraction = 0.5

// mostWait returns how long the request waits at most for its turn under a limit. The first gate
// decides for itself, as it knows whose turn it is; one that it has refused is not sent to others
// that are known to have no room for it either.
func (r *Request) maxLimitWait(refused []string) time.Duration {
	if len(refused) == 0 {
		return 0
	}
	return time.Duration(maxWaitFraction * float64(r.Objective))
}

// answering returns the members of the node's subset whose nodes answer on an
// open connection. To the others one is opened meanwhile: a request need not wait
// for a node that may be dead while others answer.
func (d *Dispatcher) responsive(s *service) map[string]bool {
	responsive := make(map[string]bool, len(s.subset))
	for _, m := range s.subset {
		c := d.client(s, m)
		responsive[m.ID] = c.Responsive()
		if !responsive[m.ID] && c.dialing.CompareAndSwap(false, true) {
			go func() {
				defer c.dialing.Store(false)
				_ = c.Warm(context.Background()) // a request that has no other choice tells the failure
			}()
		}
	}
	return responsive
}

// within returns whether a member is in one of the given regions, or there are none given.
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
