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

// NoticeState is what a start of the upstream has said about the requests that it accepts, and how
// much of its advertised limit is used.
type NoticeState struct {
	// StartID is the ID of the start.
	StartID string
	// Limit is its advertised limit.
	Limit throttle.State
	// Leaving is whether it has said in its responses that it leaves, and LeavingSince when that
	// was first received.
	Leaving      bool
	LeavingSince time.Time
}

// limitReportInterval is the minimum time between two reports to all peers about a changed
// limit. An upstream may advertise a different one in each response; nodes that call it
// learn it from their responses.
const limitReportInterval = 500 * time.Millisecond

// HandleNotice applies the notice in a response of the given start of the upstream.
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
			case n.Err != nil: // keep the known limit
			case n.FromHealthCheck && !g.healthReportsLimits: // probes never advertise a limit
			default:
				limiter.ObserveNoLimit(n.SentAt)
			}
		}, n.Leaving)
	}
	g.mu.Unlock()
	g.notifyChange(c)
}

// adoptNotice applies the notice that the sender of a call knows. The upstream may have given it
// to an earlier process of this node.
func (g *Gate) adoptNotice(n *peer.Notice) {
	if n == nil {
		return
	}
	announced := upstream.Announcement{
		StartID:     n.StartID,
		StartMillis: n.StartMillis,
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

// noticeChange is what a notice has changed.
type noticeChange struct {
	limit     bool
	leaving   *upstream.Announcement // the start that leaves, or nil
	broadcast bool                   // whether to report to all peers at once
	state     NoticeState
}

// applyNotice applies a notice of the current start: apply updates the advertised limit, and
// leaving is whether the upstream leaves. The lock is held.
func (g *Gate) applyNotice(apply func(*throttle.Limiter), leaving bool) (c noticeChange) {
	limiter := &g.admit.AdvertisedLimiter
	rateBefore, limitedBefore := limiter.Limit()
	apply(limiter)
	if leaving && !g.noticeLeaving {
		g.noticeLeaving = true
		g.noticeLeavingSince = time.Now()
		g.updateLimits()
		g.cancelUnsent()
		c.leaving = g.latest
	}
	rateNow, limitedNow := limiter.Limit()
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

// notifyChange acts on what a notice has changed.
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

// resetNotices discards the notices of an earlier start. The lock is held.
func (g *Gate) resetNotices() {
	g.noticeLeaving, g.healthReportsLimits = false, false
	g.admit.AdvertisedLimiter.Reset()
}

// NoticeState returns what the upstream has said about the requests that it accepts.
func (g *Gate) NoticeState() NoticeState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.noticeState()
}

// noticeState does what NoticeState does. The lock is held.
func (g *Gate) noticeState() NoticeState {
	s := NoticeState{
		Limit:        g.admit.AdvertisedLimiter.State(),
		Leaving:      g.noticeLeaving,
		LeavingSince: g.noticeLeavingSince,
	}
	if g.latest != nil {
		s.StartID = g.latest.StartID
	}
	return s
}

// peerNotice returns the notice that goes with responses to peers, or nil if the upstream accepts
// all requests.
func (g *Gate) peerNotice() *peer.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate, limited := g.admit.AdvertisedLimiter.Limit()
	if g.latest == nil || !limited && !g.noticeLeaving {
		return nil
	}
	return &peer.Notice{
		StartID:     g.latest.StartID,
		StartMillis: g.latest.StartMillis,
		Limited:     limited,
		Limit:       rate,
		Leaving:     g.noticeLeaving,
	}
}

// ReserveHealthCheck returns 0 and counts a probe if one may be sent now, and otherwise returns the
// time until one may. The advertised limit is assumed to apply to probes as well.
func (g *Gate) ReserveHealthCheck() time.Duration { return g.admit.AdvertisedLimiter.TryHealthCheck() }

// LimitAdvertised returns whether the upstream advertises a limit.
func (g *Gate) LimitAdvertised() bool {
	_, limited := g.admit.AdvertisedLimiter.Limit()
	return limited
}

// RequestsWritten returns how many requests have been written to upstreams so far.
func (g *Gate) RequestsWritten() uint64 { return g.written.Load() }
