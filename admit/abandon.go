// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"slices"
	"time"
)

// finishesFor is for how long an upstream counts as one that finishes what has been abandoned,
// after it has shown so. While it counts as one it is not overfilled and so shows nothing.
const assumeCompletionFor = 10 * time.Second

// abandoned knows the requests that were abandoned at an upstream, and whether it drops
// them when their connections are closed, as most do, or finishes them. The gate's mutex
// guards it.
type abandonedRequests struct {
	ends           []time.Time // by when those that may still run have ended
	completesUntil time.Time   // until when the upstream counts as one that finishes them
}

// add records a request that has been abandoned.
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

// refused takes in that the upstream refused a request while the gate had the given number
// there. If those that were abandoned explain it, the upstream finishes them.
func (a *abandonedRequests) upstreamRefused(running, slots int, now time.Time) {
	a.prune(now)
	if running <= slots && running+len(a.ends) > slots {
		a.completesUntil = now.Add(assumeCompletionFor)
	}
}

// held returns how many slots abandoned requests hold, and when the next of them is free.
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

// Refused tells the gate that the upstream has refused to run the request. It is called
// before Release.
func (t *Ticket) UpstreamRefused() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned.upstreamRefused(g.running, g.limits.Slots, time.Now())
}

// Abandon gives the slot back of a request that ran and whose answer nobody waits for any
// more. It is called instead of Release. At an upstream that finishes such requests the
// slot is free only once nearly all runs have ended: one given to another request before
// would have that refused.
func (t *Ticket) Abandon() {
	g := t.gate
	g.mu.Lock()
	end := t.startedAt.Add(time.Duration(runTimeMargin * t.slowdown * float64(g.expectedRun(t.queue))))
	g.abandoned.add(end, time.Now())
	g.mu.Unlock()
	g.release(t, false)
}
