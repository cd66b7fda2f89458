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
	// Topic is the topic of the messages with reports to a judge.
	Topic = "rollout"
	// reportTimeout bounds the sending of one report. An instance whose processor time is allotted
	// in periods of 100 ms responds within that.
	reportTimeout = 300 * time.Millisecond
	// clientIdleTimeout is how long an unused connection to a judge is kept.
	clientIdleTimeout = 10 * time.Second
	// candidateCacheTime is how long the list of candidates is cached: choosing them iterates over all nodes.
	candidateCacheTime = time.Second
)

var (
	errDeclining = eris.New("not a judge: the platform does not respond to this node")
	errNoOrder   = eris.New("not a judge: no order is known to this node")
)

// candidates returns the candidates for the judge of a service, in order of preference.
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

// report sends a report on the upstream to a judge, unless one was sent recently.
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

// reportInterval returns the time between two reports. It increases with the number of upstreams, to bound
// the reports that a judge receives. Canary upstreams report often enough to renew their leases.
func (r *Runner) reportInterval(u Upstream, k rollout.LocalState) time.Duration {
	n := r.Capacities(u.Service)[u.Version].Upstreams
	interval := stepInterval * time.Duration(max(1, n/reportsPerStep))
	if k.Eligibility(u.Version) == rollout.Canary {
		interval = min(interval, r.Lease/reportsPerLease)
	}
	return interval - stepInterval/2 // tolerates steps that come early
}

// send sends a report to the first candidate that accepts it.
func (r *Runner) send(ctx context.Context, candidates []Peer, report rollout.Report, sent time.Time) {
	accepted := false
	for _, p := range candidates {
		err := r.sendTo(ctx, p, report)
		if err == nil {
			accepted = true
			break
		}
		r.Log.Debug().Err(err).Str("judge", p.ID).Str("service", report.Service).Msg("roll-out report not accepted")
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
	_, err := peer.SendRequest[rollout.Report, struct{}](ctx, r.clients.GetOrCreate(p.ID, p.Addr), Topic, report)
	return err
}

// Handle handles a report from another node.
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

// observe records a report as the judge.
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

// isFirst returns whether this node is the first candidate.
func (r *Runner) isFirst(candidates []Peer) bool {
	return slices.IndexFunc(candidates, func(p Peer) bool { return p.ID == r.Hello.Node }) == 0
}
