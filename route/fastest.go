// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import "math/rand/v2"

// Fastest draws some candidates at random and takes the one where the request is
// likely to end first. It suits upstreams whose speed changes from one moment to
// the next and that tell it, by the cost
//
//	slowdown * (1 + crowding(u)) * service + 6 failing * service + crossing * usual + distance + transfer + wait
//
// for the share of failures there and the load u = (load + 1)/allowed, or the used part of the
// limit that the upstream names if that is more, with
//
//	crowding(u) = u/4                       for u <= 0.7
//	crowding(u) = 0.175 + 4 (u - 0.7)       beyond.
//
// Below the knee an upstream's load hardly matters for the request, so the term
// only spreads the requests; beyond it, they slow each other down or wait.
type Fastest struct {
	// Choices is the number of candidates drawn. Zero means 16.
	Choices int
}

const (
	defaultChoices = 16
	// kneeLoad is the load from which requests slow each other down. Upstreams
	// that show one have it at seven to nine tenths of their slots.
	kneeLoad = 0.7
	// spreadSlope and crowdSlope are the slopes of the cost below and beyond it.
	baseSlope     = 0.25
	overloadSlope = 4.0
	// failureCost is what a failed request costs, in service times. Upstreams that
	// fail half of their requests are then as bad as those that are slowed down
	// fourfold, which make a request miss its objective.
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

// enough is the expected time, in usual service times, up to which a choice is good
// enough: an upstream at its usual speed where the request takes the last slot is, and
// one where it would wait, or that is slowed down threefold, is not. Where the upstreams
// of a node's subset are all full or slow and others are not, requests then go to the
// others.
const acceptableCost = 2.4

// Enough implements Demanding. It judges the upstream, and not the body's way there, which
// other upstreams have as well.
func (Fastest) Acceptable(c Candidate) bool {
	return expectedCost(c)-c.TransferTime.Seconds() <= acceptableCost*c.MeanServiceTime.Seconds()
}

// fastestCost is the expected time until a request sent to c ends, in seconds.
func expectedCost(c Candidate) float64 {
	u := c.utilisation()
	factor := c.Slowdown*(1+loadPenalty(u)) + failureCost*c.FailureRatio
	return factor*c.ServiceTime.Seconds() + c.ZoneCrossingCost*c.MeanServiceTime.Seconds() + (c.Distance + c.TransferTime + c.LimitWait).Seconds()
}

// crowding is the part by which the load u prolongs a request.
func loadPenalty(u float64) float64 {
	if u <= kneeLoad {
		return baseSlope * u
	}
	return baseSlope*kneeLoad + overloadSlope*(u-kneeLoad)
}
