// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

const (
	// ratioTimeConstant is the time constant of a DecayingRatio: long enough for some tens of
	// requests of an upstream, and short compared with the seconds for which one fails.
	ratioTimeConstant = time.Second
	// ratioPrior is the number of misses that a DecayingRatio starts with, so that a single
	// hit has little weight.
	ratioPrior = 2
)

// DecayingRatio is the fraction of recent events that are hits. It is
//
//	sum over hits of exp(-age/1 s) / (2 + sum over all events of exp(-age/1 s)),
//
// in [0, 1), and 0 before the first event. It is not safe for use by several
// goroutines at once.
type DecayingRatio struct {
	hits, all float64
	updatedAt time.Time
}

// Add records one event.
func (r *DecayingRatio) Add(hit bool, now time.Time) {
	r.decay(now)
	r.all++
	if hit {
		r.hits++
	}
}

// Value returns the ratio.
func (r *DecayingRatio) Value(now time.Time) float64 {
	r.decay(now)
	return r.hits / (ratioPrior + r.all)
}

// decay brings the sums to the given time.
func (r *DecayingRatio) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(r.updatedAt)) / float64(ratioTimeConstant))
	r.hits *= factor
	r.all *= factor
	r.updatedAt = now
}
