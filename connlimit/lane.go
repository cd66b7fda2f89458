// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"slices"
	"sync"
	"time"
)

// Lane bounds how many requests that cost much are handled at once, and how much of the processor they
// take. The others wait, first come, first served: while any wait, each slot rests after a request for restFactor
// times as long as it was taken, so that the processor is free for what does not need a slot. The exported fields are set before the
// first use.
type Lane struct {
	// Slots is the number of requests that are handled at once.
	Slots int
	// MaxWait bounds the wait for a slot.
	MaxWait time.Duration
	// MaxHold is how long a request has its slot at most: one that waits for its client or its
	// upstream costs nothing.
	MaxHold time.Duration

	mu      sync.Mutex
	taken   int
	waiting []chan struct{} // each is closed when it is given a slot
}

// restFactor is how many times as long as it was taken a slot rests.
const restFactor = 3

// turn is a slot that a request has.
type turn struct {
	lane  *Lane
	began time.Time
	once  sync.Once
	timer *time.Timer
}

// enter waits for a slot. It returns nil if there is none within MaxWait.
func (l *Lane) enter() *turn {
	if !l.await() {
		return nil
	}
	t := &turn{
		lane:  l,
		began: time.Now(),
	}
	t.timer = time.AfterFunc(l.MaxHold, t.end)
	return t
}

// leave gives the slot back. It may be called more than once.
func (t *turn) leave() {
	t.timer.Stop()
	t.end()
}

// end gives the slot back, after a rest if others wait for one.
func (t *turn) end() {
	t.once.Do(func() {
		if t.lane.isAwaited() {
			time.AfterFunc(restFactor*time.Since(t.began), t.lane.release)
		} else {
			t.lane.release()
		}
	})
}

// isAwaited returns whether any request waits for a slot.
func (l *Lane) isAwaited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// await waits for a slot, and returns whether there is one within MaxWait.
func (l *Lane) await() bool {
	l.mu.Lock()
	if l.taken < l.Slots {
		l.taken++
		l.mu.Unlock()
		return true
	}
	ready := make(chan struct{})
	l.waiting = append(l.waiting, ready)
	l.mu.Unlock()
	timeout := time.NewTimer(l.MaxWait)
	defer timeout.Stop()
	select {
	case <-ready:
		return true
	case <-timeout.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, ready)
	if i < 0 {
		return true // it got a slot just now
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return false
}

// release gives a slot to the next request that waits.
func (l *Lane) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.taken--
		return
	}
	close(l.waiting[0])
	l.waiting = slices.Delete(l.waiting, 0, 1)
}
