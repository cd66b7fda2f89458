// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package canary

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/rollout"
)

const (
	// stepInterval is the time between two steps while an order is carried out.
	stepInterval = 250 * time.Millisecond
	// reportsPerStep is the number of nodes of one version that report to a judge in one step. If
	// there are more, each reports less often.
	reportsPerStep = 100
	// reportsPerLease is the number of reports per lease, so that a lost report does not end the lease.
	reportsPerLease = 3
)

// Peer is another node.
type Peer struct {
	ID, Addr string
}

// Upstream describes the upstream beside the node.
type Upstream struct {
	// Service and Version are those of its announcement; both are empty if there is none.
	Service, Version string
	// StartID identifies one start of the upstream process.
	StartID string
	// Running is the number of requests in flight there.
	Running int
}

// Runner executes one node's part in roll-outs. The exported fields are set before Run.
type Runner struct {
	// Hello identifies this node to judges, Limits bounds its connections to them, and Counters, if
	// not nil, counts their traffic.
	Hello    peer.Hello
	Limits   peer.Limits
	Counters *peer.Counters
	// API is the platform, Kind the kind of the objects with orders, Decode decodes the order of
	// an object, and Status returns the status to write for a version in a phase.
	API    objectapi.PollingAPI
	Kind   string
	Decode func(o *objectapi.Object) (rollout.StoredOrder, error)
	Status func(version string, p rollout.Phase) any
	// Lease is how long a canary upstream runs requests after a judge has accepted a report.
	Lease time.Duration
	// Rollouts returns the roll-outs that are known to the node, by service.
	Rollouts func() map[string]rollout.LocalState
	// Judges returns the candidates for the judge of a service, in order of preference.
	Judges func(service string) []Peer
	// Capacities returns the capacity of a service's upstreams, by version.
	Capacities func(service string) map[string]rollout.VersionCapacity
	// Upstream returns the upstream beside the node.
	Upstream func() Upstream
	// SetWithheld is called with whether that upstream must not run requests.
	SetWithheld func(withheld bool)
	// Decided is called with each decision of this node.
	Decided func(s rollout.State)
	// Log receives the events.
	Log zerolog.Logger

	initOnce sync.Once
	wake     chan struct{}
	clients  *peer.ClientPool // connections to judges

	mu                 sync.Mutex
	countedStart       string                   // start and version of the upstream that is counted
	reportStartID      uint64                   // StartID of the reports
	classes            map[string]rollout.Tally // of the upstream
	judges             map[string]*judgement    // by service
	reportAcceptedAt   time.Time                // when the last accepted report was sent
	reportSentAt       time.Time                // when the last report was sent
	reporting          bool                     // whether a report is being sent
	declinesUntil      time.Time                // until when this node refuses reports
	candidateCache     map[string][]Peer        // cached candidates, by service
	candidatesCachedAt time.Time                // when the cache was created
}

// init initialises the unexported fields on the first call.
func (r *Runner) init() {
	r.initOnce.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.classes = make(map[string]rollout.Tally)
		r.judges = make(map[string]*judgement)
		limits := r.Limits
		limits.IdleTimeout = clientIdleTimeout
		r.clients = &peer.ClientPool{
			Hello:    r.Hello,
			Limits:   limits,
			Counters: r.Counters,
		}
	})
}

// Wake makes the runner check the roll-outs again.
func (r *Runner) Wake() {
	r.init()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// RecordRequest counts a request that the upstream has run.
func (r *Runner) RecordRequest(class string, failed bool, took time.Duration) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[class] = r.classes[class].WithRequest(failed, took)
}

// Run executes the node's part until ctx ends. While no order is being carried out, it waits for a call
// of Wake.
func (r *Runner) Run(ctx context.Context) {
	r.init()
	defer r.clients.Close()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-t.C:
		}
		if r.step(ctx, time.Now()) {
			t.Reset(stepInterval)
		}
	}
}

// step performs one step of all roll-outs, and returns whether an order is being carried out.
func (r *Runner) step(ctx context.Context, now time.Time) (active bool) {
	known := r.Rollouts()
	u := r.Upstream()
	r.resetCounts(u)
	for service, k := range known {
		if k.Phase.Settled() {
			r.forget(service)
			continue
		}
		active = true
		r.judge(ctx, service, k, now)
	}
	if k, ok := known[u.Service]; ok && !k.Phase.Settled() {
		r.report(ctx, u, k, now)
	}
	r.SetWithheld(r.withheld(u, known, now))
	return active
}

// withheld returns whether the upstream must not run requests. That includes an upstream of unknown
// version while an order is being carried out.
func (r *Runner) withheld(u Upstream, known map[string]rollout.LocalState, now time.Time) bool {
	k, ok := known[u.Service]
	if !ok || u.Service == "" {
		return false
	}
	if u.Version == "" {
		return !k.Phase.Settled()
	}
	switch k.Eligibility(u.Version) {
	case rollout.Withheld:
		return true
	case rollout.Canary:
		r.mu.Lock()
		defer r.mu.Unlock()
		return now.Sub(r.reportAcceptedAt) > r.Lease
	}
	return false
}

// resetCounts resets the counts if the upstream or its version has changed.
func (r *Runner) resetCounts(u Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := u.StartID + "\x00" + u.Version
	if start == r.countedStart {
		return
	}
	r.countedStart = start
	r.reportStartID = uint64(time.Now().UnixNano())
	r.classes = make(map[string]rollout.Tally)
}
