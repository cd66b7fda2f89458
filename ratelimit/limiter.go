// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ratelimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/internal/boottime"
	"sassafrasfront.example/organisation"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quota"
	"sassafrasfront.example/verdict"
)

const (
	// maxWait is how long a request waits for a coordinator: as long as it takes to detect
	// that one has failed. Its caller may retry then.
	maxWait = 400 * time.Millisecond
	// exchangeGap is the time between the end of an exchange and the next one. Requests that
	// arrive meanwhile are sent together.
	exchangeGap = 20 * time.Millisecond
	// undecidedGap is exchangeGap after a response that left requests undecided.
	undecidedGap = 50 * time.Millisecond
	// candidatesInterval is the time between two choices of the candidates for coordinator,
	// which look at all nodes. A node that has started within startupTime is still discovering
	// the others and uses startupCandidatesInterval.
	candidatesInterval        = 500 * time.Millisecond
	startupCandidatesInterval = 50 * time.Millisecond
	startupTime               = 5 * time.Second
)

// Peer is another node.
type Peer struct {
	ID, Addr string
}

// Limiter admits requests as far as the rate limits of their organisations allow. The
// exported fields must be set before Run.
type Limiter struct {
	// Bounds defines how far limits may be exceeded.
	Bounds quota.Bounds
	// Hello introduces this process to the coordinators.
	Hello peer.Hello
	// Limits bounds the connections to the coordinators.
	Limits peer.Limits
	// Counters, if not nil, counts the traffic on them.
	Counters *peer.Counters
	// Coordinators returns the candidates for coordinator in order of preference: the same at
	// all nodes that know the same others. This node may be among them.
	Coordinators func() []Peer
	// Members returns the number of live nodes that this node knows.
	Members func() int
	// Clock advances while the instance is suspended, so that leases and tokens expire then as
	// well. Nil means the runtime's clock.
	Clock boottime.Clock
	// Log receives the events.
	Log zerolog.Logger

	initOnce sync.Once
	began    time.Duration // by Clock
	wake     chan struct{}
	clients  *peer.ClientPool // of coordinators
	active   atomic.Bool      // whether any organisation has a limit

	mu               sync.Mutex
	set              *organisation.Set
	limits           map[string]quota.Limit
	localCoordinator *quota.Coordinator
	limiter          *quota.Limiter
	nodeEstimate     *quota.NodeEstimate
	tallies          map[string]*tally
	lateness         quota.Lateness
	coordinatorID    string // the coordinator that was used last
	probing          bool
	undecided        bool // whether the last response left requests undecided
	// responded, failed and served count exchanges.
	responded, failed, served uint64

	// The following fields belong to the goroutine of Run.
	candidates   []Peer        // to choose from
	candidatesAt time.Duration // when they were chosen
}

// init sets up what the methods need. The first call of any method calls it.
func (l *Limiter) init() {
	l.initOnce.Do(func() {
		if l.Clock == nil {
			l.Clock = boottime.Monotonic()
		}
		l.began = l.Clock()
		l.wake = make(chan struct{}, 1)
		l.localCoordinator = quota.NewCoordinator(rand.Uint32()|1, l.Bounds, 0)
		l.limiter = quota.NewLimiter(quota.NewClient(uint64(time.Now().UnixMilli()), 0))
		l.nodeEstimate = quota.NewNodeEstimate(0)
		l.tallies = make(map[string]*tally)
		limits := l.Limits
		limits.IdleTimeout = clientIdleTimeout
		l.clients = &peer.ClientPool{
			Hello:    l.Hello,
			Limits:   limits,
			Counters: l.Counters,
		}
	})
}

// now returns the time since the first call.
func (l *Limiter) now() time.Duration { return l.Clock() - l.began }

// SetOrganisations sets the active organisations.
func (l *Limiter) SetOrganisations(s *organisation.Set) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == l.set {
		return
	}
	l.set = s
	limits := make(map[string]quota.Limit)
	if s != nil {
		for _, o := range s.List() {
			if o.Rate > 0 {
				limits[o.Name] = quota.Limit{
					Rate:  o.Rate,
					Burst: o.Burst,
				}
			}
		}
	}
	l.limits = limits
	l.localCoordinator.SetLimits(limits, l.now())
	l.limiter.SetLimits(limits)
	for name := range l.tallies {
		if _, ok := limits[name]; !ok {
			delete(l.tallies, name)
		}
	}
	if was := l.active.Swap(len(limits) > 0); was != (len(limits) > 0) {
		l.Log.Info().Int("organisations", len(limits)).Msg("active rate limits")
		l.wakeUp()
	}
}

// wakeUp has Run check whether there is something to request.
func (l *Limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// SetStoredNodes records the number of nodes that others have stored on the platform.
func (l *Limiter) SetStoredNodes(nodes int) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodeEstimate.ObserveStored(nodes, l.now())
}

// Nodes returns the number of nodes among which rate limits are divided, or 0 if it isn't
// known or no organisation has a limit.
func (l *Limiter) Nodes() int {
	l.init()
	if !l.active.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodeEstimate.Nodes(l.now())
}

// Permit is the permission to run one request. A nil Permit is that of a request that needs none.
type Permit struct {
	limiter *Limiter
	token   quota.Token
}

// Refund records that the request is known not to have run, so that another one may.
func (p *Permit) Refund() {
	if p == nil {
		return
	}
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.limiter.limiter.ReturnToken(p.token, p.limiter.now())
}

// Request describes a request that is to be admitted.
type Request struct {
	// Organisation is the name of its organisation, and Class its class.
	Organisation, Class string
	// Remaining is how long its caller waits, and Objective the latency objective of its
	// response, or 0.
	Remaining, Objective time.Duration
}

// Admit admits a request, or returns why it must not run. It may wait for a short time.
func (l *Limiter) Admit(ctx context.Context, r Request) (*Permit, *verdict.Error) {
	name := r.Organisation
	l.init()
	if !l.active.Load() {
		return nil, nil
	}
	decided := make(chan quota.Decision, 1)
	l.mu.Lock()
	limit, ok := l.limits[name]
	if !ok {
		l.mu.Unlock()
		return nil, nil
	}
	now := l.now()
	p := l.limiter.Admit(name, l.lateness.Late(r.Class, r.Remaining, r.Objective, now), now, func(d quota.Decision) { decided <- d })
	l.mu.Unlock()
	if p != nil {
		l.wakeUp()
	}
	return l.conclude(name, limit, l.await(ctx, p, decided))
}

// await waits for the decision on a request.
func (l *Limiter) await(ctx context.Context, p *quota.Pending, decided chan quota.Decision) quota.Decision {
	if p == nil {
		return <-decided
	}
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
	case <-t.C:
	}
	l.mu.Lock()
	cancelled := l.limiter.Cancel(p)
	l.mu.Unlock()
	if cancelled {
		return quota.Decision{
			Unknown:    true,
			RetryAfter: quota.LeaseDuration / 2,
		}
	}
	return <-decided
}

// conclude counts a decision and returns its result.
func (l *Limiter) conclude(name string, limit quota.Limit, d quota.Decision) (*Permit, *verdict.Error) {
	l.mu.Lock()
	t := l.tallyOf(name)
	t.count(d, l.now())
	coordinatorID := l.coordinatorID
	l.mu.Unlock()
	switch {
	case d.Granted:
		return &Permit{
			limiter: l,
			token:   d.Token,
		}, nil
	case d.Unknown:
		return nil, verdict.New(verdict.LimitUnknown, eris.Errorf("home %s can't say yet how much of the limit of organisation %q is left", coordinatorID, name)).WithRetryAfter(d.RetryAfter)
	default:
		return nil, verdict.New(verdict.RateLimited, eris.Errorf("organisation %q is beyond %v requests a second and a burst of %v, as home %s says", name, limit.Rate, limit.Burst, coordinatorID)).WithRetryAfter(max(d.RetryAfter, time.Millisecond))
	}
}
