// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

const (
	// healthCheckTimeout bounds one health check of the upstream.
	healthCheckTimeout = 500 * time.Millisecond
	// healthCheckInterval is the time between two health checks while it is not known
	// whether the upstream is up.
	healthCheckInterval = 300 * time.Millisecond
)

// healthPath returns the path of the health check of a service, if it is known.
func (n *Node) healthPath(service string) (string, bool) {
	t := n.control.Snapshot().Table
	if t == nil {
		return "", false
	}
	s, ok := t.Service(service)
	return s.HealthPath, ok && s.HealthPath != ""
}

// discoverUpstream sends health checks to the upstream that the settings name until the
// upstream is known. A node that is started beside a running upstream does not have to
// wait for its next announcement.
func (n *Node) discoverUpstream(ctx context.Context) {
	if s := n.activeSettings(); s.Service == "" || s.UpstreamAddress == "" {
		return
	}
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for n.announcements.Current() == nil {
		s := n.activeSettings()
		h, err := n.checkHealth(ctx, s.Service, s.UpstreamAddress, healthCheckTimeout)
		if h.Notice.Leaving && h.StartID != "" {
			n.announcements.Leave(h.StartID, h.StartMillis)
		} else if err == nil && h.StartID != "" && h.Load.Slots > 0 {
			n.announcements.SetIfAbsent(&upstream.Announcement{
				Service:       s.Service,
				Address:       s.UpstreamAddress,
				Slots:         h.Load.Slots,
				Connections:   h.Load.Slots,
				StartID:       h.StartID,
				StartMillis:   h.StartMillis,
				ColdRemaining: max(0, h.ColdRemaining),
			})
			n.gate.HandleNotice(h.StartID, h.Notice)
			return
		}
		if !awaitTick(ctx, tick) {
			return
		}
	}
}

// errNoHealthPath means that the path of the health check is not known.
var errNoHealthPath = eris.New("no health check path is known for the service")

// errBeyondLimit means that a health check now would exceed the upstream's advertised limit.
var errBeyondLimit = eris.New("a health check would exceed the upstream's limit")

// checkHealth sends one health check to an upstream.
func (n *Node) checkHealth(ctx context.Context, service, address string, timeout time.Duration) (upstream.HealthStatus, error) {
	path, ok := n.healthPath(service)
	if !ok {
		return upstream.HealthStatus{}, errNoHealthPath
	}
	if n.gate.ReserveHealthCheck() > 0 {
		return upstream.HealthStatus{}, errBeyondLimit
	}
	n.healthChecks.Add(1)
	return upstream.Health(ctx, address, path, n.Platform.FieldNames, timeout)
}

// findRunningTimeout bounds the health check that finds out which start of the upstream runs. The upstream
// waits a second for the response to its announcement, of which the record of a departure takes the rest.
const findRunningTimeout = 250 * time.Millisecond

// findRunning finds out which start of the upstream runs at the address of an announcement. An upstream
// that is unhealthy or leaves tells as well.
func (n *Node) findRunning(ctx context.Context, a *upstream.Announcement) upstream.Running {
	h, err := n.checkHealth(ctx, a.Service, a.Address, findRunningTimeout)
	r := upstream.Running{
		Known:       h.StartID != "",
		StartID:     h.StartID,
		StartMillis: h.StartMillis,
	}
	if n.lineLimit.Allow("findRunning", invalidLinesPerSecond, 1) {
		n.Log.Info().Str("start", a.StartID).Int64("bornMs", a.StartMillis).Uint64("sequence", a.Sequence).Bool("draining", a.Draining).Bool("found", r.Known).Str("running", r.StartID).Int64("runningBornMs", r.StartMillis).AnErr("health", err).Msg("running start checked")
	}
	return r
}

// awaitTick waits for a tick. It returns false if ctx ends first.
func awaitTick(ctx context.Context, tick *time.Ticker) bool {
	select {
	case <-ctx.Done():
		return false
	case <-tick.C:
		return true
	}
}

// upstreamUnreachable marks the announced upstream as down. It takes no requests until it
// responds to a health check or announces itself again.
func (n *Node) upstreamUnreachable(a *upstream.Announcement, failure *verdict.Error) {
	n.mu.Lock()
	if n.upstreamDown || n.announced == nil || !n.announced.SameStart(a) {
		n.mu.Unlock()
		return
	}
	n.upstreamDown = true
	ctx, cancel := context.WithCancel(context.Background())
	n.stopProber = cancel
	n.mu.Unlock()
	n.Log.Warn().Str("address", a.Address).Str("start", a.StartID).Err(failure).Msg("upstream down")
	go n.announce()
	go n.awaitRecovery(ctx, a)
}

// awaitRecovery sends health checks until the upstream responds.
func (n *Node) awaitRecovery(ctx context.Context, a *upstream.Announcement) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for awaitTick(ctx, tick) {
		h, err := n.checkHealth(ctx, a.Service, a.Address, healthCheckTimeout)
		if err != nil {
			continue
		}
		if h.StartID != a.StartID {
			if n.announcements.Restore(h.StartID, h.StartMillis, a) {
				return
			}
			continue
		}
		if restarted := a.WithStart(h.StartID, h.StartMillis); !restarted.SameStart(a) {
			n.announcements.SetRunning(restarted)
			return
		}
		n.upstreamRecovered(ctx, a)
		return
	}
}

// upstreamRecovered marks an upstream that was down as up.
func (n *Node) upstreamRecovered(ctx context.Context, a *upstream.Announcement) {
	n.mu.Lock()
	if ctx.Err() == nil {
		n.upstreamDown = false
	}
	n.mu.Unlock()
	n.Log.Info().Str("address", a.Address).Str("start", a.StartID).Msg("upstream up")
	n.announce()
}

// coldCheckInterval is how old the upstream's report on whether it is cold grows before a
// health check requests a new one. For that long, an upstream that becomes cold gets as much
// as a warm one: three requests at 28 a second.
const coldCheckInterval = 100 * time.Millisecond

// loadProbeTimeout bounds how long a request waits for a load report of the upstream. A health
// check that takes longer is of no use to it.
const loadProbeTimeout = 5 * time.Millisecond

// loadProbesPerSecond and loadProbeBurst bound the health checks that requests cause, in
// addition to the periodic ones. Together they stay below the 60 a second that the platform
// allows.
const (
	loadProbesPerSecond = 30
	loadProbeBurst      = 10
)

// probeLoad makes pollLoad send a health check to the upstream at once, and waits for its load
// report. Requests that call it at the same time share one health check.
func (n *Node) probeLoad(ctx context.Context) {
	if n.gate.LimitAdvertised() || !n.loadProbeLimit.Allow() {
		return // the capacity of a limited upstream is left to requests
	}
	done := make(chan struct{})
	timeout := time.NewTimer(loadProbeTimeout)
	defer timeout.Stop()
	select {
	case n.loadProbes <- done:
	case <-timeout.C:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// pollLoad requests the upstream's load whenever the last report is too old for the current rate
// of calls, and whenever probeLoad demands it, until ctx ends.
func (n *Node) pollLoad(ctx context.Context) {
	poller := &upstream.Poller{
		Names:          n.Platform.FieldNames,
		Timeout:        healthCheckTimeout,
		LoadReported:   n.gate.ObserveLoad,
		ColdReported:   n.gate.SetColdRemaining,
		NoticeReceived: n.gate.HandleNotice,
	}
	defer poller.Close()
	timer := time.NewTimer(minLoadAge)
	defer timer.Stop()
	var polled time.Time
	rate := callRate{}
	for {
		done := make(chan struct{})
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			// Responses report the load as well as the health check does, but not that the
			// upstream has become cold.
			wait := min(rate.allowedLoadAge(n.callCount.Load(), time.Now())-n.gate.LoadAge(), coldCheckInterval-time.Since(polled))
			if wait <= 0 {
				wait = min(n.gate.ReserveHealthCheck(), coldCheckInterval) // the limit may have ended by then
			}
			if wait > 0 {
				timer.Reset(wait)
				continue
			}
		case done = <-n.loadProbes:
		}
		a := n.announcements.Current()
		if a != nil && !n.isDown() {
			if path, ok := n.healthPath(a.Service); ok {
				n.healthChecks.Add(1)
				poller.Poll(ctx, a.Address, path)
			}
		}
		polled = time.Now()
		close(done)
		n.completeProbes()
		timer.Reset(minLoadAge)
	}
}

// completeProbes notifies the calls of probeLoad that came during a health check: its result is
// valid for them as well.
func (n *Node) completeProbes() {
	for {
		select {
		case done := <-n.loadProbes:
			close(done)
		default:
			return
		}
	}
}

// isDown returns whether the upstream is down.
func (n *Node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstreamDown
}
