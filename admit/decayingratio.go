// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

const (
	// shareTime is the time constant of a Share: long enough for some tens of
	// requests of an upstream, and short against the seconds for which one fails.
	ratioTimeConstant = time.Second
	// sharePrior is the number of events without a hit that a Share starts from, so
	// that a single hit does not look like a rule.
	ratioPrior = 2
)

// Share is the share of recent events that are hits. It is
//
//	sum over hits of exp(-age/1 s) / (2 + sum over all events of exp(-age/1 s)),
//
// in [0, 1), and 0 before the first event. It is not safe for use by several
// goroutines at once.
type DecayingRatio struct {
	hits, all float64
	updatedAt time.Time
}

// Add takes in one event.
func (s *DecayingRatio) Add(hit bool, now time.Time) {
	s.decay(now)
	s.all++
	if hit {
		s.hits++
	}
}

// Value returns the share.
func (s *DecayingRatio) Value(now time.Time) float64 {
	s.decay(now)
	return s.hits / (ratioPrior + s.all)
}

// fade brings the sums to the given time.
func (s *DecayingRatio) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(ratioTimeConstant))
	s.hits *= factor
	s.all *= factor
	s.updatedAt = now
}
