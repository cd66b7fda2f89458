// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"
	"time"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// SetEvacuated sets whether the zone is evacuated. While it is, the upstream gets no requests and
// those are refused that have not been written to it. Peers are notified at once.
func (g *Gate) SetEvacuated(evacuated bool) { g.setClosed(&g.evacuated, evacuated) }

// SetVersionWithheld sets whether the upstream's version must not be used, with the same effect.
func (g *Gate) SetVersionWithheld(withheld bool) { g.setClosed(&g.versionWithheld, withheld) }

// setClosed sets one of the reasons for which the upstream gets no requests.
func (g *Gate) setClosed(reason *bool, closed bool) {
	g.mu.Lock()
	changed := *reason != closed
	if changed {
		*reason = closed
		g.updateLimits()
		g.cancelUnsent()
	}
	g.mu.Unlock()
	if changed && g.BroadcastReport != nil {
		go g.BroadcastReport(g.Report())
	}
}

// permit is the final check before a request is written to the upstream: the request has been
// admitted, but may have waited since then for its body or for a connection.
func (g *Gate) permit(ctx context.Context) (written func(), refused *verdict.Error) {
	if !g.permitSend(ctx) {
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

// initCold applies the announcement of a new start of the upstream. One that replaces another has
// been sent nothing yet, and is assumed to be cold until it reports otherwise. The first one that
// this node sees may have started before the node, so its announcement is trusted. The lock is
// held.
func (g *Gate) initCold(a *upstream.Announcement, first bool) {
	remaining := a.ColdRemaining
	if !first {
		g.resetSent()
		if g.service != nil {
			remaining = max(remaining, g.service.Cold.AssumedDuration.Std())
		}
	}
	g.ExtendColdStart(remaining)
	g.checkFirstStart()
}

// resetSent records that this start of the upstream has been sent nothing, by this node or an earlier
// process of it.
func (g *Gate) resetSent() {
	g.admit.ColdLimiter.Reset()
	g.sendLimit.Reset()
}

// startGrace is how much earlier than this node an upstream may have started and still be
// assumed to have started with it, as after a power loss. A node that was killed and restarted
// within that time may have sent a fifth of what is allowed in a second, which the slack of the
// limit in permit covers.
const startGrace = 200 * time.Millisecond

// checkFirstStart finds out, once, whether the first start that this node sees began together
// with the node, so that nothing was sent to it before. Otherwise it gets nothing in its first
// second, because it is not known what an earlier process of this node sent. The lock is held.
func (g *Gate) checkFirstStart() {
	if g.firstStartChecked || g.service == nil || g.latest == nil {
		return
	}
	g.firstStartChecked = true
	remaining := g.sendLimit.Remaining()
	age := g.service.Cold.AssumedDuration.Std() - remaining
	if remaining > 0 && age <= time.Since(g.Started)+startGrace {
		g.resetSent()
	}
}

const (
	// coldResolution is the resolution at which an upstream reports its remaining cold time.
	coldResolution = time.Millisecond
	// coldMargin is how much longer than reported an upstream may be cold, because of the
	// resolution and of clock drift within a second. Without it the requests that wait for
	// the end of the cold period would all be sent within that time.
	coldMargin = 2 * coldResolution
)

// ExtendColdStart records that the upstream stays cold for at least the given time, from a report
// that may be delayed.
func (g *Gate) ExtendColdStart(remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	g.sendLimit.ExtendRemaining(remaining + coldMargin)
	g.admit.ColdLimiter.ExtendRemaining(remaining + coldMargin)
}

// SetColdRemaining sets how much longer the upstream stays cold, as it reports at this moment.
func (g *Gate) SetColdRemaining(remaining time.Duration) {
	switch {
	case remaining > 0:
		remaining += coldMargin
	case g.sendLimit.Remaining() <= coldMargin+coldResolution:
		return // less than the resolution is reported as 0, or it is warm already
	}
	g.sendLimit.SetRemaining(remaining)
	g.admit.ColdLimiter.SetRemaining(remaining)
}
