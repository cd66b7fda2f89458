// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retryafter

import (
	"math/rand/v2"
	"time"
)

const (
	// soon is the mean wait of a caller without an objective where upstreams are full. They
	// slow down for some hundred milliseconds at a time.
	noObjectiveWait = 100 * time.Millisecond
	// fullPart is the mean wait of a caller where upstreams are full, as a part of its
	// objective. Two such waits leave the time of a run that takes most of the objective.
	fullFraction = 0.15
	// shedPart is the same where an upstream refused that had room. A longer wait gains
	// nothing there.
	shedFraction = 0.05
	// width is how far a wait is drawn below and above its mean, as a part of it, so that
	// those who are refused together don't come back together.
	jitter = 0.25
)

// Full returns when a caller comes back that all upstreams were too full for, given its
// objective, or 0 for none, and the least wait that one of them expects, or 0.
func WhenFull(objective, expected time.Duration) time.Duration {
	mean := noObjectiveWait
	if objective > 0 {
		mean = time.Duration(fullFraction * float64(objective))
	}
	return max(expected, withJitter(mean))
}

// Shed returns when a caller comes back that an upstream refused though it had room, given
// its objective, or 0 for none, and the wait that the upstream asks for, or 0.
func WhenShed(objective, asked time.Duration) time.Duration {
	mean := noObjectiveWait
	if objective > 0 {
		mean = time.Duration(shedFraction * float64(objective))
	}
	return max(asked, withJitter(mean))
}

// spread draws a wait with the given mean.
func withJitter(mean time.Duration) time.Duration {
	return time.Duration((1 - jitter + 2*jitter*rand.Float64()) * float64(mean))
}
