// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// loadFade is the time constant with which a reported load fades to the
	// mean of the service.
	loadDecay = 100 * time.Millisecond
	// serviceFade is the time constant with which a reported service time
	// fades to the mean of the service. It is long, so that a slow upstream is
	// tried again seldom.
	serviceTimeDecay = 5 * time.Second
	// slowdownFade is the time constant with which a reported slowdown is
	// forgotten. Changes are reported at once, so it bounds only how long an
	// upstream that no report comes from is passed over.
	slowdownDecay = 2 * time.Second
	// failingFade is the time constant with which a reported share of failures is
	// forgotten, so that an upstream that is passed over for it is tried again.
	failureRatioDecay = 2 * time.Second
	// agePatience divides the age of own requests at an upstream that tells its
	// speed: one that began while it was slow stays slow to its end.
	inFlightAgeDivisor = 6
	// meanGain is the weight of one report in the means of the service.
	ewmaWeight = 0.05
	// defaultService is the service time assumed before the first report, where
	// none is expected.
	defaultServiceTime = 10 * time.Millisecond
)

// Load is what the node beside an upstream reports of it.
type Load struct {
	// Running and Waiting count its requests, from all callers.
	Running, Waiting int
	// Allowed is the number of requests that it runs at once.
	Slots int
	// Service is its expected service time. Zero means that it is not known.
	ServiceTime time.Duration
	// Draining is whether it refuses new requests.
	Draining bool
	// Slowdown is how many times longer than usual work takes there now. Zero
	// means that it is not known.
	Slowdown float64
	// Failing is the share of the latest requests that it failed.
	FailureRatio float64
	// Rate is how many body bytes a second the link to its node carries, or 0 if that is
	// not known, and Backlog how many are on their way there or wait for their turn.
	LinkBandwidth float64
	BacklogBytes  int
	// Limited is whether the upstream names a limit, Limit its requests a second from all
	// callers, Used the part of it that was used of late, and Free after how long one more may
	// start.
	Limited   bool
	Limit     float64
	LimitUsed float64
	LimitWait time.Duration
}

// Target describes an upstream of the service.
type Target struct {
	// Slots is the number of requests that it runs at once, until a report
	// says otherwise. It is positive.
	Slots int
	// Distance is the cost of reaching it.
	Distance time.Duration
	// Crossing is what sending there costs besides, in usual service times: bytes
	// between availability zones are paid for.
	ZoneCrossingCost float64
	// Local is whether it is beside this process.
	Local bool
	// Spare is whether it is picked only if no other upstream can be, or if the policy
	// is Demanding and none of the others is good enough.
	Spare bool
}

// Pool holds the upstreams of one service, known by keys of type K. The
// exported fields are set before the first call. Its methods may be called
// from any goroutine.
type Pool[K comparable] struct {
	// Policy chooses among the upstreams. Nil means TwoChoice.
	Policy Policy
	// MaxEjected is the largest part of the upstreams that may be ejected; if
	// more look bad, none is. Zero means one half.
	MaxEjectedFraction float64
	// Expected is the service time to assume until one is reported. Zero means
	// 10 ms.
	ExpectedServiceTime time.Duration
	// Rate is how many bytes a second the link of this node carries, or 0 if that is not
	// known.
	LinkBandwidth float64

	mu                 sync.Mutex
	random             *rand.Rand
	byKey              map[K]*entry[K]
	entries            []*entry[K]
	candidates         []*entry[K]
	meanLoad           float64 // mean reported load
	meanServiceSeconds float64 // mean reported service time, in seconds
}

// entry is the state of one upstream.
type entry[K comparable] struct {
	key            K
	target         Target
	inFlight       int
	startSum       time.Duration // of own requests in flight, since base
	reported       Load
	reportedAt     time.Time // of the report; zero if there is none
	sentSince      int       // own requests sent since the report
	endedSince     int       // own requests ended since the report
	bodyBytesSince int64     // own body bytes sent since the report
	health         health
}

// base is the origin of the times in entry.startSum.
var timeOrigin = time.Now()

// Set replaces the upstreams. What is known of those that stay is kept.
func (p *Pool[K]) SetTargets(targets map[K]Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byKey
	p.byKey = make(map[K]*entry[K], len(targets))
	p.entries = p.entries[:0]
	for k, t := range targets {
		e := old[k]
		if e == nil {
			e = &entry[K]{key: k}
		}
		e.target = t
		p.byKey[k] = e
		p.entries = append(p.entries, e)
	}
}

// Len returns the number of upstreams.
func (p *Pool[K]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.entries)
}

// Observe takes in a load report. Reports of unknown upstreams are ignored.
func (p *Pool[K]) Observe(key K, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byKey[key]
	if e == nil || l.Slots <= 0 {
		return
	}
	p.meanLoad += ewmaWeight * (float64(l.Running+l.Waiting) - p.meanLoad)
	if p.meanServiceSeconds == 0 {
		p.meanServiceSeconds = l.ServiceTime.Seconds()
	}
	if l.ServiceTime > 0 {
		p.meanServiceSeconds += ewmaWeight * (l.ServiceTime.Seconds() - p.meanServiceSeconds)
	}
	e.reported = l
	e.reportedAt = time.Now()
	e.sentSince = 0
	e.endedSince = 0
	e.bodyBytesSince = 0
}

// Pick chooses an upstream for one request, passing over those for which
// exclude returns true. A nil exclude passes over none. The second result is
// false if there is none left. The caller owes the Use a Done.
func (p *Pool[K]) Pick(exclude func(K) bool) (*Assignment[K], bool) { return p.PickForBody(0, exclude) }

// PickFor is Pick for a request with a large body, of the given number of bytes.
func (p *Pool[K]) PickForBody(body int64, exclude func(K) bool) (*Assignment[K], bool) {
	return p.PickWithMaxWait(0, body, exclude)
}

// PickWithin is PickFor for a request that is of no use at an upstream where it waits for longer
// than the given time for its turn under a limit. Zero means no bound.
func (p *Pool[K]) PickWithMaxWait(maxWait time.Duration, body int64, exclude func(K) bool) (*Assignment[K], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p.gatherCandidates(now, exclude)
	if maxWait > 0 {
		p.candidates = slices.DeleteFunc(p.candidates, func(e *entry[K]) bool {
			_, wait := e.rateLimitState(now.Sub(e.reportedAt))
			return wait > maxWait
		})
	}
	if len(p.candidates) == 0 {
		return nil, false
	}
	policy := p.Policy
	if policy == nil {
		policy = TwoChoice{}
	}
	v := view[K]{
		pool:      p,
		now:       now,
		bodyBytes: body,
	}
	chosen := policy.Choose(v, p.random)
	candidate := v.At(chosen)
	if d, ok := policy.(ThresholdPolicy); ok && !d.Acceptable(candidate) && p.addSpare(now, exclude) {
		chosen = policy.Choose(v, p.random)
		candidate = v.At(chosen)
	}
	e := p.candidates[chosen]
	e.inFlight++
	e.sentSince++
	e.bodyBytesSince += body
	e.startSum += now.Sub(timeOrigin)
	e.health.begin(now)
	return &Assignment[K]{
		pool:      p,
		entry:     e,
		startedAt: now,

		candidate: candidate,
		reportAge: e.reportAge(now),
	}, true
}

// age returns the age of the last report, or -1 if there is none.
func (e *entry[K]) reportAge(now time.Time) time.Duration {
	if e.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(e.reportedAt)
}

// gather fills p.usable with the upstreams that may be picked. If too many are
// ejected, the ejections are not believed.
func (p *Pool[K]) gatherCandidates(now time.Time, exclude func(K) bool) {
	limit := p.MaxEjectedFraction
	if limit == 0 {
		limit = 0.5
	}
	var ejected int
	for _, e := range p.entries {
		if e.health.ejected() {
			ejected++
		}
	}
	trustEjections := float64(ejected) <= limit*float64(len(p.entries))
	p.candidates = p.candidates[:0]
	p.collect(now, exclude, trustEjections, false)
	if len(p.candidates) == 0 {
		p.collect(now, exclude, trustEjections, true)
	}
}

// spareDraws is the number of spare upstreams that are drawn where the others are not
// good enough. With a quarter of all slow or full, each of four is once in 256 times.
const spareDraws = 4

// addSpare adds a few spare upstreams that may be picked to p.usable, and returns
// whether there were any.
func (p *Pool[K]) addSpare(now time.Time, exclude func(K) bool) bool {
	regular := len(p.candidates)
	for range 2 * spareDraws {
		e := p.entries[p.random.IntN(len(p.entries))]
		if len(p.candidates) == regular+spareDraws {
			break
		}
		if !e.target.Spare || slices.Contains(p.candidates, e) || exclude != nil && exclude(e.key) || e.draining(now) || !e.health.usable(now) {
			continue
		}
		p.candidates = append(p.candidates, e)
	}
	return len(p.candidates) > regular
}

// collect adds the upstreams that may be picked and are spare or not to
// p.usable.
func (p *Pool[K]) collect(now time.Time, exclude func(K) bool, trustEjections, spare bool) {
	for _, e := range p.entries {
		if e.target.Spare != spare || exclude != nil && exclude(e.key) {
			continue
		}
		if e.draining(now) || trustEjections && !e.health.usable(now) {
			continue
		}
		p.candidates = append(p.candidates, e)
	}
}

// drainFade is how long a report of draining is believed. It outlasts the time
// in which the membership says the same.
const drainingTimeout = 10 * time.Second

// draining returns whether the upstream said lately that it drains.
func (e *entry[K]) draining(now time.Time) bool {
	return e.reported.Draining && now.Sub(e.reportedAt) < drainingTimeout
}

const (
	// oddShare is the share of failures from which an upstream may stand out, and
	// oddRatio how many times the mean of the others it then has to be: where most
	// fail alike, the fault is not the upstream's.
	outlierMinRatio = 0.15
	outlierFactor   = 2.0
)

// StandsOut returns whether an upstream fails far more of its requests than the
// others of the pool do.
func (p *Pool[K]) IsOutlier(key K) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byKey[key]
	if e == nil || len(p.entries) < 2 {
		return false
	}
	now := time.Now()
	own := e.failureRatio(now)
	var sum float64
	for _, o := range p.entries {
		if o != e {
			sum += o.failureRatio(now)
		}
	}
	return own >= outlierMinRatio && own >= outlierFactor*sum/float64(len(p.entries)-1)
}

// fade returns exp(-age/constant).
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// meanService returns the mean service time over the reports.
func (p *Pool[K]) meanServiceTime() time.Duration {
	if p.meanServiceSeconds == 0 {
		return cmp.Or(p.ExpectedServiceTime, defaultServiceTime)
	}
	return time.Duration(p.meanServiceSeconds * float64(time.Second))
}
