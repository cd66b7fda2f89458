// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"
	"errors"
	"syscall"
	"time"

	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/verdict"
)

// track records that the call is sent to its upstream, and whether it is isolated.
func (c *call) track(b *binding, isolated bool) *quarantine.Run {
	fingerprint := c.in.Call.Print
	if !fingerprint.Complete() && c.in.Call.Streams {
		c.body = &quarantine.BodyHasher{
			Reader: c.in.Body(),
		}
	}
	return b.start.running.Begin(c.fingerprint, isolated)
}

// look finds out whether an upstream that has lost a request is still there. Connections
// may be cut for other reasons; only an upstream that is gone refuses new ones.
func (g *Gate) checkAlive(b *binding) {
	if !b.start.checking.CompareAndSwap(false, true) {
		return
	}
	defer b.start.checking.Store(false)
	if err := b.transport.CheckReachable(context.Background()); errors.Is(err, syscall.ECONNREFUSED) {
		g.reportCrash(b)
	}
}

// gone tells that an upstream has ended, with the requests that it may have ended under.
// One that drains, or that has left, ends as it was to.
func (g *Gate) reportCrash(b *binding) {
	if g.UpstreamCrashed == nil || g.current.Load() == nil || b.start.draining.Load() {
		return
	}
	inFlight, isolated := b.start.running.Take()
	if len(inFlight) == 0 {
		return
	}
	suspects, isolatedSuspect := g.answers.Suspects(inFlight, isolated)
	g.UpstreamCrashed(b.announcement, suspects, isolatedSuspect)
}

// answered takes in that a request has run to its end here. A suspected one is cleared by
// that, also if it began before anything was known of it: what ends upstreams is never
// answered.
func (g *Gate) recordCompleted(p quarantine.Fingerprint) {
	if !p.Complete() {
		return
	}
	g.answers.Add(p)
	if g.SuspectCleared != nil && g.Quarantine.Assess(p).Crashes > 0 {
		g.SuspectCleared(p)
	}
}

// comeBackIsolated is when an isolated request may come back to a gate where another
// runs: runs take some hundred milliseconds.
const isolatedRetryAfter = 100 * time.Millisecond

// isolate returns the standing of a request that is about to run, which may be another
// than when it came, and what it owes at its end. An isolated one runs if no other
// isolated one does: the upstream can then end under one of them only.
func (g *Gate) isolate(p quarantine.Fingerprint) (j quarantine.Assessment, unlock func(), failure *verdict.Error) {
	j = g.Quarantine.Assess(p)
	if failure := j.Failure(); failure != nil {
		return j, nil, failure
	}
	if j.State != quarantine.Isolated {
		return j, func() {}, nil
	}
	if !g.isolatedMu.TryLock() {
		return j, nil, verdict.New(verdict.Refused, nil).WithRetryAfter(isolatedRetryAfter)
	}
	return j, g.isolatedMu.Unlock, nil
}
