// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package stall

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// tickInterval is the time between two ticks of a Monitor.
	tickInterval = 50 * time.Millisecond
	// minDelay is the smallest delay of a tick that is recorded.
	minDelay = 10 * time.Millisecond
	// maxDelays is the number of delays that are kept.
	maxDelays = 64
)

// Monitor measures the delays of its own ticks. The zero value is ready to use. Its methods may
// be called from any goroutine.
type Monitor struct {
	mu       sync.Mutex
	lastTick time.Time // of the last tick, zero before the first
	delays   []delay   // oldest first
}

// delay is the delay of one tick.
type delay struct {
	ended    time.Time
	duration time.Duration
}

// Run measures delays until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
		}
		m.tick(time.Now())
		next.Reset(tickInterval)
	}
}

// tick records a tick.
func (m *Monitor) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if duration := m.overdue(now); duration >= minDelay {
		if len(m.delays) == maxDelays {
			m.delays = slices.Delete(m.delays, 0, 1)
		}
		m.delays = append(m.delays, delay{
			ended:    now,
			duration: duration,
		})
	}
	m.lastTick = now
}

// overdue returns by how much the next tick is late. The lock is held.
func (m *Monitor) overdue(now time.Time) time.Duration {
	if m.lastTick.IsZero() {
		return 0
	}
	return max(0, now.Sub(m.lastTick)-tickInterval)
}

// LongestDelay returns the longest delay of a tick that came after the given moment, or of the
// next one if it is late. Delays under 10 ms count as none.
func (m *Monitor) LongestDelay(since time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var longest time.Duration
	if pending := m.overdue(time.Now()); pending >= minDelay {
		longest = pending
	}
	for _, d := range m.delays {
		if d.ended.After(since) {
			longest = max(longest, d.duration)
		}
	}
	return longest
}
