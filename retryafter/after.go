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
	soon = 100 * time.Millisecond
	// fullPart is the mean wait of a caller where upstreams are full, as a part of its
	// objective. Two such waits leave the time of a run that takes most of the objective.
	fullPart = 0.15
	// shedPart is the same where an upstream refused that had room. A longer wait gains
	// nothing there.
	shedPart = 0.05
	// width is how far a wait is drawn below and above its mean, as a part of it, so that
	// those who are refused together don't come back together.
	width = 0.25
)

// Full returns when a caller comes back that all upstreams were too full for, given its
// objective, or 0 for none, and the least wait that one of them expects, or 0.
func WhenFull(objective, expected time.Duration) time.Duration {
	mean := soon
	if objective > 0 {
		mean = time.Duration(fullPart * float64(objective))
	}
	return max(expected, spread(mean))
}

// Shed returns when a caller comes back that an upstream refused though it had room, given
// its objective, or 0 for none, and the wait that the upstream asks for, or 0.
func WhenShed(objective, asked time.Duration) time.Duration {
	mean := soon
	if objective > 0 {
		mean = time.Duration(shedPart * float64(objective))
	}
	return max(asked, spread(mean))
}

// spread draws a wait with the given mean.
func spread(mean time.Duration) time.Duration {
	return time.Duration((1 - width + 2*width*rand.Float64()) * float64(mean))
}
