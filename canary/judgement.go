// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package canary

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/rollout"
)

const (
	// judgeTimeout is how long a node acts as judge after the last report that it received.
	judgeTimeout = 2 * time.Second
	// recordTimeout bounds the recording of an outcome, and recordRetryDelay is the delay before a retry.
	// A judge that could not record an outcome refuses reports for declineFor, so that another node
	// takes over: the platform may respond to that one.
	recordTimeout    = 2 * time.Second
	recordRetryDelay = 500 * time.Millisecond
	declineFor       = 3 * time.Second
	// minCapacityRatio is the fraction of the former version's slots that the new version must have before
	// all requests move to it.
	minCapacityRatio = 0.75
)

// judgement is the state of this node as the judge of one order.
type judgement struct {
	judge     rollout.Judge
	received  time.Time // when the last report arrived
	recorded  bool      // whether the platform has recorded that the order is being carried out
	recording bool
	retryAt   time.Time // when recording may be retried
}

// judgementOf returns the judgement of an order, and creates it if necessary. The lock is held.
func (r *Runner) judgementOf(k rollout.LocalState) *judgement {
	j := r.judges[k.Order.Service]
	if j == nil || j.judge.Order.ResourceVersion != k.Order.ResourceVersion {
		j = &judgement{judge: rollout.Judge{
			Order:     k.Order,
			StartedAt: k.Received,
		}}
		r.judges[k.Order.Service] = j
	}
	return j
}

// forget deletes the judgement of a service's order.
func (r *Runner) forget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.judges, service)
}

// judge performs one step of judging an order, if this node is its judge.
func (r *Runner) judge(ctx context.Context, service string, k rollout.LocalState, now time.Time) {
	if !r.isJudge(ctx, service, k, now) {
		return
	}
	hasCapacity := r.hasCapacity(k.Order)
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.judgementOf(k)
	next, reason := j.judge.Step(k.State, hasCapacity, now)
	decided := k.WithPhase(next, reason, r.Hello.Node, now)
	switch {
	case next == rollout.Stopped && k.Phase == rollout.Stopped:
		r.record(ctx, j, k.WithPhase(rollout.RolledBack, k.Reason, r.Hello.Node, now), now)
	case next == rollout.Completed:
		r.record(ctx, j, decided, now)
	case next != k.Phase:
		go r.Decided(decided)
	}
}

// isJudge returns whether this node judges an order: it has recent reports, or it is the first candidate
// and the order's duration is over. The first candidate also records on the platform that the order is
// being carried out.
func (r *Runner) isJudge(ctx context.Context, service string, k rollout.LocalState, now time.Time) bool {
	first := r.isFirst(r.candidates(service, now))
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.declinesUntil) {
		return false
	}
	j := r.judgementOf(k)
	if first && !j.recorded && k.Phase < rollout.Stopped {
		r.record(ctx, j, k.State, now)
	}
	over := now.Sub(k.Received) > k.Order.Duration
	return now.Sub(j.received) <= judgeTimeout || first && over
}

// hasCapacity returns whether the upstreams of an order's version can take all requests.
func (r *Runner) hasCapacity(o rollout.Order) bool {
	var former, next int
	for version, s := range r.Capacities(o.Service) {
		if version == o.Version {
			next = s.Slots
		} else {
			former += s.Slots
		}
	}
	return float64(next) >= minCapacityRatio*float64(former)
}

// record writes the progress of an order to the platform. The lock is held.
func (r *Runner) record(ctx context.Context, j *judgement, s rollout.State, now time.Time) {
	if j.recording || now.Before(j.retryAt) {
		return
	}
	j.recording = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		recorded, err := r.write(ctx, s)
		r.mu.Lock()
		j.recording = false
		j.retryAt = time.Now().Add(recordRetryDelay)
		switch {
		case err == nil:
			j.recorded = true
		case s.Phase.Settled() && !objectapi.IsConflict(err):
			r.declinesUntil = time.Now().Add(declineFor)
		}
		r.mu.Unlock()
		if err != nil {
			r.Log.Warn().Err(err).Str("service", s.Order.Service).Stringer("phase", s.Phase).Msg("roll-out not recorded")
			return
		}
		if recorded.Phase.Settled() {
			r.Decided(recorded)
		}
	}()
}

// write writes a state to the platform unless it has changed since it was read, and returns the state
// that is stored then: an outcome that was written before stays.
func (r *Runner) write(ctx context.Context, s rollout.State) (rollout.State, error) {
	o, err := r.API.Get(ctx, r.Kind, s.Order.Service)
	if err != nil {
		return s, err
	}
	found, err := r.Decode(o)
	if err != nil {
		return s, err
	}
	if !found.Order.Same(s.Order) {
		return s, eris.Errorf("another order has replaced the one for version %s", s.Order.Version)
	}
	if found.Outcome.Settled() {
		return s.WithPhase(found.Outcome, "recorded on the platform", s.Node, s.When).WithRecorded(found.Order.ResourceVersion), nil
	}
	if !s.Phase.Settled() && len(o.Status) > 0 && string(o.Status) != "null" {
		return s, nil // the platform has already recorded that the order is being carried out
	}
	written, err := r.API.UpdateStatus(ctx, o.WithStatus(r.Status(s.Order.Version, s.Phase)))
	if err != nil {
		return s, err
	}
	at, err := objectapi.ParseResourceVersion(written.Metadata.ResourceVersion)
	if err != nil {
		return s, eris.Wrap(err, "response to a status update")
	}
	return s.WithRecorded(at), nil
}
