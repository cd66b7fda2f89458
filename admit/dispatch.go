// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

// maxRest bounds the expected rest of a slow spell.
const maxRest = 10 * time.Second

// dispatch starts waiting requests while slots are free.
func (g *Gate) dispatch(now time.Time) {
	allowed := g.allowed(now)
	held, next := g.abandoned.held(now)
	for g.running+held < allowed && g.waiting > 0 {
		q := g.next(allowed, now)
		if q == nil {
			return
		}
		if wait := g.boundWait(0); wait > 0 {
			g.dispatchAfter(wait)
			return
		}
		if sending, _ := g.ColdLimiter.TryAcquire(); sending != nil {
			sending.MarkWritten()
		}
		g.AdvertisedLimiter.Admit()
		g.start(q, now)
	}
	if held > 0 && g.waiting > 0 {
		g.dispatchAfter(next.Sub(now))
	}
}

// boundWait returns after how long a request may start if the given number goes before it, as
// far as the bounds on the requests in a time say: the lowest of them binds. The lock is held.
func (g *Gate) boundWait(ahead int) time.Duration {
	return max(g.ColdLimiter.Wait(ahead), g.AdvertisedLimiter.Wait(ahead))
}

// Rebound starts waiting requests after the upstream has named another limit, or none.
func (g *Gate) LimitChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// dispatchAfter has dispatch called again after the given time. The lock is held.
func (g *Gate) dispatchAfter(d time.Duration) {
	if g.woken != nil {
		g.woken.Reset(d)
		return
	}
	g.woken = time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch(time.Now())
	})
}

// occupied returns the number of slots that hold a request, be it an abandoned one. The lock
// is held.
func (g *Gate) occupied(now time.Time) int {
	held, _ := g.abandoned.held(now)
	return g.running + held
}

// allowed returns the number of requests that may run now. At a cold upstream it is no more
// than those that start in the time of one run, so that senders who know it send as many.
// The lock is held.
func (g *Gate) allowed(now time.Time) int {
	n := g.limiter.allowed(g.limits, now)
	most, bound := g.ColdLimiter.Limit()
	if !bound || g.limiter.fast == 0 {
		return n
	}
	running := float64(most) * g.limiter.fast * g.slow()
	return min(n, max(1, int(math.Ceil(running))))
}

// start lets the first waiting request of q run.
func (g *Gate) start(q *classQueue, now time.Time) {
	t := q.pop()
	g.waiting--
	g.running++
	q.running++
	g.virtual = t.start
	g.startSum += now.Sub(g.epoch)
	t.state = running
	t.began = now
	t.slowdown = g.slow()
	t.rate = 1 / (t.slowdown * max(leastRun, g.run(q)).Seconds())
	t.flow.Start(t.runTime)
	g.freeing += t.rate
	close(t.ready)
}

// held returns whether a request of q had better wait for the end of the present
// slow spell. The speed with which a request begins holds for all of its run: one of
// run time s that begins with a slowdown of k ends after k s, and one that waits for
// the rest r of the spell after r + p s, with the pace p. One that begins slow also
// holds its slot for that much longer, and others wait for it.
func (g *Gate) held(q *classQueue, now time.Time) bool {
	if !g.limits.HoldWhileSlow {
		return false
	}
	if _, slow := g.spells.age(now); !slow {
		return false
	}
	gain := time.Duration((g.slow() - g.pace.value(now)) * float64(g.run(q)))
	return g.spells.rest(now, 2*gain) < gain
}

// next returns the class whose first waiting request runs next, or nil if all
// classes with waiting requests have their share or are held.
func (g *Gate) next(allowed int, now time.Time) *classQueue {
	var best *classQueue
	for _, q := range g.classes {
		if len(q.waiting) == 0 || q.running >= q.cap(allowed) || g.held(q, now) {
			continue
		}
		if best == nil || q.waiting[0].start < best.waiting[0].start {
			best = q
		}
	}
	return best
}
