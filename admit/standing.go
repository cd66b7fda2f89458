// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

const (
	// standingTime is the time constant of the share of time in which requests
	// wait.
	standingTime = 200 * time.Millisecond
	// standingShare is the share from which the queue counts as standing.
	standingShare = 0.7
	// standingWait is the longest expected wait with which a request enters a
	// standing queue.
	standingWait = 5 * time.Millisecond
)

// standing tells a queue that takes up a burst from one that never empties. The
// first serves who waits in it. In the second a long wait serves no more requests
// than a short one, so only a short one is allowed and the rest is refused at
// once. See K. Nichols and V. Jacobson, Controlling queue delay, 2012.
// doi:10.1145/2208917.2209336.
//
// The share p of time in which requests wait is averaged exponentially: after a
// time d in which the queue was empty (x = 0) or not (x = 1),
//
//	p += (1 - exp(-d/200 ms)) (x - p)
type standing struct {
	share     float64
	updatedAt time.Time
}

// observe takes in that the queue was empty or not since the last call.
func (s *standing) observe(waiting bool, now time.Time) {
	if s.updatedAt.IsZero() {
		s.updatedAt = now
		return
	}
	var x float64
	if waiting {
		x = 1
	}
	s.share += (1 - math.Exp(-float64(now.Sub(s.updatedAt))/float64(standingTime))) * (x - s.share)
	s.updatedAt = now
}

// bound returns the longest expected wait with which a request may enter the
// queue, given the longest that is configured.
func (s *standing) maxWait(configured time.Duration) time.Duration {
	if s.share < standingShare {
		return configured
	}
	return min(configured, standingWait)
}
