// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"time"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// Evacuate takes in whether the zone is evacuated: the upstream then gets no requests, and
// those that wait are refused. Peers are told at once.
func (g *Gate) SetEvacuated(evacuated bool) { g.setClosed(&g.evacuated, evacuated) }

// Withhold takes in whether the upstream's version is not to be used, with the same effect.
func (g *Gate) SetVersionWithheld(withheld bool) { g.setClosed(&g.versionWithheld, withheld) }

// close sets a reason for which the upstream gets no requests.
func (g *Gate) setClosed(reason *bool, closed bool) {
	g.mu.Lock()
	changed := *reason != closed
	if changed {
		*reason = closed
		g.updateLimits()
	}
	g.mu.Unlock()
	if changed && g.BroadcastReport != nil {
		go g.BroadcastReport(g.Report())
	}
}

// permit is the last word before a request is written to the upstream: it has been
// admitted, and may have waited since for its body or a connection.
func (g *Gate) permit() (written func(), refused *verdict.Error) {
	g.mu.Lock()
	closed := g.evacuated || g.versionWithheld || g.noticeLeaving
	g.mu.Unlock()
	if closed {
		return nil, verdict.New(verdict.Draining, nil)
	}
	limiter := &g.admit.AdvertisedLimiter
	if wait := limiter.TryAcquire(); wait > 0 {
		return nil, verdict.New(verdict.Refused, nil).WithRetryAfter(wait)
	}
	coldSend, wait := g.sendLimit.TryAcquire()
	if coldSend == nil {
		limiter.Cancel()
		return nil, verdict.New(verdict.Refused, nil).WithRetryAfter(wait)
	}
	g.written.Add(1)
	return func() {
		coldSend.MarkWritten()
		limiter.MarkWritten()
	}, nil
}

// startCold takes in a new start of the upstream. One that follows another has been sent
// nothing yet, and is cold until it says otherwise. The first one that this node knows may
// have been there before it, and goes by its word. The lock is held.
func (g *Gate) initCold(a *upstream.Announcement, first bool) {
	remaining := a.ColdRemaining
	if !first {
		g.resetSent()
		if g.service != nil {
			remaining = max(remaining, g.service.Cold.Lasts.Std())
		}
	}
	g.ExtendColdStart(remaining)
	g.checkFirstStart()
}

// unsent says that the upstream has been sent nothing by this node or one before it.
func (g *Gate) resetSent() {
	g.admit.ColdLimiter.Reset()
	g.sendLimit.Reset()
}

// startGrace is how much earlier than this node an upstream may have begun that is taken to
// have begun with it, as after a loss of power. A node that was killed and started again
// within that time may have sent a fifth of what is allowed in a second, which the slack of
// the last look covers.
const startGrace = 200 * time.Millisecond

// firstStart finds out, once, whether the first start of the upstream that this node knows
// began with the node. If so nothing was sent to it before: without that it would get
// nothing in its first second, as it is not known what a node before this one sent. The
// lock is held.
func (g *Gate) checkFirstStart() {
	if g.firstStartChecked || g.service == nil || g.latest == nil {
		return
	}
	g.firstStartChecked = true
	remaining := g.sendLimit.Remaining()
	age := g.service.Cold.Lasts.Std() - remaining
	if remaining > 0 && age <= time.Since(g.Started)+startGrace {
		g.resetSent()
	}
}

const (
	// coldUnit is the unit in which an upstream tells how much longer it is cold.
	coldResolution = time.Millisecond
	// coldTold is how much longer than it tells an upstream may be cold, by the unit and by
	// what its clock and this one's differ in a second. What has waited for the end would
	// come all at once in that time.
	coldMargin = 2 * coldResolution
)

// ColdAtLeast takes in that the upstream stays cold for the given time, or longer, by word
// that may be late.
func (g *Gate) ExtendColdStart(remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	g.sendLimit.ExtendRemaining(remaining + coldMargin)
	g.admit.ColdLimiter.ExtendRemaining(remaining + coldMargin)
}

// Cold takes in how much longer the upstream is cold, as it tells at this moment.
func (g *Gate) SetColdRemaining(remaining time.Duration) {
	switch {
	case remaining > 0:
		remaining += coldMargin
	case g.sendLimit.Remaining() <= coldMargin+coldResolution:
		return // less than a unit is told as nothing, or it is warm already
	}
	g.sendLimit.SetRemaining(remaining)
	g.admit.ColdLimiter.SetRemaining(remaining)
}
