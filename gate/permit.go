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
func (g *Gate) SetEvacuated(evacuated bool) { g.close(&g.emptied, evacuated) }

// Withhold takes in whether the upstream's version is not to be used, with the same effect.
func (g *Gate) SetVersionWithheld(withheld bool) { g.close(&g.withheld, withheld) }

// close sets a reason for which the upstream gets no requests.
func (g *Gate) close(reason *bool, closed bool) {
	g.mu.Lock()
	changed := *reason != closed
	if changed {
		*reason = closed
		g.update()
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
	closed := g.emptied || g.withheld || g.departing
	g.mu.Unlock()
	if closed {
		return nil, verdict.New(verdict.Draining, nil)
	}
	named := &g.admit.AdvertisedLimiter
	if wait := named.TryAcquire(); wait > 0 {
		return nil, verdict.New(verdict.Refused, nil).WithRetryAfter(wait)
	}
	sending, wait := g.sending.TryAcquire()
	if sending == nil {
		named.Cancel()
		return nil, verdict.New(verdict.Refused, nil).WithRetryAfter(wait)
	}
	g.written.Add(1)
	return func() {
		sending.MarkWritten()
		named.MarkWritten()
	}, nil
}

// startCold takes in a new start of the upstream. One that follows another has been sent
// nothing yet, and is cold until it says otherwise. The first one that this node knows may
// have been there before it, and goes by its word. The lock is held.
func (g *Gate) startCold(a *upstream.Announcement, first bool) {
	remaining := a.ColdRemaining
	if !first {
		g.unsent()
		if g.service != nil {
			remaining = max(remaining, g.service.Cold.Lasts.Std())
		}
	}
	g.ExtendColdStart(remaining)
	g.firstStart()
}

// unsent says that the upstream has been sent nothing by this node or one before it.
func (g *Gate) unsent() {
	g.admit.ColdLimiter.Reset()
	g.sending.Reset()
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
func (g *Gate) firstStart() {
	if g.startKnown || g.service == nil || g.latest == nil {
		return
	}
	g.startKnown = true
	remaining := g.sending.Remaining()
	age := g.service.Cold.Lasts.Std() - remaining
	if remaining > 0 && age <= time.Since(g.Started)+startGrace {
		g.unsent()
	}
}

const (
	// coldUnit is the unit in which an upstream tells how much longer it is cold.
	coldUnit = time.Millisecond
	// coldTold is how much longer than it tells an upstream may be cold, by the unit and by
	// what its clock and this one's differ in a second. What has waited for the end would
	// come all at once in that time.
	coldTold = 2 * coldUnit
)

// ColdAtLeast takes in that the upstream stays cold for the given time, or longer, by word
// that may be late.
func (g *Gate) ExtendColdStart(remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	g.sending.ExtendRemaining(remaining + coldTold)
	g.admit.ColdLimiter.ExtendRemaining(remaining + coldTold)
}

// Cold takes in how much longer the upstream is cold, as it tells at this moment.
func (g *Gate) SetColdRemaining(remaining time.Duration) {
	switch {
	case remaining > 0:
		remaining += coldTold
	case g.sending.Remaining() <= coldTold+coldUnit:
		return // less than a unit is told as nothing, or it is warm already
	}
	g.sending.SetRemaining(remaining)
	g.admit.ColdLimiter.SetRemaining(remaining)
}
