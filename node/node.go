// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"sassafrasfront.example/blocklist"
	"sassafrasfront.example/caller"
	"sassafrasfront.example/canary"
	"sassafrasfront.example/claim"
	"sassafrasfront.example/contact"
	"sassafrasfront.example/control"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/gate"
	"sassafrasfront.example/internal/logfmt"
	"sassafrasfront.example/internal/stall"
	"sassafrasfront.example/internal/tracing"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/ratelimit"
	"sassafrasfront.example/settings"
	"sassafrasfront.example/upstream"
)

const (
	// reportEvery is the least time between two load reports to one node.
	reportEvery = 10 * time.Millisecond
	// reportSize is what a load report adds to an answer, in bytes.
	reportSize = 60
	// controlSavings is for how many seconds the budget of the control state is
	// saved up, so that many changes at once, such as the start of a zone, are
	// passed on quickly.
	controlSavings = 10
	// headTimeout bounds the head of a caller's request, and idleTimeout an idle
	// connection of a caller.
	headTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// bodyQueue is how long the link takes for the bodies that are under way to a
	// node at once: a fraction of the silence after which a peer is given up, and
	// many times the delay between zones, so that the link does not run dry.
	bodyQueue = 40 * time.Millisecond
	// flushTimeout bounds the sending of the last traces.
	flushTimeout = 2 * time.Second
)

// Node is one process of the system. The exported fields are set before Run.
type Node struct {
	// Settings are the node's settings, already checked.
	Settings settings.Settings
	// Log takes the events.
	Log zerolog.Logger
	// Platform, if not nil, is the platform whose table of routes the node
	// follows. Otherwise each service has a configuration of its own.
	Platform *Platform

	tracer     trace.Tracer
	metrics    *metricSet
	gate       *gate.Gate
	control    *control.Control
	dispatcher *entry.Dispatcher
	peers      *peer.Server
	announced  *upstream.Announcements
	claims     *claim.Store
	evacuated  zoneLog
	limits     *ratelimit.Limiter                // of organisations, or nil
	rollouts   *canary.Runner                    // or nil, where none are ordered
	orders     *objectapi.Lister                 // of the same
	versions   versionCheck                      // of the upstream
	suspects   quarantine.Index                  // the requests that upstreams have ended under
	blocked    *blocklist.Store                  // of them, on the platform, or nil
	api        objectapi.PollingAPI              // of Platform
	store      *objectapi.JSONClient             // which makes its calls, or nil
	discovery  *contact.Discovery                // finds other nodes by it
	contacts   *contact.PlatformRegistry         // which is kept there
	restored   chan struct{}                     // has a value when what was written there may be lost
	reloaded   atomic.Pointer[settings.Settings] // nil until the settings change
	learnt     chan struct{}                     // closed once the node has had the time to learn of the others
	stalls     stall.Monitor
	lines      logfmt.LineLimiter
	successes  atomic.Uint64
	configured atomic.Bool // whether the gate knows its service
	keysStale  atomic.Bool // whether keys can't be judged, as the last request with one found
	loadAsked  chan chan struct{}
	asks       *rate.Limiter
	calls      atomic.Uint64 // to the upstream, so far
	questions  atomic.Uint64 // to its health check, so far

	// announcing is held while the node's state is found and told, so that what
	// is told last was found last. configuring is held while the gate is given
	// its configuration.
	announcing, configuring sync.Mutex

	mu        sync.Mutex
	down      bool      // whether the prober says that the upstream is down
	leaving   bool      // whether callers are sent away
	closing   bool      // whether the gate refuses as well
	draining  bool      // whether no requests are taken any more
	endsAt    time.Time // when what is under way is cut, once requests are taken only that end before
	stopProbe context.CancelFunc
}

// listeners are the node's open ports.
type listeners struct {
	caller, peer, announce, operator net.Listener
}

// listen opens the node's ports.
func (n *Node) listen() (*listeners, error) {
	l := new(listeners)
	for _, p := range []struct {
		to   *net.Listener
		key  string
		addr string
	}{
		{&l.caller, "callerAddress", n.Settings.CallerAddress},
		{&l.peer, "peerAddress", n.Settings.PeerAddress},
		{&l.announce, "announceAddress", n.Settings.AnnounceAddress},
		{&l.operator, "operatorAddress", n.Settings.OperatorAddress},
	} {
		var err error
		if *p.to, err = net.Listen("tcp", p.addr); err != nil {
			l.close()
			return nil, eris.Wrap(err, p.key)
		}
	}
	return l, nil
}

func (l *listeners) close() {
	for _, x := range []net.Listener{l.caller, l.peer, l.announce, l.operator} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// Run runs the node until ctx ends, and then stops it in good order. An error
// means that it could not start.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	defer l.close()
	tracer, flush, err := tracing.Config{
		URL:         n.Settings.TraceURL,
		SampleRatio: n.Settings.TraceSample,
		Node:        n.Settings.Node,
		Zone:        n.Settings.Zone,
	}.Tracer(ctx)
	if err != nil {
		return eris.Wrap(err, "traceURL")
	}
	n.tracer = tracer
	n.build()
	n.Log.Info().Str("zone", n.Settings.Zone).Str("callerAddress", l.caller.Addr().String()).Str("peerAddress", l.peer.Addr().String()).Msg("node started")
	exit, cancel := n.serve(ctx, l)
	defer cancel()
	flushing, cancel := context.WithTimeout(exit, flushTimeout)
	defer cancel()
	if err := flush(flushing); err != nil {
		n.Log.Warn().Err(err).Msg("last traces not sent")
	}
	n.Log.Info().Msg("node stopped")
	return nil
}

// names returns the header fields in use.
func (n *Node) names() upstream.FieldNames {
	if n.Platform != nil {
		return n.Platform.FieldNames
	}
	return upstream.DefaultFieldNames
}

// peerClosed logs why the connection of a peer ended, if it broke the protocol.
func (n *Node) peerClosed(from peer.Hello, reason error) {
	if eris.Is(reason, peer.ErrProtocol) {
		n.Log.Warn().Str("peer", from.Node).Err(reason).Msg("peer connection closed")
	}
}

// published takes in a new view of the system.
func (n *Node) published(s *control.Snapshot) {
	n.dispatcher.SetServices(s.Services)
	n.evacuated.set(s.Evacuated)
	if n.limits != nil && s.Table != nil {
		n.limits.SetOrganisations(s.Table.OrganisationSet())
	}
	n.gate.SetEvacuated(s.Evacuated.Has(n.Settings.Zone))
	n.rolloutsKnown(s.Rollouts)
	if n.configureGate() {
		go n.announce() // which waits for the goroutine that calls this
	}
}

// configureGate gives the gate the configuration of its upstream's service. It
// returns whether the gate has one now and had none before, or the reverse.
// The snapshot is read under the lock, so that of two calls the later one has the
// later snapshot.
func (n *Node) configureGate() (changed bool) {
	n.configuring.Lock()
	defer n.configuring.Unlock()
	services := n.control.Snapshot().Services
	a := n.announced.Current()
	var config *operator.Service
	if a != nil && services[a.Service] != nil {
		config = &services[a.Service].Config
	}
	n.gate.Configure(config)
	return n.configured.Swap(config != nil) != (config != nil)
}

// serve runs the parts until ctx ends, and then stops them in order. It returns the
// context of what is left to do.
func (n *Node) serve(ctx context.Context, l *listeners) (exit context.Context, cancel context.CancelFunc) {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	complaints := n.serverLog()
	requests, cut := context.WithCancelCause(context.Background())
	defer cut(nil)
	handler := n.callerHandler()
	n.metrics.requestsUnderWay(handler)
	callers := &http.Server{
		Handler:           handler,
		ErrorLog:          complaints,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.Settings.MaxHeaderBytes,
		Protocols:         new(http.Protocols),
		ConnState:         caller.ConnState,
		ConnContext:       caller.ConnContext,
		BaseContext:       func(net.Listener) context.Context { return requests },
	}
	callers.Protocols.SetHTTP1(true)
	callers.Protocols.SetUnencryptedHTTP2(true)
	announce := &http.Server{
		Handler:           n.announceHandler(),
		ErrorLog:          complaints,
		ReadHeaderTimeout: headTimeout,
	}
	operators := &http.Server{
		Handler:           n.operatorHandler(),
		ErrorLog:          complaints,
		ReadHeaderTimeout: headTimeout,
	}
	controlCtx, stopControl := context.WithCancel(inner)
	var all, controlling sync.WaitGroup
	controlling.Go(func() { n.control.Run(controlCtx) })
	if n.Platform != nil {
		controlling.Go(func() { n.follow(controlCtx, n.reader(n.api)) })
		controlling.Go(func() { n.discovery.Run(controlCtx) })
		controlling.Go(func() { n.keepWritten(controlCtx) })
		all.Go(func() { n.findUpstream(inner) })
		all.Go(func() { n.pollLoad(inner) })
		all.Go(func() { n.limits.Run(inner) })
	}
	if n.rollouts != nil {
		controlling.Go(func() { n.rollouts.Run(controlCtx) })
		controlling.Go(func() { n.confirmVersions(controlCtx) })
	}
	if n.blocked != nil {
		controlling.Go(func() { n.blocked.Run(controlCtx) })
	}
	all.Go(func() { n.stalls.Run(inner) })
	all.Go(func() { n.awaitLearnt(inner) })
	all.Go(func() { _ = n.peers.Run(inner, l.peer) })
	callerConns := &caller.Listener{
		Listener: l.caller,
		Timeouts: n.callerBounds,
	}
	all.Go(func() { _ = callers.Serve(callerConns) })
	all.Go(func() { _ = announce.Serve(l.announce) })
	all.Go(func() { _ = operators.Serve(l.operator) })
	<-ctx.Done()
	exit, cancel = n.exit(time.Now())
	(&leaving{
		node:    n,
		callers: callers,
		conns:   callerConns,
		handler: handler,
		cut:     cut,
	}).leave()
	if n.claims != nil {
		n.leftOver(exit, "claims", n.claims.Wait)
	}
	stopControl()
	n.leftOver(exit, "control", controlling.Wait)
	n.dispatcher.Close()
	n.lastCalls(exit)
	stop()
	_ = announce.Close()
	_ = operators.Close()
	n.leftOver(exit, "listeners", all.Wait)
	return exit, cancel
}

// lastCalls lets the calls of other nodes go on as long as the process may live. Those
// nodes may have to stop at the same time, and then answer for themselves.
func (n *Node) lastCalls(exit context.Context) {
	ctx, cancel := context.WithTimeout(exit, settings.ExitReserve)
	defer cancel()
	_ = n.peers.Quiesce(ctx) // their nodes see the connection end
}

// leftOver waits for a part that ends, as long as the grace period allows.
func (n *Node) leftOver(exit context.Context, part string, wait func()) {
	if err := await(exit, wait); err != nil {
		n.Log.Warn().Str("part", part).Err(err).Msg("not ended within the grace period")
	}
}
