// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import "time"

// Outcome is how a request ended, as far as that says something about the upstream.
type Outcome uint8

const (
	// Unknown says nothing about the upstream, as for a request that its caller cancelled.
	Unknown Outcome = iota
	// Succeeded means that the upstream responded.
	Succeeded
	// Refused means that the node beside the upstream refused the request.
	Refused
	// Failed means that the upstream or its node failed the request.
	Failed
	// Unreachable means that the upstream or its node can't be reached at all.
	Unreachable
)

// Assignment is one request that was assigned to an upstream of a Pool.
type Assignment[K comparable] struct {
	pool      *Pool[K]
	entry     *entry[K]
	startedAt time.Time
	done      bool

	candidate Candidate
	reportAge time.Duration
}

// Candidate returns the upstream as the policy saw it when it chose it, and the age of
// the load report that this is based on. The age is negative if there was none.
func (a *Assignment[K]) Candidate() (Candidate, time.Duration) { return a.candidate, a.reportAge }

// Key returns the key of the upstream.
func (a *Assignment[K]) Key() K { return a.entry.key }

// Done records that the request has ended. Calls after the first do nothing.
func (a *Assignment[K]) Done(o Outcome) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	a.entry.inFlight--
	a.entry.endedSince++
	a.entry.startSum -= a.startedAt.Sub(timeOrigin)
	a.entry.health.end(o, time.Now())
}
