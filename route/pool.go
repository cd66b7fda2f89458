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
	// loadDecay is the time constant with which a reported load decays to the
	// mean of the service.
	loadDecay = 100 * time.Millisecond
	// serviceTimeDecay is the time constant with which a reported service time
	// decays to the mean of the service. It is long, so that a slow upstream is
	// rarely tried again.
	serviceTimeDecay = 5 * time.Second
	// slowdownDecay is the time constant with which a reported slowdown decays
	// to 1. Changes are reported immediately, so it only bounds how long an
	// upstream that sends no reports is avoided.
	slowdownDecay = 2 * time.Second
	// failureRatioDecay is the time constant with which a reported failure ratio decays
	// to 0, so that an upstream that is avoided because of it is tried again.
	failureRatioDecay = 2 * time.Second
	// inFlightAgeDivisor divides the age of this pool's requests in flight at an
	// upstream that reports a slowdown: a request that began while the upstream was
	// slow stays slow until it ends.
	inFlightAgeDivisor = 6
	// ewmaWeight is the weight of one report in the moving averages of the service.
	ewmaWeight = 0.05
	// defaultServiceTime is the service time assumed before the first report if
	// Pool.ExpectedServiceTime is zero.
	defaultServiceTime = 10 * time.Millisecond
)

// Load is the load of an upstream as reported by the node beside it.
type Load struct {
	// Running and Waiting count its running and queued requests, from all callers.
	Running, Waiting int
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// ServiceTime is its expected service time. Zero means that it is not known.
	ServiceTime time.Duration
	// Draining is whether it refuses new requests.
	Draining bool
	// Slowdown is the factor by which requests currently take longer there than
	// usual. Zero means that it is not known.
	Slowdown float64
	// FailureRatio is the fraction of the latest requests that it failed.
	FailureRatio float64
	// LinkBandwidth is the rate at which the link to its node carries bodies, in bytes per
	// second, or 0 if that is not known. BacklogBytes counts the bytes of bodies that are
	// being sent there or are queued.
	LinkBandwidth float64
	BacklogBytes  int
	// Limited is whether the upstream advertises a rate limit, Limit the limit in
	// requests per second from all callers, LimitUsed the fraction of it that was used
	// recently, and LimitWait the time until one more request may start.
	Limited   bool
	Limit     float64
	LimitUsed float64
	LimitWait time.Duration
}

// Target describes an upstream of the service.
type Target struct {
	// Slots is the number of requests that it runs concurrently, until a report
	// says otherwise. It is positive.
	Slots int
	// Distance is the cost of reaching it, expressed as a duration.
	Distance time.Duration
	// ZoneCrossingCost is an additional cost of sending there, in mean service times, as
	// traffic between availability zones is paid for.
	ZoneCrossingCost float64
	// Local is whether it is beside this process.
	Local bool
	// Spare is whether it is picked only if no other upstream can be, or if the policy
	// is a ThresholdPolicy and no other upstream is acceptable.
	Spare bool
}

// Pool holds the upstreams of one service, identified by keys of type K. The
// exported fields must be set before the first call. Its methods may be called
// from any goroutine.
type Pool[K comparable] struct {
	// Policy chooses among the upstreams. Nil means TwoChoice.
	Policy Policy
	// MaxEjectedFraction is the largest fraction of the upstreams that may be
	// ejected. If more look unhealthy, none is ejected. Zero means one half.
	MaxEjectedFraction float64
	// ExpectedServiceTime is the service time to assume until one is reported.
	// Zero means 10 ms.
	ExpectedServiceTime time.Duration
	// LinkBandwidth is the bandwidth of this node's link in bytes per second, or 0 if it is
	// not known.
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
	startSum       time.Duration // sum of the start times of requests in flight, since timeOrigin
	reported       Load
	reportedAt     time.Time // zero if there is no report
	sentSince      int       // requests sent since the report
	endedSince     int       // requests ended since the report
	bodyBytesSince int64     // body bytes sent since the report
	health         health
}

// timeOrigin is the origin of the times in entry.startSum.
var timeOrigin = time.Now()

// SetTargets replaces the upstreams. The state of those that stay is kept.
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

// Observe records a load report. Reports of unknown upstreams are ignored.
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

// Pick chooses an upstream for one request, skipping those for which exclude
// returns true. A nil exclude skips none. The second result is false if no
// upstream is left. The caller must call Done on the Assignment.
func (p *Pool[K]) Pick(exclude func(K) bool) (*Assignment[K], bool) { return p.PickForBody(0, exclude) }

// PickForBody is Pick for a request with a large body, of the given number of bytes.
func (p *Pool[K]) PickForBody(body int64, exclude func(K) bool) (*Assignment[K], bool) {
	return p.PickWithMaxWait(0, body, exclude)
}

// PickWithMaxWait is PickForBody, but skips upstreams where the request would wait for the
// rate limit for longer than maxWait. Zero means no bound.
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

// reportAge returns the age of the last report, or -1 if there is none.
func (e *entry[K]) reportAge(now time.Time) time.Duration {
	if e.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(e.reportedAt)
}

// gatherCandidates fills p.candidates with the upstreams that may be picked. If too many
// are ejected, ejections are ignored.
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

// spareDraws is the number of spare upstreams that are drawn if the regular ones are not
// acceptable. If a quarter of all upstreams is slow or full, all four drawn ones are with a
// probability of 1 in 256.
const spareDraws = 4

// addSpare adds a few spare upstreams that may be picked to p.candidates, and returns
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

// collect adds the upstreams that may be picked to p.candidates: the spare ones if spare is
// true, and the others if it is not.
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

// drainingTimeout is how long a report of draining is trusted. It is longer than the
// membership takes to report the same.
const drainingTimeout = 10 * time.Second

// draining returns whether the upstream recently reported that it is draining.
func (e *entry[K]) draining(now time.Time) bool {
	return e.reported.Draining && now.Sub(e.reportedAt) < drainingTimeout
}

const (
	// outlierMinRatio is the lowest failure ratio at which an upstream may be an
	// outlier, and outlierFactor the factor by which it has to exceed the mean of
	// the others: where most fail alike, the fault is not the upstream's.
	outlierMinRatio = 0.15
	outlierFactor   = 2.0
)

// IsOutlier returns whether an upstream fails a far larger fraction of its requests than
// the other upstreams of the pool do.
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

// decay returns exp(-age/constant).
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// meanServiceTime returns the mean of the reported service times.
func (p *Pool[K]) meanServiceTime() time.Duration {
	if p.meanServiceSeconds == 0 {
		return cmp.Or(p.ExpectedServiceTime, defaultServiceTime)
	}
	return time.Duration(p.meanServiceSeconds * float64(time.Second))
}
