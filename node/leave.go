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
	// lastAnswers bounds each of the three waits for the answers to requests that are cut. A
	// part of settings.ExitTime is left for the rest.
	finalResponseTimeout = 100 * time.Millisecond
	// stallMemory is how far back the stalls of this process count for its stop.
	stallWindow = 5 * time.Second
	// stallShare is the part of the grace period that a stop may leave to a process that stalls.
	maxStallFraction = 1.0 / 8
	// cutIDs bounds the ids of requests in one log line.
	maxLoggedIDs = 20
)

// errDrainOver is why requests are cut.
var errNodeStopping = eris.New("this node had to stop")

// leaving is the stop of a node's traffic.
type shutdown struct {
	node     *Node
	callers  *http.Server
	listener *caller.Listener
	handler  *caller.Handler
	// cut ends the contexts of callers' requests.
	cancelRequests context.CancelCauseFunc
}

// leave stops the traffic without cutting a request: first callers are sent away,
// then new work for the upstream is refused and others are told, and what is in
// flight is let end. The upstream can be reached through this node alone, so its
// room is given up as late as the end of what runs there allows.
func (l *shutdown) run() {
	n := l.node
	began := time.Now()
	atStart := l.count()
	stalled := n.stalls.LongestDelay(began.Add(-stallWindow))
	within := drainTimeout(&n.Settings, stalled)
	n.Log.Info().Int("requests", atStart.requests).Int("calls", atStart.calls).Dur("withinMs", within).Dur("stalledMs", stalled).Msg("leaving")
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	l.listener.DisableKeepAlives()
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
	atClosing := l.count()
	err := l.drain(ctx, idle)
	remaining := l.count()
	ids := l.handler.InFlightIDs(maxLoggedIDs)
	if err != nil && remaining.requests+remaining.calls > 0 {
		n.Log.Warn().Err(err).Msg("requests in flight cut at the end of the drain")
	}
	if err != nil {
		l.abort()
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

// drainWithin returns how long a node waits for requests in flight whose process has lately stood
// still for as long as stalled says. The signal to stop may have come so much earlier than it was
// noticed, and the end of the process may be as late.
func drainTimeout(s *settings.Settings, stalled time.Duration) time.Duration {
	within := s.DrainDeadline()
	if s.GracePeriod == 0 {
		return within
	}
	maxReserve := time.Duration(maxStallFraction*float64(s.GracePeriod)) - settings.ExitReserve
	return within - min(2*stalled, max(0, maxReserve))
}

// standing is what is under way at a moment.
type trafficCount struct {
	// requests are those of callers that are under way, and begun all so far.
	requests int
	started  uint64
	// calls are those of nodes that are at the upstream or wait for it.
	calls int
}

// standing returns what is under way now.
func (l *shutdown) count() trafficCount {
	load := l.node.gate.Load()
	s := trafficCount{calls: load.Running + load.Waiting}
	s.requests, s.started = l.handler.RequestCounts()
	return s
}

// ends returns when the requests that are under way are cut, or the zero time while all
// requests are taken.
func (n *Node) requestsEndAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutAt
}

// callersLast is what is left of the drain for callers' requests once the listener is closed.
const minCallerDrain = time.Second

// awaitRuns waits until idle is closed, or half of the time until the end of ctx, or all but
// callersLast of it if that is more, is over. What runs at the upstream makes its calls through
// this node's listener.
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

// drain waits until no request of a caller and no call of another node is under way, or
// ctx ends. Idle is closed once nothing is at the upstream.
func (l *shutdown) drain(ctx context.Context, idle <-chan struct{}) error {
	err := l.listener.Drain(ctx)
	if err == nil {
		err = l.callers.Shutdown(ctx)
	}
	if err == nil {
		err = l.listener.AwaitClosed(ctx)
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	if err == nil {
		err = l.node.peers.Quiesce(ctx)
	}
	return err
}

// end has what is still under way answered by the node itself, with whether the request
// may have run, and closes the connections of those that could not be told.
func (l *shutdown) abort() {
	l.node.dispatcher.Stop() // takes back what waits at gates
	l.awaitResponses()
	l.node.dispatcher.Close() // ends what has been sent on
	l.awaitResponses()
	l.cancelRequests(verdict.New(verdict.NotSent, errNodeStopping).WithRetryAfter(caller.RetryElsewhereDelay)) // and what has not
	l.awaitResponses()
	l.listener.CloseAll()
}

// quiesce waits until the answers of requests that have been ended are written.
func (l *shutdown) awaitResponses() {
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
	defer cancel()
	_ = l.listener.AwaitClosed(ctx) // what is still open then is closed
}

// exit returns the context of what a node does after its drain. It ends with the grace
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
