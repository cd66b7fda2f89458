// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/settings"
	"sassafrasfront.example/verdict"
)

const (
	// finalResponseTimeout bounds each of the three waits for the responses to requests that
	// are cut. The rest of settings.ExitReserve is left for the process to end.
	finalResponseTimeout = 100 * time.Millisecond
	// stallWindow is how far back the stalls of this process count for its shutdown.
	stallWindow = 5 * time.Second
	// maxStallFraction is the fraction of the grace period that a shutdown may reserve for
	// stalls of the process.
	maxStallFraction = 1.0 / 8
	// maxLoggedIDs bounds the request IDs in one log line.
	maxLoggedIDs = 20
)

// errNodeStopping is the reason for which requests are cut.
var errNodeStopping = eris.New("this node had to stop")

// shutdown is the graceful shutdown of a node's traffic.
type shutdown struct {
	node     *Node
	callers  *http.Server
	listener *caller.Listener
	handler  *caller.Handler
	// cancelRequests cancels the contexts of callers' requests.
	cancelRequests context.CancelCauseFunc
}

// run stops the traffic without cutting a request: first callers are sent to other nodes, then
// new work for the upstream is refused and other nodes are notified, and requests in flight
// complete. The upstream can be reached through this node only, so its capacity is withdrawn
// as late as the completion of the requests that run there allows.
func (s *shutdown) run() {
	n := s.node
	began := time.Now()
	atStart := s.count()
	stalled := n.stalls.LongestDelay(began.Add(-stallWindow))
	within := drainTimeout(&n.Settings, stalled)
	n.Log.Info().Int("requests", atStart.requests).Int("calls", atStart.calls).Dur("withinMs", within).Dur("stalledMs", stalled).Msg("leaving")
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	s.listener.DisableKeepAlives()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(within))
	defer cancel()
	leaveTime := n.Settings.EffectiveLeaveDelay()
	admitTime := min(n.Settings.AdmitDelay, leaveTime)
	sleep.For(ctx, admitTime)
	idle := n.gate.Drain()
	n.mu.Lock()
	n.gateDraining = true
	n.mu.Unlock()
	n.announce()
	sleep.For(ctx, leaveTime-admitTime)
	n.mu.Lock()
	n.cutAt = began.Add(within)
	n.mu.Unlock()
	awaitIdleUpstream(ctx, idle)
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	atClosing := s.count()
	err := s.drain(ctx, idle)
	remaining := s.count()
	ids := s.handler.InFlightIDs(maxLoggedIDs)
	if err != nil && remaining.requests+remaining.calls > 0 {
		n.Log.Warn().Err(err).Msg("requests in flight cut at the end of the drain")
	}
	if err != nil {
		s.abort()
	}
	completed := int(remaining.started-atStart.started) + atStart.requests - remaining.requests
	n.metrics.drained(completed, remaining)
	e := n.Log.Info().Int("requests", atStart.requests).Int("calls", atStart.calls).
		Int("requestsAtClosing", atClosing.requests).Int("callsAtClosing", atClosing.calls).
		Int("ended", completed).Int("cut", remaining.requests).Int("callsCut", remaining.calls)
	if len(ids) > 0 {
		e = e.Str("cutIds", strings.Join(ids, ","))
	}
	e.Dur("took", time.Since(began)).Msg("drained")
}

// drainTimeout returns how long a node waits for requests in flight, given the longest recent
// stall of its process. The signal to stop may have been noticed that much late, and the process
// may end that much late.
func drainTimeout(s *settings.Settings, stalled time.Duration) time.Duration {
	within := s.DrainDeadline()
	if s.GracePeriod == 0 {
		return within
	}
	maxReserve := time.Duration(maxStallFraction*float64(s.GracePeriod)) - settings.ExitReserve
	return within - min(2*stalled, max(0, maxReserve))
}

// trafficCount counts the requests and calls in flight at one time.
type trafficCount struct {
	// requests counts the callers' requests in flight, and started all of them so far.
	requests int
	started  uint64
	// calls counts the calls of nodes that run at the upstream or wait for it.
	calls int
}

// count returns what is in flight now.
func (s *shutdown) count() trafficCount {
	load := s.node.gate.Load()
	counts := trafficCount{calls: load.Running + load.Waiting}
	counts.requests, counts.started = s.handler.RequestCounts()
	return counts
}

// requestsEndAt returns when requests in flight are cut, or the zero time while the node accepts
// all requests.
func (n *Node) requestsEndAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutAt
}

// minCallerDrain is the time that the drain leaves for callers' requests once the listener is
// closed.
const minCallerDrain = time.Second

// awaitIdleUpstream waits until idle is closed, or until half of the time to the end of ctx has
// passed, or all but minCallerDrain of it if that is more. Requests that run at the upstream make
// their calls through this node's listener.
func awaitIdleUpstream(ctx context.Context, idle <-chan struct{}) {
	end, ok := ctx.Deadline()
	if !ok {
		return
	}
	waitCtx, cancel := context.WithDeadline(ctx, end.Add(-min(minCallerDrain, time.Until(end)/2)))
	defer cancel()
	select {
	case <-idle:
	case <-waitCtx.Done():
	}
}

// drain waits until no request of a caller and no call of another node is in flight, or ctx
// ends. Idle is closed once nothing runs at the upstream.
func (s *shutdown) drain(ctx context.Context, idle <-chan struct{}) error {
	err := s.listener.Drain(ctx)
	if err == nil {
		err = s.callers.Shutdown(ctx)
	}
	if err == nil {
		err = s.listener.AwaitClosed(ctx)
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	if err == nil {
		err = s.node.peers.Quiesce(ctx)
	}
	return err
}

// abort makes the node itself respond to the requests that are still in flight, stating whether
// each may have run, and closes the connections of those that could not be sent a response.
func (s *shutdown) abort() {
	s.node.dispatcher.Stop() // revokes calls that wait at gates
	s.awaitResponses()
	s.node.dispatcher.Close() // ends calls that have been sent
	s.awaitResponses()
	s.cancelRequests(verdict.New(verdict.NotSent, errNodeStopping).WithRetryAfter(caller.RetryElsewhereDelay)) // cancels requests that have not been sent
	s.awaitResponses()
	s.listener.CloseAll()
}

// awaitResponses waits until the responses to requests that have been aborted are written.
func (s *shutdown) awaitResponses() {
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
	defer cancel()
	_ = s.listener.AwaitClosed(ctx) // connections that are still open then are closed
}

// exitContext returns the context of what a node does after its drain. It ends with the grace
// period, if that is known, less the time for the process to end.
func (n *Node) exitContext(stopped time.Time) (context.Context, context.CancelFunc) {
	if n.Settings.GracePeriod == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithDeadline(context.Background(), stopped.Add(n.Settings.GracePeriod-finalResponseTimeout))
}

// await waits until wait returns, or ctx ends.
func await(ctx context.Context, wait func()) error {
	done := make(chan struct{})
	go func() {
		wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
