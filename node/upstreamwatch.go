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
	// healthTimeout bounds one question to the upstream's health check.
	healthCheckTimeout = 500 * time.Millisecond
	// healthEvery is the time between two questions while it is not known
	// whether the upstream is there.
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

// findUpstream asks the health check of the upstream that the settings name
// until the upstream is known. A node that is started beside a running upstream
// does not have to wait for its next announcement.
func (n *Node) discoverUpstream(ctx context.Context) {
	s := &n.Settings
	if s.Service == "" || s.UpstreamAddress == "" {
		return
	}
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for n.announcements.Current() == nil {
		h, err := n.checkHealth(ctx, s.Service, s.UpstreamAddress)
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

// errNoHealthPath says that it is not known where the health check is.
var errNoHealthPath = eris.New("no health path is known for the service")

// errBeyondLimit says that the upstream takes no question now, by the limit that it names.
var errBeyondLimit = eris.New("a question would be beyond the upstream's limit")

// health asks the health check of an upstream once.
func (n *Node) checkHealth(ctx context.Context, service, address string) (upstream.HealthStatus, error) {
	path, ok := n.healthPath(service)
	if !ok {
		return upstream.HealthStatus{}, errNoHealthPath
	}
	if n.gate.ReserveHealthCheck() > 0 {
		return upstream.HealthStatus{}, errBeyondLimit
	}
	n.healthChecks.Add(1)
	return upstream.Health(ctx, address, path, n.Platform.FieldNames, healthCheckTimeout)
}

// next waits for a tick. It returns false if ctx ends before.
func awaitTick(ctx context.Context, tick *time.Ticker) bool {
	select {
	case <-ctx.Done():
		return false
	case <-tick.C:
		return true
	}
}

// upstreamFailed takes in that the announced upstream was not there. It takes no
// requests until its health check answers again or it announces itself anew.
func (n *Node) upstreamUnreachable(a *upstream.Announcement, failure *verdict.Error) {
	n.mu.Lock()
	current := n.announcements.Current()
	if n.upstreamDown || current == nil || !current.SameStart(a) {
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

// awaitUpstream asks the health check until the upstream answers.
func (n *Node) awaitRecovery(ctx context.Context, a *upstream.Announcement) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for awaitTick(ctx, tick) {
		h, err := n.checkHealth(ctx, a.Service, a.Address)
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
			n.announcements.Set(restarted)
			return
		}
		n.upstreamRecovered(ctx, a)
		return
	}
}

// upstreamBack takes in that an upstream that was down answers again.
func (n *Node) upstreamRecovered(ctx context.Context, a *upstream.Announcement) {
	n.mu.Lock()
	if ctx.Err() == nil {
		n.upstreamDown = false
	}
	n.mu.Unlock()
	n.Log.Info().Str("address", a.Address).Str("start", a.StartID).Msg("upstream up")
	n.announce()
}

// coldEvery is how old the upstream's word on whether it is cold grows before its health
// check is asked. An upstream that turns cold gets so long what a warm one gets: three of 28
// requests a second.
const coldCheckInterval = 100 * time.Millisecond

// askTimeout bounds the wait of a request for the upstream's speed. A health check
// that takes longer is of no use to it.
const loadProbeTimeout = 5 * time.Millisecond

// askRate and askBurst bound the questions that requests cause, per second, in
// addition to those in turn. Together they stay below the 60 a second that the
// platform allows.
const (
	loadProbesPerSecond = 30
	loadProbeBurst      = 10
)

// askLoad has the upstream asked for its speed at once, and waits for its word.
// Requests that ask at the same time wait for the same one.
func (n *Node) probeLoad(ctx context.Context) {
	if n.gate.LimitAdvertised() || !n.loadProbeLimit.Allow() {
		return // what a limited upstream takes goes to requests
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

// pollLoad asks the upstream for its speed whenever its last word on that has grown too old for
// the calls that come in, and whenever askLoad wants it, until ctx ends.
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
			// Answers tell the speed as well as the health check does, but not that the
			// upstream has turned cold.
			wait := min(rate.allowedLoadAge(n.callCount.Load(), time.Now())-n.gate.LoadAge(), coldCheckInterval-time.Since(polled))
			if wait <= 0 {
				wait = min(n.gate.ReserveHealthCheck(), coldCheckInterval) // the limit may be over by then
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

// answerAsked tells those that have asked meanwhile: the answer is theirs as well.
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

// isDown returns whether the upstream is known to be down.
func (n *Node) isDown() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstreamDown
}
