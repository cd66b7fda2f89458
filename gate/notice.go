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
const limitReportInterval = 500 * time.Millisecond

// Notice takes in what an answer of a start of the upstream says of the requests that it wants.
func (g *Gate) HandleNotice(startID string, n upstream.Notice) {
	if n.Err != nil && g.NoticeInvalid != nil {
		g.NoticeInvalid(startID, n.Err)
	}
	g.mu.Lock()
	var c noticeChange
	if g.latest != nil && g.latest.StartID == startID {
		c = g.applyNotice(func(limiter *throttle.Limiter) {
			switch {
			case n.Limited:
				g.healthReportsLimits = g.healthReportsLimits || n.FromHealthCheck
				limiter.ObserveLimit(n.Limit, n.SentAt)
			case n.Err != nil: // what was known holds
			case n.FromHealthCheck && !g.healthReportsLimits: // it never says
			default:
				limiter.ObserveNoLimit(n.SentAt)
			}
		}, n.Leaving)
	}
	g.mu.Unlock()
	g.notifyChange(c)
}

// adopt takes in what the sender of a call has been told of the upstream, which the upstream may
// have said to a process before this one.
func (g *Gate) adoptNotice(n *peer.Notice) {
	if n == nil {
		return
	}
	announced := upstream.Announcement{
		StartID:     n.Start,
		StartMillis: n.Born,
	}
	g.mu.Lock()
	var c noticeChange
	if g.latest != nil && g.latest.SameStart(&announced) {
		c = g.applyNotice(func(limiter *throttle.Limiter) {
			if n.Limited {
				limiter.AdoptLimit(n.Limit)
			}
		}, n.Leaving)
	} else if n.Leaving {
		c.leaving = &announced
	}
	g.mu.Unlock()
	g.notifyChange(c)
}

// change is what a notice has changed.
type noticeChange struct {
	limit     bool
	leaving   *upstream.Announcement // the start that leaves, or nil
	broadcast bool                   // whether peers are told at once
	state     NoticeState
}

// hear takes in a notice of the present start: what set makes of its limit, and whether the
// upstream leaves. The lock is held.
func (g *Gate) applyNotice(apply func(*throttle.Limiter), leaving bool) (c noticeChange) {
	limiter := &g.admit.AdvertisedLimiter
	rateBefore, limitedBefore := limiter.Rate()
	apply(limiter)
	if leaving && !g.noticeLeaving {
		g.noticeLeaving = true
		g.noticeLeavingSince = time.Now()
		g.updateLimits()
		c.leaving = g.latest
	}
	rateNow, limitedNow := limiter.Rate()
	c.limit = limitedNow != limitedBefore || rateNow != rateBefore
	if !c.limit && c.leaving == nil {
		return c
	}
	c.state = g.noticeState()
	if c.leaving != nil || c.limit && time.Since(g.limitReportedAt) >= limitReportInterval {
		c.broadcast = true
		g.limitReportedAt = time.Now()
	}
	return c
}

// changed acts on what a notice has changed.
func (g *Gate) notifyChange(c noticeChange) {
	if c.limit {
		g.admit.LimitChanged()
	}
	if c.leaving != nil && g.UpstreamLeaving != nil {
		g.UpstreamLeaving(c.leaving.StartID, c.leaving.StartMillis)
	}
	if c.broadcast && g.BroadcastReport != nil {
		go g.BroadcastReport(g.Report())
	}
	if (c.limit || c.state.Leaving && c.leaving != nil) && g.NoticeChanged != nil {
		g.NoticeChanged(c.state)
	}
}

// forgetNotices says that the upstream has started anew and has said nothing yet. The lock is
// held.
func (g *Gate) resetNotices() {
	g.noticeLeaving, g.healthReportsLimits = false, false
	g.admit.AdvertisedLimiter.Reset()
}

// Standing returns what the upstream has said of the requests that it wants.
func (g *Gate) NoticeState() NoticeState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.noticeState()
}

// standing does what Standing does. The lock is held.
func (g *Gate) noticeState() NoticeState {
	s := NoticeState{
		Limit:        g.admit.AdvertisedLimiter.State(),
		Leaving:      g.noticeLeaving,
		LeavingSince: g.noticeLeavingSince,
	}
	if g.latest != nil {
		s.Start = g.latest.StartID
	}
	return s
}

// notice returns what goes with answers to peers, or nil if the upstream wants all requests.
func (g *Gate) peerNotice() *peer.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate, limited := g.admit.AdvertisedLimiter.Rate()
	if g.latest == nil || !limited && !g.noticeLeaving {
		return nil
	}
	return &peer.Notice{
		Start:   g.latest.StartID,
		Born:    g.latest.StartMillis,
		Limited: limited,
		Limit:   rate,
		Leaving: g.noticeLeaving,
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
