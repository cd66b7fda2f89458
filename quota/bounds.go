// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

const (
	// LeaseDuration is how long a coordinator holds a share that is not delegated again.
	LeaseDuration = 500 * time.Millisecond
	// RenewInterval is the time after which a share is delegated again.
	RenewInterval = 200 * time.Millisecond
	// TokenLifetime is how long a token may be used after the node has requested it.
	TokenLifetime = 250 * time.Millisecond
	// maxClockDrift is how far two clocks may drift apart during a lease.
	maxClockDrift = LeaseDuration / 50
)

// Limit is the rate limit of an organisation: Rate requests a second, and Burst more after
// a pause.
type Limit struct {
	Rate, Burst float64
}

// Bounds defines how far rate limits may be exceeded. In any Window, the number of requests
// that run is at most
//
//	(Rate*Window + Burst) * (1 + Overage) + Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// MaxRequests returns the largest number of requests that may run in any Window.
func (b Bounds) MaxRequests(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// fillFactor returns the fraction of a rate at which buckets are filled. A token may be used
// for TokenLifetime after it has left its bucket, so a Window may see the tokens of another
// TokenLifetime. Half of the overage allows for that, and the rate is reduced by what it does
// not cover. The other half is for shares of nodes that the others have not counted yet.
func (b Bounds) fillFactor() float64 {
	return min(1, b.Window.Seconds()*(1+b.Overage/2)/(b.Window+TokenLifetime).Seconds())
}

// depth returns the depth of the bucket of a coordinator that holds all shares. It includes
// half of the slack, so that a coordinator that holds only some of the shares can still grant
// whole tokens of a small limit.
func (b Bounds) depth(l Limit) float64 { return max(1, l.Burst+b.Slack/2) }
