// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retryafter

import (
	"math/rand/v2"
	"time"
)

const (
	// noObjectiveWait is the mean wait of callers without an objective. Upstreams that are full
	// slow down for some hundred milliseconds at a time.
	noObjectiveWait = 100 * time.Millisecond
	// fullFraction is the mean wait where upstreams are full, as a fraction of the caller's
	// objective. Two such waits leave time for a run that takes most of the objective.
	fullFraction = 0.15
	// shedFraction is the same where an upstream refused a request though it had room. A longer
	// wait gains nothing there.
	shedFraction = 0.05
	// jitter is how far a wait is drawn below and above its mean, as a fraction of it, so that
	// callers that are refused together do not retry together.
	jitter = 0.25
)

// WhenFull returns how long a caller waits before it retries when all upstreams were full, given
// its objective, or 0 for none, and the shortest wait expected by one of them, or 0.
func WhenFull(objective, expected time.Duration) time.Duration {
	mean := noObjectiveWait
	if objective > 0 {
		mean = time.Duration(fullFraction * float64(objective))
	}
	return max(expected, withJitter(mean))
}

// WhenShed returns how long a caller waits before it retries when an upstream refused its request
// though it had room, given its objective, or 0 for none, and the wait that the upstream requested,
// or 0.
func WhenShed(objective, requested time.Duration) time.Duration {
	mean := noObjectiveWait
	if objective > 0 {
		mean = time.Duration(shedFraction * float64(objective))
	}
	return max(requested, withJitter(mean))
}

// withJitter returns a random wait with the given mean.
func withJitter(mean time.Duration) time.Duration {
	return time.Duration((1 - jitter + 2*jitter*rand.Float64()) * float64(mean))
}
