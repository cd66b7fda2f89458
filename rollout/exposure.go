// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "math"

const (
	// trialPart and widenedPart are the share of the requests in a phase, as a ratio of the
	// largest share that a faulty version may have of all requests up to its deadline. With
	// trialUntil and widenedFor of the duration they make up three tenths of that; the rest
	// is left to the time in which a fault is found that shows only once all has moved.
	trialShareRatio   = 0.3
	widenedShareRatio = 1.75
	// movedShare leaves the other requests to the former version: without them a fault of a
	// service that both call would look like one of the new version. More than half would be
	// more than a version may get in the second or two in which a fault is found that begins
	// only then.
	movedShare = 0.5
	// leastInUse is the least number of upstreams that are tried: of fewer, the fault of a
	// single instance looks like the version's.
	minUpstreams = 3
)

// Exposure bounds what a version gets that may be faulty.
type Exposure float64

// Share returns the share of the requests, within 0 and 1, that a version gets in a phase.
// Each entry keeps to it by itself, so that all together do, whoever hears of what when.
func (e Exposure) Share(p Phase) float64 {
	switch p {
	case Trial:
		return min(movedShare, trialShareRatio*float64(e))
	case Widened:
		return min(movedShare, widenedShareRatio*float64(e))
	case Moved:
		return movedShare
	case Emptied, Completed:
		return 1
	}
	return 0
}

// InUse returns how many of n upstreams of the version get requests in a phase: as many as
// make each of them carry what one of the former version does. A fault that shows under load
// only then shows in time.
func (e Exposure) UpstreamCount(p Phase, n int) int {
	share := e.Share(p)
	if share == 0 {
		return 0
	}
	return min(n, max(minUpstreams, int(math.Ceil(share*float64(n)))))
}
