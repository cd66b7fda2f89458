// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"cmp"
	"slices"
	"time"
)

// pool is a token bucket for each organisation that is filled in proportion to the rights
// that are held. All buckets are empty at first.
type pool struct {
	bounds        Bounds
	updatedAt     time.Duration // up to when grown counts
	held          float64       // of all rights, that is held at that time
	decisiveSince time.Duration // since when share is mostShare or more, where it is
	grown         float64       // the integral of share over time, in seconds
	shares        map[string]share
	sum           float64       // of their parts
	nextExpiry    time.Duration // no right ends before
	buckets       map[string]*bucket
}

// right is the right of one node.
type share struct {
	fraction float64
	expires  time.Duration
}

// bucket is the token bucket of one organisation.
type bucket struct {
	rate, depth float64 // of all rights together
	level       float64
	grownAt     float64       // what the pool's grown was at that level
	nextRetry   time.Duration // when the last caller that was refused may come back
	granted     RateMeter
}

// setLimits takes in the limits in force. A bucket keeps its level as far as its new depth
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

// settle brings the level of a bucket up to date.
func (p *pool) refill(b *bucket) {
	b.level = min(b.level+(p.grown-b.grownAt)*b.rate, b.depth*p.held)
	b.grownAt = p.grown
}

// advance lets time pass. Rights end at their time, however late that is noticed.
func (p *pool) advance(now time.Duration) {
	if now <= p.updatedAt {
		return
	}
	if p.nextExpiry <= now && len(p.shares) > 0 {
		p.expire(now)
	}
	p.grow(now)
}

// grow fills the buckets up to a time, with the rights that are held now.
func (p *pool) grow(to time.Duration) {
	if to > p.updatedAt {
		p.grown += p.held * (to - p.updatedAt).Seconds()
		p.updatedAt = to
	}
}

// expire ends the rights whose time is over.
func (p *pool) expire(now time.Duration) {
	var expired []string
	p.nextExpiry = never
	for name, r := range p.shares {
		if r.expires <= now {
			expired = append(expired, name)
		} else {
			p.nextExpiry = min(p.nextExpiry, r.expires)
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

// hold sets the right of a node, or takes it away if its part is 0. Each bucket has first the
// depth before and then the one after, as a share that goes up must not bring back what was
// over its edge before.
func (p *pool) setShare(node string, r share) {
	p.sum += r.fraction - p.shares[node].fraction
	if r.fraction > 0 {
		p.shares[node] = r
	} else {
		delete(p.shares, node)
	}
	if len(p.shares) == 0 {
		p.sum = 0 // what roundings have left
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
	// mostShare is the share of all rights with which a home can say that a limit is
	// reached. With less it doesn't know what is granted elsewhere; the rest may be those
	// of nodes that are gone.
	decisiveFraction = 0.8
	// fill is how long it has to have them: its buckets were empty at first.
	fillTime = time.Second
)

// settled returns whether an empty bucket means that the limit is reached.
func (p *pool) decisive(now time.Duration) bool {
	return p.held >= decisiveFraction && now-p.decisiveSince >= fillTime
}

// deposit holds a node's right until the given time, in place of what was held of it.
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

// withdraw gives a node's right back.
func (p *pool) withdraw(node string, now time.Duration) {
	p.advance(now)
	if _, ok := p.shares[node]; ok {
		p.setShare(node, share{})
	}
}

// take takes up to n tokens, and returns how many. It returns false if there is no bucket.
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

// spareFor is the time for which a bucket must have tokens for requests in time before late
// ones get any.
const spareTime = 300 * time.Millisecond

// takeSpare takes up to n tokens that requests in time are not likely to need, and returns
// how many.
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

// tolerance, in tokens, keeps a bucket that is full but for a rounding from lacking its last
// one.
const tolerance = 1e-9

// put puts tokens back that were taken, as far as there is room.
func (p *pool) put(organisation string, n int, now time.Duration) {
	p.advance(now)
	if b := p.buckets[organisation]; b != nil {
		p.refill(b)
		b.level += float64(n)
		p.refill(b)
		b.granted.Add(-n, now)
	}
}

// wait returns when the first of n callers that are refused may come back, and the time
// from each to the next. Callers that are refused later come after them. If n is 0, all that
// are refused are late, and nothing is kept for them.
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
