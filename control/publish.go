// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import "time"

const (
	// maxPublishFraction is the fraction of the time that may be spent on building snapshots. The
	// cost of each grows with the size of the services that have changed, and while many nodes
	// start there are changes at any moment.
	maxPublishFraction = 0.05
	// maxPublishWait bounds the wait for the next snapshot. Gates refuse requests to an
	// upstream that drains, so a late snapshot costs a round trip and no request.
	maxPublishWait = time.Second
)

// publishLimiter bounds the time spent on building snapshots. The zero value allows one at once.
type publishLimiter struct {
	next time.Time
}

// allow returns whether a snapshot may be built now.
func (p *publishLimiter) allow(now time.Time) bool { return !now.Before(p.next) }

// record records when the building of a snapshot began and ended.
func (p *publishLimiter) record(began, ended time.Time) {
	wait := time.Duration(float64(ended.Sub(began)) / maxPublishFraction)
	p.next = began.Add(min(wait, maxPublishWait))
}
