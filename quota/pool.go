// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"cmp"
	"slices"
	"time"
)

// pool holds a token bucket for each organisation. Buckets fill in proportion to the shares
// that are held. All are empty at first.
type pool struct {
	bounds        Bounds
	updatedAt     time.Duration // time up to which grown is computed
	held          float64       // fraction of all shares that is held at that time
	decisiveSince time.Duration // since when held has been at least decisiveFraction, if it is
	grown         float64       // the integral of held over time, in seconds
	shares        map[string]share
	sum           float64       // of their fractions
	nextExpiry    time.Duration // no share expires before
	buckets       map[string]*bucket
}

// share is the share of one node.
type share struct {
	fraction float64
	expires  time.Duration
}

// bucket is the token bucket of one organisation.
type bucket struct {
	rate, depth float64 // with all shares
	level       float64
	grownAt     float64       // the pool's grown at which level was computed
	nextRetry   time.Duration // when the last refused caller may retry
	granted     RateMeter
}

// setLimits sets the active limits. A bucket keeps its level as far as its new depth
// allows, and a new one is empty.
func (p *pool) setLimits(limits map[string]Limit, now time.Duration) {
	p.advance(now)
	buckets := make(map[string]*bucket, len(limits))
	for name, l := range limits {
		b := p.buckets[name]
		if b == nil {
			b = &bucket{grownAt: p.grown}
		}
		p.refill(b)
		b.rate = l.Rate * p.bounds.fillFactor()
		b.depth = p.bounds.depth(l)
		p.refill(b)
		buckets[name] = b
	}
	p.buckets = buckets
}

// refill brings the level of a bucket up to date.
func (p *pool) refill(b *bucket) {
	b.level = min(b.level+(p.grown-b.grownAt)*b.rate, b.depth*p.held)
	b.grownAt = p.grown
}

// advance lets time pass. Shares expire at their time, however late that is noticed.
func (p *pool) advance(now time.Duration) {
	if now <= p.updatedAt {
		return
	}
	if p.nextExpiry <= now && len(p.shares) > 0 {
		p.expire(now)
	}
	p.grow(now)
}

// grow fills the buckets up to a time, with the shares that are held now.
func (p *pool) grow(to time.Duration) {
	if to > p.updatedAt {
		p.grown += p.held * (to - p.updatedAt).Seconds()
		p.updatedAt = to
	}
}

// expire drops the shares that have expired.
func (p *pool) expire(now time.Duration) {
	var expired []string
	p.nextExpiry = never
	for name, s := range p.shares {
		if s.expires <= now {
			expired = append(expired, name)
		} else {
			p.nextExpiry = min(p.nextExpiry, s.expires)
		}
	}
	slices.SortFunc(expired, func(a, b string) int { return cmp.Compare(p.shares[a].expires, p.shares[b].expires) })
	for _, name := range expired {
		p.grow(p.shares[name].expires)
		p.setShare(name, share{})
	}
}

// never is later than any reading of the clock.
const never = time.Duration(1<<63 - 1)

// setShare sets the share of a node, or drops it if its fraction is 0. Each bucket is first
// limited to the old depth and then to the new one, as a growing fraction must not bring back
// tokens that overflowed before.
func (p *pool) setShare(node string, s share) {
	p.sum += s.fraction - p.shares[node].fraction
	if s.fraction > 0 {
		p.shares[node] = s
	} else {
		delete(p.shares, node)
	}
	if len(p.shares) == 0 {
		p.sum = 0 // discard rounding errors
	}
	before, after := p.held, max(0, min(1, p.sum))
	if after == before {
		return
	}
	for _, b := range p.buckets {
		p.refill(b)
	}
	p.held = after
	if before < decisiveFraction && after >= decisiveFraction {
		p.decisiveSince = p.updatedAt
	}
	for _, b := range p.buckets {
		p.refill(b)
	}
}

const (
	// decisiveFraction is the fraction of all shares from which a coordinator knows
	// whether a limit is reached. With less it doesn't know what others grant; the rest may
	// be shares of nodes that have left.
	decisiveFraction = 0.8
	// fillTime is how long it must have held that fraction, as its buckets were empty at first.
	fillTime = time.Second
)

// decisive returns whether an empty bucket means that the limit is reached.
func (p *pool) decisive(now time.Duration) bool {
	return p.held >= decisiveFraction && now-p.decisiveSince >= fillTime
}

// delegate holds a node's share until the given time, and replaces the one held before.
func (p *pool) delegate(node string, fraction float64, until, now time.Duration) {
	p.advance(now)
	if until <= now {
		p.withdraw(node, now)
		return
	}
	next := share{
		fraction: fraction,
		expires:  until,
	}
	if len(p.shares) == 0 {
		p.nextExpiry = until
	}
	p.nextExpiry = min(p.nextExpiry, until)
	if p.shares[node].fraction == fraction {
		p.shares[node] = next
		return
	}
	p.setShare(node, next)
}

// withdraw releases a node's share.
func (p *pool) withdraw(node string, now time.Duration) {
	p.advance(now)
	if _, ok := p.shares[node]; ok {
		p.setShare(node, share{})
	}
}

// take takes up to n tokens, and returns how many. It returns false if there is no bucket or
// no share is held.
func (p *pool) take(organisation string, n int, now time.Duration) (taken int, ok bool) {
	p.advance(now)
	b := p.buckets[organisation]
	if b == nil || p.held == 0 {
		return 0, false
	}
	p.refill(b)
	taken = max(0, min(n, int(b.level+tolerance)))
	b.level = max(0, b.level-float64(taken))
	b.granted.Add(taken, now)
	return taken, true
}

// spareTime is the time for which a bucket must have tokens for requests that are not late
// before late ones get any.
const spareTime = 300 * time.Millisecond

// takeSpare takes up to n tokens that requests which are not late are unlikely to need, and
// returns how many.
func (p *pool) takeSpare(organisation string, n int, now time.Duration) int {
	b := p.buckets[organisation]
	if b == nil {
		return 0
	}
	p.advance(now)
	p.refill(b)
	needed := min(b.depth/2, b.rate*spareTime.Seconds()) * p.held
	taken, _ := p.take(organisation, min(n, int(b.level-needed+tolerance)), now)
	return taken
}

// tolerance, in tokens, lets a bucket that is full but for a rounding error grant its last
// token.
const tolerance = 1e-9

// put puts back tokens that were taken, up to the depth of the bucket.
func (p *pool) put(organisation string, n int, now time.Duration) {
	p.advance(now)
	if b := p.buckets[organisation]; b != nil {
		p.refill(b)
		b.level += float64(n)
		p.refill(b)
		b.granted.Add(-n, now)
	}
}

// wait returns when the first of n refused callers may retry, and the time from each to the
// next. Callers that are refused later come after them. If n is 0, only late requests are
// refused, and no time is reserved for them.
func (p *pool) wait(organisation string, n int, now time.Duration) (first, step time.Duration) {
	b := p.buckets[organisation]
	rate := b.rate * p.held
	if rate <= 0 {
		return p.bounds.Window, 0
	}
	seconds := func(tokens float64) time.Duration {
		return time.Duration(min(tokens/rate, p.bounds.Window.Seconds()) * float64(time.Second))
	}
	step = seconds(1)
	at := max(now+seconds(max(0, 1-b.level)), b.nextRetry+step)
	at = min(at, now+p.bounds.Window)
	if n > 0 {
		b.nextRetry = min(at+step*time.Duration(min(n-1, maxCount)), now+p.bounds.Window)
	}
	return at - now, step
}
