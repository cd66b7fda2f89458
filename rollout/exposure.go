// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "math"

const (
	// trialShareRatio and widenedShareRatio are the share of the requests in a phase, relative to the largest
	// share of all requests that a faulty version may get until its deadline. Over the durations
	// set by trialFraction and widenedFraction they use up three tenths of that; the rest is reserved for
	// the time to detect a fault that only shows after all requests have moved.
	trialShareRatio   = 0.3
	widenedShareRatio = 1.75
	// movedShare leaves the other requests to the former version: without them a fault of a service
	// that both versions call would look like one of the new version. A higher share would give a
	// version with a fault that begins in this phase too many requests in the second or two until
	// it is found.
	movedShare = 0.5
	// minUpstreams is the least number of canary upstreams: with fewer, a fault of a single instance
	// looks like one of the version.
	minUpstreams = 3
)

// Exposure is the largest share of all requests that a faulty version may get.
type Exposure float64

// Share returns the share of the requests, from 0 to 1, that a version gets in a phase. Each entry
// applies it independently, so that it holds for all entries together, whenever each of them learns
// of the phase.
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

// UpstreamCount returns the number of upstreams of the version, out of n, that get requests in a
// phase. It is chosen so that each of them carries the load of an upstream of the former version:
// otherwise a fault that depends on the load would be found too late.
func (e Exposure) UpstreamCount(p Phase, n int) int {
	share := e.Share(p)
	if share == 0 {
		return 0
	}
	return min(n, max(minUpstreams, int(math.Ceil(share*float64(n)))))
}
