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

// track records that the call is sent to its upstream, and whether it is isolated there.
func (c *call) track(b *binding, isolated bool) *quarantine.Run {
	fingerprint := c.in.Call.Fingerprint
	if !fingerprint.Complete() && c.in.Call.Streams {
		c.body = &quarantine.BodyHasher{
			Reader: c.in.Body(),
		}
	}
	return b.start.running.Begin(c.fingerprint, isolated)
}

// checkAlive finds out whether an upstream that has lost a request is still running. Connections
// may be closed for other reasons; only an upstream that has ended refuses new ones.
func (g *Gate) checkAlive(b *binding) {
	if !b.start.checking.CompareAndSwap(false, true) {
		return
	}
	defer b.start.checking.Store(false)
	if err := b.transport.CheckReachable(context.Background()); errors.Is(err, syscall.ECONNREFUSED) {
		g.reportCrash(b)
	}
}

// reportCrash reports that a start of the upstream has ended, with the requests that were in flight.
// An upstream that was draining or had left is not reported.
func (g *Gate) reportCrash(b *binding) {
	if g.UpstreamCrashed == nil || g.current.Load() == nil || b.start.draining.Load() {
		return
	}
	inFlight, isolated := b.start.running.Take()
	if len(inFlight) == 0 {
		return
	}
	suspects, isolatedSuspect := g.responses.Suspects(inFlight, isolated)
	g.UpstreamCrashed(b.announcement, suspects, isolatedSuspect)
}

// recordCompleted records that a request has completed. This clears a suspected request, also if it
// started before it was suspected: a request that crashes upstreams never completes.
func (g *Gate) recordCompleted(p quarantine.Fingerprint) {
	if !p.Complete() {
		return
	}
	g.responses.Add(p)
	if g.SuspectCleared != nil && g.Quarantine.Assess(p).Crashes > 0 {
		g.SuspectCleared(p)
	}
}

// isolatedRetryAfter is the retry delay of an isolated request that is refused because another
// one is running: runs take some hundred milliseconds.
const isolatedRetryAfter = 100 * time.Millisecond

// isolate returns the quarantine assessment of a request that is about to run, which may have
// changed since the call arrived, and a function to call when the request ends. Only one isolated
// request runs at a time, so that a crash of the upstream can be attributed to it.
func (g *Gate) isolate(p quarantine.Fingerprint) (a quarantine.Assessment, unlock func(), failure *verdict.Error) {
	a = g.Quarantine.Assess(p)
	if failure := a.Failure(); failure != nil {
		return a, nil, failure
	}
	if a.State != quarantine.Isolated {
		return a, func() {}, nil
	}
	if !g.isolatedMu.TryLock() {
		return a, nil, verdict.New(verdict.Refused, nil).WithRetryAfter(isolatedRetryAfter)
	}
	return a, g.isolatedMu.Unlock, nil
}
