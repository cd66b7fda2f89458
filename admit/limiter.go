// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

const (
	// fastGain and slowGain are the weights of one sample in the moving averages of the
	// service time. The slow average is the baseline.
	fastGain = 0.1
	slowGain = 0.002
	// dropGain is the weight of the fast average in the baseline while it is below the
	// baseline, so that the baseline follows an improvement quickly.
	dropGain = 0.05
	// tolerance is the ratio of fast average to baseline above which the upstream counts as
	// slowed down.
	tolerance = 2.0
	// decrease is the factor applied to the limit at each step down.
	decrease = 0.9
	// floorFraction is the fraction of the slots that the limit never falls below.
	floorFraction = 0.25
	// minWindow is the minimum number of samples between two steps.
	minWindow = 10
)

// limiter is an additive-increase, multiplicative-decrease limit on the number
// of running requests, driven by the service time.
//
// After each window of samples the limit L of S slots becomes
//
//	L = max(S/4, 0.9 L)  if fast > 2 baseline
//	L = min(S, L + 1)    otherwise
//
// See D. Chiu and R. Jain, Analysis of the increase and decrease algorithms for
// congestion avoidance in computer networks, 1989. doi:10.1016/0169-7552(89)90019-6.
type limiter struct {
	fast, baseline float64 // seconds
	limit          float64
	samples        int
	coldSince      time.Time
}

// restart discards all samples and begins the slow start now.
func (l *limiter) restart(slots int, now time.Time) {
	*l = limiter{
		limit:     float64(slots),
		coldSince: now,
	}
}

// observe records the service time of one request.
func (l *limiter) observe(d time.Duration, slots int) {
	s := d.Seconds()
	if l.fast == 0 {
		l.fast = s
		l.baseline = s
		return
	}
	l.fast += fastGain * (s - l.fast)
	gain := slowGain
	if l.fast < l.baseline {
		gain = dropGain
	}
	l.baseline += gain * (l.fast - l.baseline)
	l.samples++
	if l.samples >= max(minWindow, int(l.limit)) {
		l.step(slots)
	}
}

// step adjusts the limit at the end of a window.
func (l *limiter) step(slots int) {
	l.samples = 0
	if l.fast > tolerance*l.baseline {
		l.limit = max(floorFraction*float64(slots), decrease*l.limit)
		return
	}
	l.limit = min(float64(slots), l.limit+1)
}

// allowed returns the number of requests that may run now. It is at least one if there are any
// slots.
func (l *limiter) allowed(limits Limits, now time.Time) int {
	if limits.Slots <= 0 {
		return 0
	}
	n := float64(limits.Slots)
	if limits.Adaptive {
		n = min(n, l.limit)
	}
	if age := now.Sub(l.coldSince); age < limits.SlowStart {
		warm := float64(age) / float64(limits.SlowStart)
		n = min(n, float64(limits.Slots)*(floorFraction+(1-floorFraction)*warm))
	}
	return max(1, int(math.Floor(n)))
}
