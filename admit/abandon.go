// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"slices"
	"time"
)

// assumeCompletionFor is how long an upstream is assumed to complete abandoned requests after
// it has been seen to. While this is assumed, the upstream is not overfilled, so there is no further
// evidence.
const assumeCompletionFor = 10 * time.Second

// abandonedRequests tracks the requests that were abandoned at an upstream, and whether the
// upstream drops them when their connections are closed, as most do, or completes them. The
// gate's mutex guards it.
type abandonedRequests struct {
	ends           []time.Time // latest end times of those that may still run
	completesUntil time.Time   // until then the upstream is assumed to complete them
}

// add records an abandoned request that ends by the given time.
func (a *abandonedRequests) add(end, now time.Time) {
	a.prune(now)
	if end.After(now) {
		a.ends = append(a.ends, end)
	}
}

// prune removes the requests that have ended.
func (a *abandonedRequests) prune(now time.Time) {
	a.ends = slices.DeleteFunc(a.ends, func(end time.Time) bool { return !end.After(now) })
}

// upstreamRefused records that the upstream refused a request while the gate had the given
// number running. If abandoned requests explain the refusal, the upstream completes them.
func (a *abandonedRequests) upstreamRefused(running, slots int, now time.Time) {
	a.prune(now)
	if running <= slots && running+len(a.ends) > slots {
		a.completesUntil = now.Add(assumeCompletionFor)
	}
}

// heldSlots returns how many slots abandoned requests hold, and when the next of them is free.
func (a *abandonedRequests) heldSlots(now time.Time) (n int, next time.Time) {
	if !now.Before(a.completesUntil) {
		return 0, time.Time{}
	}
	a.prune(now)
	if len(a.ends) == 0 {
		return 0, time.Time{}
	}
	return len(a.ends), slices.MinFunc(a.ends, time.Time.Compare)
}

// UpstreamRefused records that the upstream has refused to run the request. It is called before
// Release.
func (t *Ticket) UpstreamRefused() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned.upstreamRefused(g.running, g.limits.Slots, time.Now())
}

// Abandon gives back the slot of a request that ran and whose response is no longer awaited. It is
// called instead of Release. At an upstream that completes such requests the slot becomes free
// only once nearly all runs of that length have ended; a request that got it earlier would be
// refused by the upstream.
func (t *Ticket) Abandon() {
	g := t.gate
	g.mu.Lock()
	end := t.startedAt.Add(time.Duration(runTimeMargin * t.slowdown * float64(g.expectedRun(t.queue))))
	g.abandoned.add(end, time.Now())
	g.mu.Unlock()
	g.release(t, false)
}
