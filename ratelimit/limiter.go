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
	// longestWait is how long a request waits for a home: as long as it takes to find out
	// that one is gone. Its caller may then come back.
	maxWait = 400 * time.Millisecond
	// askGap is the time between an answer and the next question. What arrives meanwhile
	// goes with it.
	exchangeGap = 20 * time.Millisecond
	// unknownGap is askGap after an answer that left requests undecided.
	undecidedGap = 50 * time.Millisecond
	// homesFor is how long the choice of homes is kept: it takes a look at all nodes. A node
	// that has started within youngFor is still meeting the others and looks each homesYoung.
	candidatesInterval        = 500 * time.Millisecond
	startupCandidatesInterval = 50 * time.Millisecond
	startupTime               = 5 * time.Second
)

// Peer is another node.
type Peer struct {
	ID, Addr string
}

// Limiter lets requests in as far as the rate limits of their organisations allow. The
// exported fields are set before Run.
type Limiter struct {
	// Bounds says how far limits may be exceeded.
	Bounds quota.Bounds
	// Hello introduces this process to the homes.
	Hello peer.Hello
	// Limits bounds the connections to the homes.
	Limits peer.Limits
	// Counters, if not nil, counts their traffic.
	Counters *peer.Counters
	// Homes returns the nodes that are to be home, in order: the same at all nodes that
	// know the same others. This node may be among them.
	Coordinators func() []Peer
	// Members returns the number of live nodes that are known.
	Members func() int
	// Clock goes on while the instance is suspended: a lease or a token ends then as well.
	// Nil means the runtime's clock.
	Clock boottime.Clock
	// Log takes the events.
	Log zerolog.Logger

	initOnce sync.Once
	began    time.Duration // by Clock
	wake     chan struct{}
	clients  *peer.Clients // of homes
	active   atomic.Bool   // whether any organisation has a limit

	mu           sync.Mutex
	set          *organisation.Set
	limits       map[string]quota.Limit
	coordinator  *quota.Coordinator
	limiter      *quota.Limiter
	nodeEstimate *quota.NodeEstimate
	tallies      map[string]*tally
	lateness     quota.Lateness
	current      string // the home that was asked last
	probing      bool
	undecided    bool // whether the last answer left requests undecided
	// answered, unanswered and answers count exchanges.
	responded, failed, served uint64

	// The goroutine of Run owns what follows.
	candidates   []Peer        // to choose from, as of homesAt
	candidatesAt time.Duration // when they were chosen
}

// init makes what the first call needs, by whichever method it comes.
func (l *Limiter) init() {
	l.initOnce.Do(func() {
		if l.Clock == nil {
			l.Clock = boottime.Steady()
		}
		l.began = l.Clock()
		l.wake = make(chan struct{}, 1)
		l.coordinator = quota.NewCoordinator(rand.Uint32()|1, l.Bounds, 0)
		l.limiter = quota.NewLimiter(quota.NewClient(uint64(time.Now().UnixMilli()), 0))
		l.nodeEstimate = quota.NewNodeEstimate(0)
		l.tallies = make(map[string]*tally)
		limits := l.Limits
		limits.Idle = clientIdleTimeout
		l.clients = &peer.Clients{
			Hello:    l.Hello,
			Limits:   limits,
			Counters: l.Counters,
		}
	})
}

// now returns the time since the first call.
func (l *Limiter) now() time.Duration { return l.Clock() - l.began }

// Set takes in the organisations in force.
func (l *Limiter) Set(s *organisation.Set) {
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
	l.coordinator.SetLimits(limits, l.now())
	l.limiter.SetLimits(limits)
	for name := range l.tallies {
		if _, ok := limits[name]; !ok {
			delete(l.tallies, name)
		}
	}
	if was := l.active.Swap(len(limits) > 0); was != (len(limits) > 0) {
		l.Log.Info().Int("organisations", len(limits)).Msg("rate limits in force")
		l.wakeUp()
	}
}

// rouse has Run look what there is to ask.
func (l *Limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Told takes in the number of nodes that others have left on the platform.
func (l *Limiter) SetStoredNodes(nodes int) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodeEstimate.ObserveStored(nodes, l.now())
}

// Nodes returns the number of nodes among which the rights are divided, or 0 if it isn't
// known or nothing is limited.
func (l *Limiter) Nodes() int {
	l.init()
	if !l.active.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodeEstimate.Nodes(l.now())
}

// Pass is the right of one request to run. A nil Pass is one that needs none.
type Permit struct {
	limiter *Limiter
	token   quota.Token
}

// NotRun takes in that the request is known not to have run: another one may.
func (p *Permit) Refund() {
	if p == nil {
		return
	}
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.limiter.limiter.ReturnToken(p.token, p.limiter.now())
}

// Request is what is known of a request that is to be let in.
type Request struct {
	// Organisation is the name of its organisation, and Class its class.
	Organisation, Class string
	// Left is how long its caller waits, and Objective the latency within which the answer
	// is of full value, or 0.
	Remaining, Objective time.Duration
}

// Admit lets a request in, or returns why it must not run. It may wait for a short time.
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

// taken counts a decision and says what becomes of the request.
func (l *Limiter) conclude(name string, limit quota.Limit, d quota.Decision) (*Permit, *verdict.Error) {
	l.mu.Lock()
	t := l.tallyOf(name)
	t.count(d, l.now())
	current := l.current
	l.mu.Unlock()
	switch {
	case d.Granted:
		return &Permit{
			limiter: l,
			token:   d.Token,
		}, nil
	case d.Unknown:
		return nil, verdict.New(verdict.LimitUnknown, eris.Errorf("home %s can't say yet how much of the limit of organisation %q is left", current, name)).WithRetryAfter(d.RetryAfter)
	default:
		return nil, verdict.New(verdict.RateLimited, eris.Errorf("organisation %q is beyond %v requests a second and a burst of %v, as home %s says", name, limit.Rate, limit.Burst, current)).WithRetryAfter(max(d.RetryAfter, time.Millisecond))
	}
}
