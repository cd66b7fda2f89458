// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"time"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/throttle"
	"sassafrasfront.example/upstream"
)

// Standing is what the upstream has said of the requests that it wants, and how far that is
// used.
type NoticeState struct {
	// Start is the start of the upstream that has said it.
	Start string
	// Limit is the limit that it names.
	Limit throttle.State
	// Leaving is whether it has said in its answers that it leaves, and LeavingSince when that was
	// heard first.
	Leaving      bool
	LeavingSince time.Time
}

// limitTellEvery is the least time between two reports to all peers for a changed limit. An
// upstream may name another one in each answer; those that call it learn it from their answers.
const limitTellEvery = 500 * time.Millisecond

// Notice takes in what an answer of a start of the upstream says of the requests that it wants.
func (g *Gate) HandleNotice(start string, n upstream.Notice) {
	if n.Err != nil && g.NoticeInvalid != nil {
		g.NoticeInvalid(start, n.Err)
	}
	g.mu.Lock()
	var c change
	if g.latest != nil && g.latest.StartID == start {
		c = g.hear(func(named *throttle.Limiter) {
			switch {
			case n.Limited:
				g.healthNames = g.healthNames || n.FromHealthCheck
				named.ObserveLimit(n.Limit, n.SentAt)
			case n.Err != nil: // what was known holds
			case n.FromHealthCheck && !g.healthNames: // it never says
			default:
				named.ObserveNoLimit(n.SentAt)
			}
		}, n.Leaving)
	}
	g.mu.Unlock()
	g.changed(c)
}

// adopt takes in what the sender of a call has been told of the upstream, which the upstream may
// have said to a process before this one.
func (g *Gate) adopt(n *peer.Notice) {
	if n == nil {
		return
	}
	of := upstream.Announcement{
		StartID:     n.Start,
		StartMillis: n.Born,
	}
	g.mu.Lock()
	var c change
	if g.latest != nil && g.latest.SameStart(&of) {
		c = g.hear(func(named *throttle.Limiter) {
			if n.Limited {
				named.AdoptLimit(n.Limit)
			}
		}, n.Leaving)
	} else if n.Leaving {
		c.left = &of
	}
	g.mu.Unlock()
	g.changed(c)
}

// change is what a notice has changed.
type change struct {
	limit bool
	left  *upstream.Announcement // the start that leaves, or nil
	tell  bool                   // whether peers are told at once
	now   NoticeState
}

// hear takes in a notice of the present start: what set makes of its limit, and whether the
// upstream leaves. The lock is held.
func (g *Gate) hear(set func(*throttle.Limiter), leaving bool) (c change) {
	named := &g.admit.AdvertisedLimiter
	rateBefore, namedBefore := named.Rate()
	set(named)
	if leaving && !g.departing {
		g.departing = true
		g.departed = time.Now()
		g.update()
		c.left = g.latest
	}
	rateNow, namedNow := named.Rate()
	c.limit = namedNow != namedBefore || rateNow != rateBefore
	if !c.limit && c.left == nil {
		return c
	}
	c.now = g.standing()
	if c.left != nil || c.limit && time.Since(g.limitTold) >= limitTellEvery {
		c.tell = true
		g.limitTold = time.Now()
	}
	return c
}

// changed acts on what a notice has changed.
func (g *Gate) changed(c change) {
	if c.limit {
		g.admit.LimitChanged()
	}
	if c.left != nil && g.UpstreamLeaving != nil {
		g.UpstreamLeaving(c.left.StartID, c.left.StartMillis)
	}
	if c.tell && g.BroadcastReport != nil {
		go g.BroadcastReport(g.Report())
	}
	if (c.limit || c.now.Leaving && c.left != nil) && g.NoticeChanged != nil {
		g.NoticeChanged(c.now)
	}
}

// forgetNotices says that the upstream has started anew and has said nothing yet. The lock is
// held.
func (g *Gate) forgetNotices() {
	g.departing, g.healthNames = false, false
	g.admit.AdvertisedLimiter.Reset()
}

// Standing returns what the upstream has said of the requests that it wants.
func (g *Gate) NoticeState() NoticeState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.standing()
}

// standing does what Standing does. The lock is held.
func (g *Gate) standing() NoticeState {
	s := NoticeState{
		Limit:        g.admit.AdvertisedLimiter.State(),
		Leaving:      g.departing,
		LeavingSince: g.departed,
	}
	if g.latest != nil {
		s.Start = g.latest.StartID
	}
	return s
}

// notice returns what goes with answers to peers, or nil if the upstream wants all requests.
func (g *Gate) notice() *peer.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate, limited := g.admit.AdvertisedLimiter.Rate()
	if g.latest == nil || !limited && !g.departing {
		return nil
	}
	return &peer.Notice{
		Start:   g.latest.StartID,
		Born:    g.latest.StartMillis,
		Limited: limited,
		Limit:   rate,
		Leaving: g.departing,
	}
}

// AskHealth returns 0 if the health check of the upstream may be asked now, which counts, and
// otherwise after how long it may: the limit that an upstream names is taken to hold for that as
// well.
func (g *Gate) ReserveHealthCheck() time.Duration { return g.admit.AdvertisedLimiter.TryHealthCheck() }

// Limited returns whether the upstream names a limit.
func (g *Gate) LimitAdvertised() bool {
	_, limited := g.admit.AdvertisedLimiter.Rate()
	return limited
}

// Written returns how many requests have been written to upstreams so far.
func (g *Gate) RequestsWritten() uint64 { return g.written.Load() }
