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
	print := c.in.Call.Print
	if !print.Complete() && c.in.Call.Streams {
		c.body = &quarantine.BodyHasher{
			Reader: c.in.Body(),
		}
	}
	return b.start.running.Begin(c.print, isolated)
}

// look finds out whether an upstream that has lost a request is still there. Connections
// may be cut for other reasons; only an upstream that is gone refuses new ones.
func (g *Gate) look(b *binding) {
	if !b.start.looking.CompareAndSwap(false, true) {
		return
	}
	defer b.start.looking.Store(false)
	if err := b.transport.CheckReachable(context.Background()); errors.Is(err, syscall.ECONNREFUSED) {
		g.gone(b)
	}
}

// gone tells that an upstream has ended, with the requests that it may have ended under.
// One that drains, or that has left, ends as it was to.
func (g *Gate) gone(b *binding) {
	if g.UpstreamCrashed == nil || g.current.Load() == nil || b.start.drained.Load() {
		return
	}
	atHand, alone := b.start.running.Take()
	if len(atHand) == 0 {
		return
	}
	suspects, blamed := g.answers.Suspects(atHand, alone)
	g.UpstreamCrashed(b.announcement, suspects, blamed)
}

// answered takes in that a request has run to its end here. A suspected one is cleared by
// that, also if it began before anything was known of it: what ends upstreams is never
// answered.
func (g *Gate) answered(p quarantine.Fingerprint) {
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
const comeBackIsolated = 100 * time.Millisecond

// isolate returns the standing of a request that is about to run, which may be another
// than when it came, and what it owes at its end. An isolated one runs if no other
// isolated one does: the upstream can then end under one of them only.
func (g *Gate) isolate(p quarantine.Fingerprint) (j quarantine.Assessment, rejoin func(), failure *verdict.Error) {
	j = g.Quarantine.Assess(p)
	if failure := j.Failure(); failure != nil {
		return j, nil, failure
	}
	if j.State != quarantine.Isolated {
		return j, func() {}, nil
	}
	if !g.isolated.TryLock() {
		return j, nil, verdict.New(verdict.Refused, nil).WithRetryAfter(comeBackIsolated)
	}
	return j, g.isolated.Unlock, nil
}
