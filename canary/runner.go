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
	// stepEvery is the time between two steps while an order is carried out.
	stepInterval = 250 * time.Millisecond
	// reportsPerStep is the number of nodes of one version that report to a judge in one
	// step. Where there are more, each reports less often.
	reportsPerStep = 100
	// leaseParts is how many reports fit into a lease, so that one that is lost costs
	// nothing.
	reportsPerLease = 3
)

// Peer is another node.
type Peer struct {
	ID, Addr string
}

// Upstream is the upstream beside the node.
type Upstream struct {
	// Service and Version are what it says of itself; both are empty where there is none.
	Service, Version string
	// Start tells one start from another.
	StartID string
	// Running is the number of requests there.
	Running int
}

// Runner is one node's part in roll-outs. The exported fields are set before Run.
type Runner struct {
	// Hello introduces this node, Limits bounds its connections to judges, and Counters, if
	// not nil, counts their traffic.
	Hello    peer.Hello
	Limits   peer.Limits
	Counters *peer.Counters
	// API is the platform, Kind the kind of the orders, Decode reads one, and Status returns
	// what is written to one whose version is in a phase.
	API    objectapi.Polled
	Kind   string
	Decode func(o *objectapi.Object) (rollout.StoredOrder, error)
	Status func(version string, p rollout.Phase) any
	// Lease is how long an upstream on trial runs requests after a judge has answered.
	Lease time.Duration
	// Known returns the roll-outs that the node knows of, by service.
	Rollouts func() map[string]rollout.LocalState
	// Judges returns the nodes that may be judge for a service, in order.
	Judges func(service string) []Peer
	// Sizes returns how many upstreams a service has, by version.
	Capacities func(service string) map[string]rollout.VersionCapacity
	// Upstream returns the upstream beside the node.
	Upstream func() Upstream
	// Withhold takes in whether that one may not run requests.
	SetWithheld func(withheld bool)
	// Decide takes in a decision of this node.
	Decided func(s rollout.State)
	// Log takes the events.
	Log zerolog.Logger

	initOnce sync.Once
	wake     chan struct{}
	clients  *peer.Clients // of judges

	mu                 sync.Mutex
	countedStart       string                   // of the upstream that is counted
	reportStartID      uint64                   // tells its counts from those before
	classes            map[string]rollout.Tally // of the upstream
	judges             map[string]*judgement    // by service
	reportAcceptedAt   time.Time                // when a judge took the last report
	reportSentAt       time.Time                // when it was sent
	reporting          bool                     // whether a report is under way
	declinesUntil      time.Time                // until when this node is no judge
	candidateCache     map[string][]Peer        // judges, by service
	candidatesCachedAt time.Time                // when these were chosen
}

// init makes what the first call needs.
func (r *Runner) init() {
	r.initOnce.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.classes = make(map[string]rollout.Tally)
		r.judges = make(map[string]*judgement)
		limits := r.Limits
		limits.Idle = clientIdleTimeout
		r.clients = &peer.Clients{
			Hello:    r.Hello,
			Limits:   limits,
			Counters: r.Counters,
		}
	})
}

// Wake has the runner look at the roll-outs again.
func (r *Runner) Wake() {
	r.init()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Ran counts a request that the upstream has run.
func (r *Runner) RecordRequest(class string, failed bool, took time.Duration) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[class] = r.classes[class].WithRequest(failed, took)
}

// Run carries out the node's part until ctx ends. Where no order is being carried out, it
// waits for one.
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

// step does what is due, and returns whether an order is being carried out.
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

// withheld returns whether the upstream may not run requests. While an order is carried out, so
// may one whose version is not known yet.
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
	case rollout.OnTrial:
		r.mu.Lock()
		defer r.mu.Unlock()
		return now.Sub(r.reportAcceptedAt) > r.Lease
	}
	return false
}

// count begins the counts anew where the upstream is another than before.
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
