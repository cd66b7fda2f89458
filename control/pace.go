// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import "time"

const (
	// publishShare is the part of the time that new snapshots may take, after changes of
	// members. Each costs the size of the services that have changed, and while many nodes
	// start some have changed at any moment.
	maxPublishShare = 0.05
	// longestPace bounds the wait for the next one. Gates refuse what comes to an upstream
	// that drains, so that a snapshot that is late costs an exchange and no request.
	maxPublishWait = time.Second
)

// publishPace bounds the time spent on new snapshots. The zero value allows one at once.
type publishLimiter struct {
	next time.Time
}

// due returns whether there may be another snapshot now.
func (p *publishLimiter) allow(now time.Time) bool { return !now.Before(p.next) }

// took takes in when the making of one began and ended.
func (p *publishLimiter) record(began, ended time.Time) {
	wait := time.Duration(float64(ended.Sub(began)) / maxPublishShare)
	p.next = began.Add(min(wait, maxPublishWait))
}
