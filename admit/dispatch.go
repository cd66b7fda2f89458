// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

// maxSlowRemaining bounds the expected remaining time of a slow period.
const maxSlowRemaining = 10 * time.Second

// dispatch starts waiting requests while slots are free. The lock is held.
func (g *Gate) dispatch(now time.Time) {
	allowed := g.allowed(now)
	held, next := g.abandoned.heldSlots(now)
	for g.running+held < allowed && g.waiting > 0 {
		q := g.nextClass(allowed, now)
		if q == nil {
			return
		}
		if wait := g.limitWait(0); wait > 0 {
			g.dispatchAfter(wait)
			return
		}
		if coldSend, _ := g.ColdLimiter.TryAcquire(); coldSend != nil {
			coldSend.MarkWritten()
		}
		g.AdvertisedLimiter.Admit()
		g.startNext(q, now)
	}
	if held > 0 && g.waiting > 0 {
		g.dispatchAfter(next.Sub(now))
	}
}

// limitWait returns after how long a request may start under the cold and the advertised limit, if
// the given number of requests starts before it. The stricter limit applies. The lock is held.
func (g *Gate) limitWait(ahead int) time.Duration {
	return max(g.ColdLimiter.Wait(ahead), g.AdvertisedLimiter.Wait(ahead))
}

// LimitChanged starts waiting requests after the advertised limit has changed or ended.
func (g *Gate) LimitChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(time.Now())
}

// dispatchAfter schedules a call of dispatch after the given time. The lock is held.
func (g *Gate) dispatchAfter(d time.Duration) {
	if g.dispatchTimer != nil {
		g.dispatchTimer.Reset(d)
		return
	}
	g.dispatchTimer = time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch(time.Now())
	})
}

// occupiedSlots returns the number of slots that are in use, including those held by abandoned
// requests. The lock is held.
func (g *Gate) occupiedSlots(now time.Time) int {
	held, _ := g.abandoned.heldSlots(now)
	return g.running + held
}

// allowed returns the number of requests that may run now. At a cold upstream it is at most the
// number that may start during the time of one run, so that senders that know it send no more.
// The lock is held.
func (g *Gate) allowed(now time.Time) int {
	n := g.limiter.allowed(g.limits, now)
	maxPerSecond, limited := g.ColdLimiter.Limit()
	if !limited || g.limiter.fast == 0 {
		return n
	}
	running := float64(maxPerSecond) * g.limiter.fast * g.currentSlowdown()
	return min(n, max(1, int(math.Ceil(running))))
}

// startNext starts the waiting request of q whose turn is next.
func (g *Gate) startNext(q *classQueue, now time.Time) {
	t := q.pop()
	g.waiting--
	g.running++
	q.running++
	g.virtualTime = t.startTag
	g.startTimeSum += now.Sub(g.epoch)
	t.state = running
	t.startedAt = now
	t.slowdown = g.currentSlowdown()
	t.releaseRate = 1 / (t.slowdown * max(minRun, g.expectedRun(q)).Seconds())
	t.flow.Start(t.expectedRun)
	g.releaseRate += t.releaseRate
	close(t.ready)
}

// shouldHold returns whether a request of q should wait for the end of the present slow period.
// A request runs at the speed at which it starts: one with run time s that starts at a slowdown
// of k ends after k s, and one that waits for the remaining time r of the period ends after
// r + p s, with the minimum slowdown p of the last second. A request that starts slow also
// holds its slot for that much longer, and others wait for it.
func (g *Gate) shouldHold(q *classQueue, now time.Time) bool {
	if !g.limits.HoldWhileSlow {
		return false
	}
	if _, slow := g.slowPeriods.age(now); !slow {
		return false
	}
	gain := time.Duration((g.currentSlowdown() - g.minSlowdown.value(now)) * float64(g.expectedRun(q)))
	return g.slowPeriods.remaining(now, 2*gain) < gain
}

// nextClass returns the class whose first waiting request starts next, or nil if all classes with
// waiting requests are held or have reached their share.
func (g *Gate) nextClass(allowed int, now time.Time) *classQueue {
	var best *classQueue
	for _, q := range g.classes {
		if len(q.waiting) == 0 || q.running >= q.maxSlots(allowed) || g.shouldHold(q, now) {
			continue
		}
		if best == nil || q.waiting[0].startTag < best.waiting[0].startTag {
			best = q
		}
	}
	return best
}
