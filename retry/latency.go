// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is the number of recent samples that quantiles are taken from.
	latencyWindow = 512
	// latencyRefresh is the number of samples after which they are sorted again.
	latencyRefresh = 64
)

// Latency measures quantiles of the latest request times. The zero value is ready to
// use. Its methods may be called from any goroutine.
type Latency struct {
	mu      sync.Mutex
	samples [latencyWindow]time.Duration
	count   int
	sorted  []time.Duration
}

// Observe records the time that one request took.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.count%latencyWindow] = d
	l.count++
	if l.count%latencyRefresh == 0 {
		l.sorted = append(l.sorted[:0], l.samples[:min(l.count, latencyWindow)]...)
		slices.Sort(l.sorted)
	}
}

// Quantile returns the q-quantile of the recent samples, 0 <= q < 1. The second
// result is false while there are too few of them.
func (l *Latency) Quantile(q float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sorted) == 0 {
		return 0, false
	}
	return l.sorted[int(q*float64(len(l.sorted)))], true
}

// minHedgeFactor is the least multiple of the usual time after which a hedged attempt is
// sent for the sake of the latency objective.
const minHedgeFactor = 1.25

// HedgeDelay returns the time after which a hedged attempt should be sent, given
// the quantile of the request times from which they count as slow, the usual time, and the
// latency objective, or 0 if there is none. Where many requests are slow, the quantile comes
// too late: an attempt that starts while the usual time is left may still meet the objective.
func HedgeDelay(slow, usual, objective time.Duration) time.Duration {
	last := objective - usual
	if float64(last) < minHedgeFactor*float64(usual) {
		return slow
	}
	return min(slow, last)
}
