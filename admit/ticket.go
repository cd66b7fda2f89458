// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"context"
	"time"

	"sassafrasfront.example/fair"
	"sassafrasfront.example/verdict"
)

// state is where a Ticket stands.
type state uint8

const (
	waiting state = iota
	running
	refused
	released
	pendingBody // waits for its body, and for no slot yet
)

// Ticket is one request's place at a Gate.
type Ticket struct {
	gate         *Gate
	queue        *classQueue
	organisation string
	flow         *fair.Flow // the organisation's, once the request waits or runs
	startTag     float64    // start tag
	ready        chan struct{}
	enteredAt    time.Time // into the queue
	// deadline is when an answer is of no use any more, or zero.
	deadline time.Time

	// The gate's mutex guards what follows.
	state     state
	startedAt time.Time
	// within is whether its organisation kept to its part when it came.
	withinShare bool
	// runTime is for how long it was expected to run, at the usual speed.
	expectedRun time.Duration
	// slowdown is that of the upstream when the request began.
	slowdown float64
	// rate is the inverse of the time that it was expected to run, in 1/s.
	releaseRate float64
	failure     *verdict.Error
}

// Ready returns a channel that is closed when the request no longer waits:
// it then either runs, or Err says why not.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Err returns why the request was refused, or nil if it waits or runs.
func (t *Ticket) Err() *verdict.Error {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.failure
}

// Waited returns how long the request waited before it started, or has waited
// so far.
func (t *Ticket) Waited() time.Duration {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	switch t.state {
	case pendingBody:
		return 0
	case waiting:
		return time.Since(t.enteredAt)
	}
	return t.startedAt.Sub(t.enteredAt)
}

// Revoke takes the request back if it still waits. It returns true if the
// request was waiting: it is then certain that it never runs. Otherwise the
// ticket is unchanged and Revoke returns false.
func (t *Ticket) Revoke() bool {
	return t.gate.revoke(t, verdict.New(verdict.Revoked, nil))
}

// Release gives the slot back. It must be called exactly once for a request
// that ran; it panics if the request is not running. Healthy says whether the
// service time is a fair sample: it is not if the request was cancelled.
func (t *Ticket) Release(healthy bool) {
	t.gate.release(t, healthy)
}

// Arrive has a request that was expected wait for a slot from now on. It does nothing if
// the request has been refused meanwhile.
func (t *Ticket) BodyArrived() {
	t.gate.bodyArrived(t)
}

// Wait blocks until the request runs or has been refused. The request is
// revoked when ctx ends, and refused when it has waited for as long as the
// gate allows. A nil result means that the request runs and the caller owes a
// Release.
func (t *Ticket) Wait(ctx context.Context) *verdict.Error {
	select {
	case <-t.ready:
		return t.Err()
	default:
	}
	timer := time.NewTimer(t.gate.waitLimit(t))
	defer timer.Stop()
	select {
	case <-t.ready:
	case <-ctx.Done():
		t.Revoke()
	case <-timer.C:
		t.gate.expire(t)
	}
	return t.Err()
}
