// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package canary

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/rollout"
)

const (
	// Topic is the topic of the reports to a judge.
	Topic = "rollout"
	// reportTimeout bounds one report. An instance whose share of the processor is dealt out
	// every 100 ms answers within that.
	reportTimeout = 300 * time.Millisecond
	// clientsIdle is how long a connection to a judge is kept that isn't used.
	clientIdleTimeout = 10 * time.Second
	// choiceFor is how long the choice of judges is kept: it takes a look at all nodes.
	candidateCacheTime = time.Second
)

var (
	errDeclining = eris.New("no judge: the platform does not answer this node")
	errNoOrder   = eris.New("no judge: no order is known here")
)

// candidates returns the nodes that may be judge for a service, in order.
func (r *Runner) candidates(service string, now time.Time) []Peer {
	r.mu.Lock()
	if now.Sub(r.candidatesCachedAt) >= candidateCacheTime {
		r.candidateCache = make(map[string][]Peer)
		r.candidatesCachedAt = now
	}
	list, ok := r.candidateCache[service]
	r.mu.Unlock()
	if ok {
		return list
	}
	list = r.Judges(service)
	r.mu.Lock()
	r.candidateCache[service] = list
	r.mu.Unlock()
	return list
}

// report tells a judge of the upstream, if that is due.
func (r *Runner) report(ctx context.Context, u Upstream, k rollout.LocalState, now time.Time) {
	if u.Version == "" {
		return
	}
	interval := r.reportInterval(u, k)
	candidates := r.candidates(u.Service, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reporting || now.Sub(r.reportSentAt) < interval {
		return
	}
	r.reportSentAt = now
	r.reporting = true
	report := rollout.Report{
		Service: u.Service,
		Version: u.Version,
		StartID: r.reportStartID,
		Running: u.Running,
		Classes: make(map[string]rollout.Tally, len(r.classes)),
	}
	for class, t := range r.classes {
		report.Classes[class] = t
	}
	go r.send(ctx, candidates, report, now)
}

// reportEvery returns the time between two reports: as long as keeps the reports to a judge
// within bounds. Upstreams on trial report often enough for their leases.
func (r *Runner) reportInterval(u Upstream, k rollout.LocalState) time.Duration {
	n := r.Capacities(u.Service)[u.Version].Upstreams
	interval := stepInterval * time.Duration(max(1, n/reportsPerStep))
	if k.Eligibility(u.Version) == rollout.OnTrial {
		interval = min(interval, r.Lease/reportsPerLease)
	}
	return interval - stepInterval/2 // steps are never quite on time
}

// send sends a report to the first candidate that takes it.
func (r *Runner) send(ctx context.Context, candidates []Peer, report rollout.Report, sent time.Time) {
	accepted := false
	for _, p := range candidates {
		err := r.sendTo(ctx, p, report)
		if err == nil {
			accepted = true
			break
		}
		r.Log.Debug().Err(err).Str("judge", p.ID).Str("service", report.Service).Msg("report of a roll-out not taken")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reporting = false
	if accepted {
		r.reportAcceptedAt = sent
	}
}

// sendTo sends a report to one candidate, which may be this node.
func (r *Runner) sendTo(ctx context.Context, p Peer, report rollout.Report) error {
	if p.ID == r.Hello.Node {
		return r.observe(p.ID, report)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := peer.Ask[rollout.Report, struct{}](ctx, r.clients.At(p.ID, p.Addr), Topic, report)
	return err
}

// Handle takes in a report of another node.
func (r *Runner) Handle(from peer.Hello, payload []byte) ([]byte, error) {
	r.init()
	report, err := peer.Unpack[rollout.Report](payload)
	if err != nil {
		return nil, err
	}
	if err := r.observe(from.Node, report); err != nil {
		return nil, err
	}
	return msgpack.Marshal(struct{}{})
}

// take takes in a report as the judge.
func (r *Runner) observe(node string, report rollout.Report) error {
	k, ok := r.Rollouts()[report.Service]
	if !ok || k.Phase.Settled() {
		return errNoOrder
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.declinesUntil) {
		return errDeclining
	}
	j := r.judgementOf(k)
	j.judge.Observe(node, report, now)
	j.received = now
	return nil
}

// isFirst returns whether this node is the first candidate for judge.
func (r *Runner) isFirst(candidates []Peer) bool {
	return slices.IndexFunc(candidates, func(p Peer) bool { return p.ID == r.Hello.Node }) == 0
}
