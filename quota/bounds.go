// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

const (
	// Lease is how long a right that is not deposited anew stays at a home.
	LeaseDuration = 500 * time.Millisecond
	// Renew is the time after which a right is deposited anew.
	RenewInterval = 200 * time.Millisecond
	// Life is how long a token may be used after the node has asked for it.
	TokenLifetime = 250 * time.Millisecond
	// drift is how much of a lease two clocks may differ by over its length.
	maxClockDrift = LeaseDuration / 50
)

// Limit is the rate limit of an organisation: Rate requests a second, and Burst more after
// a pause.
type Limit struct {
	Rate, Burst float64
}

// Bounds says how far rate limits may be exceeded: in any Window run no more requests than
//
//	(Rate*Window + Burst) * (1 + Overage) + Slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// Most returns the number of requests that may run in any Window.
func (b Bounds) MaxRequests(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// pace returns the part of a rate at which buckets are filled. A token may be used for Life
// after it has left its bucket: a Window sees the tokens of Life more. Half of the overage
// pays for that, and what it does not cover is taken off the rate. The other half is for
// rights of nodes that the others have not counted yet.
func (b Bounds) fillFactor() float64 {
	return min(1, b.Window.Seconds()*(1+b.Overage/2)/(b.Window+TokenLifetime).Seconds())
}

// depth returns the depth of the bucket of a home that holds all rights. Half of the slack
// is part of it, so that a home which holds some of the rights can still grant whole tokens
// of a small limit.
func (b Bounds) depth(l Limit) float64 { return max(1, l.Burst+b.Slack/2) }
