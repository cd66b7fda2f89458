// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import "math/rand/v2"

// Fastest draws some candidates at random and takes the one where the request is expected
// to end first. It suits upstreams whose speed changes from one moment to the next and that
// report it. The cost of a candidate is
//
//	slowdown * (1 + loadPenalty(u)) * serviceTime + 6 * failureRatio * serviceTime + zoneCrossingCost * meanServiceTime + distance + transferTime + limitWait
//
// where u is the larger of (load + 1) / slots and the used fraction of the rate limit, and
//
//	loadPenalty(u) = u/4                       for u <= 0.7
//	loadPenalty(u) = 0.175 + 4 (u - 0.7)       otherwise.
//
// Below the knee, the load of an upstream hardly affects a request, so the penalty only
// spreads the requests. Above it, requests slow each other down or have to wait.
type Fastest struct {
	// Choices is the number of candidates drawn. Zero means 16.
	Choices int
}

const (
	defaultChoices = 16
	// kneeLoad is the load from which requests slow each other down. Upstreams that
	// have such a knee have it at 70 to 90 percent of their slots.
	kneeLoad = 0.7
	// baseSlope and overloadSlope are the slopes of the load penalty below and above
	// kneeLoad.
	baseSlope     = 0.25
	overloadSlope = 4.0
	// failureCost is the cost of a failed request, in service times. Upstreams that
	// fail half of their requests then cost as much as those that are slowed down
	// fourfold, which makes requests miss their latency objective.
	failureCost = 6.0
)

// Choose implements Policy.
func (p Fastest) Choose(v View, random *rand.Rand) int {
	choices := p.Choices
	if choices == 0 {
		choices = defaultChoices
	}
	n := v.Len()
	if n <= choices {
		return argmin(v, random, expectedCost)
	}
	best := random.IntN(n)
	least := expectedCost(v.At(best))
	for range choices - 1 {
		i := random.IntN(n)
		if x := expectedCost(v.At(i)); x < least {
			best, least = i, x
		}
	}
	return best
}

// acceptableCost is the highest cost, in mean service times, at which a candidate is good
// enough. An upstream at its usual speed where the request takes the last slot is good enough;
// one where it would have to wait, or that is slowed down threefold, is not. If all upstreams
// of a node's subset are full or slow and others are not, requests are sent to the others.
const acceptableCost = 2.4

// Acceptable implements ThresholdPolicy. It ignores the transfer time of the body, which
// other upstreams have as well.
func (Fastest) Acceptable(c Candidate) bool {
	return expectedCost(c)-c.TransferTime.Seconds() <= acceptableCost*c.MeanServiceTime.Seconds()
}

// expectedCost returns the expected time until a request sent to c ends, in seconds.
func expectedCost(c Candidate) float64 {
	u := c.utilisation()
	factor := c.Slowdown*(1+loadPenalty(u)) + failureCost*c.FailureRatio
	return factor*c.ServiceTime.Seconds() + c.ZoneCrossingCost*c.MeanServiceTime.Seconds() + (c.Distance + c.TransferTime + c.LimitWait).Seconds()
}

// loadPenalty returns the relative increase in service time at the load u.
func loadPenalty(u float64) float64 {
	if u <= kneeLoad {
		return baseSlope * u
	}
	return baseSlope*kneeLoad + overloadSlope*(u-kneeLoad)
}
