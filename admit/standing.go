// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

const (
	// standingTime is the time constant of the fraction of time during which requests wait.
	standingTime = 200 * time.Millisecond
	// standingFraction is the fraction above which a queue counts as standing.
	standingFraction = 0.7
	// standingWait is the longest expected wait with which a request may enter a standing
	// queue.
	standingWait = 5 * time.Millisecond
)

// standing distinguishes a queue that absorbs a burst from a standing queue, which never
// empties. Requests that wait in the first are served. In the second a long wait serves no more
// requests than a short one, so only a short wait is allowed and the other requests are refused
// at once. See K. Nichols and V. Jacobson, Controlling queue delay, 2012.
// doi:10.1145/2208917.2209336.
//
// The fraction p of time during which requests wait is an exponential moving average: after a
// time d in which the queue was empty (x = 0) or not (x = 1),
//
//	p += (1 - exp(-d/200 ms)) (x - p)
type standing struct {
	fraction  float64
	updatedAt time.Time
}

// observe records whether requests have been waiting since the last call.
func (s *standing) observe(waiting bool, now time.Time) {
	if s.updatedAt.IsZero() {
		s.updatedAt = now
		return
	}
	var x float64
	if waiting {
		x = 1
	}
	s.fraction += (1 - math.Exp(-float64(now.Sub(s.updatedAt))/float64(standingTime))) * (x - s.fraction)
	s.updatedAt = now
}

// maxWait returns the longest expected wait with which a request may enter the queue, given the
// configured maximum.
func (s *standing) maxWait(configured time.Duration) time.Duration {
	if s.fraction < standingFraction {
		return configured
	}
	return min(configured, standingWait)
}
