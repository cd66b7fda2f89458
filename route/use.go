// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import "time"

// Outcome is how a request ended, as far as it says something of the upstream.
type Outcome uint8

const (
	// Unknown says nothing, such as a request that its caller cancelled.
	Unknown Outcome = iota
	// Succeeded means that the upstream answered.
	Succeeded
	// Refused means that the node beside the upstream refused the request.
	Refused
	// Failed means that the upstream or its node failed the request.
	Failed
	// Down means that the upstream or its node can't be reached at all.
	Unreachable
)

// Use is one request at an upstream of a Pool.
type Assignment[K comparable] struct {
	pool      *Pool[K]
	entry     *entry[K]
	startedAt time.Time
	done      bool

	candidate Candidate
	reportAge time.Duration
}

// Candidate returns what the choice was made by: the upstream as the pool saw it,
// and the age of the report that this rests on. The age is negative if there was
// none.
func (u *Assignment[K]) Candidate() (Candidate, time.Duration) { return u.candidate, u.reportAge }

// Key returns the key of the upstream.
func (u *Assignment[K]) Key() K { return u.entry.key }

// Done records that the request has ended. Calls after the first do nothing.
func (u *Assignment[K]) Done(o Outcome) {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.done {
		return
	}
	u.done = true
	u.entry.inFlight--
	u.entry.endedSince++
	u.entry.startSum -= u.startedAt.Sub(timeOrigin)
	u.entry.health.end(o, time.Now())
}
