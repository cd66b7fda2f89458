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

// state is the state of a Ticket.
type state uint8

const (
	waiting state = iota
	running
	refused
	released
	pendingBody // waits for its body, and not for a slot yet
)

// Ticket is the place of one request at a Gate.
type Ticket struct {
	gate         *Gate
	queue        *classQueue
	organisation string
	flow         *fair.Flow // of the organisation, once the request waits or runs
	startTag     float64    // in start-time fair queueing
	ready        chan struct{}
	enteredAt    time.Time // into the queue
	// deadline is the time after which a response is of no use, or zero.
	deadline time.Time

	// The gate's mutex guards the following fields.
	state     state
	startedAt time.Time
	// withinShare is whether its organisation was within its fair share when it arrived.
	withinShare bool
	// expectedRun is its expected run time at the usual speed, when it arrived.
	expectedRun time.Duration
	// slowdown is the upstream's slowdown when the request started.
	slowdown float64
	// releaseRate is the inverse of its expected run time, in 1/s.
	releaseRate float64
	failure     *verdict.Error
}

// Ready returns a channel that is closed when the request no longer waits: it then either runs,
// or Err returns why it was refused.
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

// Revoke takes the request back if it still waits. If it returns true, the request was waiting
// and will never run. Otherwise the ticket is unchanged.
func (t *Ticket) Revoke() bool {
	return t.gate.revoke(t, verdict.New(verdict.Revoked, nil))
}

// Release gives the slot back. It must be called exactly once for a request that ran; it panics
// if the request is not running. Healthy is whether the service time is a valid sample, which it
// is not if the request was cancelled.
func (t *Ticket) Release(healthy bool) {
	t.gate.release(t, healthy)
}

// BodyArrived makes a request whose body was pending wait for a slot from now on. It does nothing
// if the request has been refused or revoked meanwhile.
func (t *Ticket) BodyArrived() {
	t.gate.bodyArrived(t)
}

// Wait blocks until the request runs or has been refused. The request is revoked when ctx ends,
// and refused when it has waited for the longest time that the gate allows. If the result is nil,
// the request runs and the caller must call Release or Abandon.
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
