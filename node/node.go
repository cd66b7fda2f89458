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
	"sassafrasfront.example/connlimit"
	"sassafrasfront.example/contact"
	"sassafrasfront.example/control"
	"sassafrasfront.example/departure"
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
	// minReportInterval is the shortest time between two load reports to one node.
	minReportInterval = 10 * time.Millisecond
	// reportSizeBytes is the size that a load report adds to a response.
	reportSizeBytes = 60
	// controlBurstSeconds is for how many seconds the budget of the control state
	// accumulates, so that many changes at once, such as the start of a zone,
	// propagate quickly.
	controlBurstSeconds = 10
	// headerTimeout bounds the reading of a request's header, and idleTimeout the
	// time that a caller's connection may be idle.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxBodyQueueTime is how long the link takes for the bodies that may be in
	// flight to a node at once: a fraction of the silence timeout of a peer, and
	// many times the delay between zones, so that the link is kept busy.
	maxBodyQueueTime = 40 * time.Millisecond
	// tableShare is the share of a link's bandwidth that chunks of tables for other nodes may take.
	tableShare = 0.5
	// flushTimeout bounds the export of the last traces.
	flushTimeout = 2 * time.Second
)

// Node is one process of the system. The exported fields are set before Run.
type Node struct {
	// Settings are the node's settings, already checked.
	Settings settings.Settings
	// Log receives the node's events.
	Log zerolog.Logger
	// Platform, if not nil, is the platform whose table of routes the node applies.
	// Otherwise each service has a configuration of its own.
	Platform *Platform

	tracer           trace.Tracer
	metrics          *metricSet
	gate             *gate.Gate
	control          *control.Control
	dispatcher       *entry.Dispatcher
	peers            *peer.Server
	announcements    *upstream.Announcements
	departures       *departure.Recorder
	claims           *claim.Store
	evacuated        evacuationTimes
	rateLimiter      *ratelimit.Limiter                // nil without a table of routes
	rollouts         *canary.Runner                    // nil if rollouts are not enabled
	rolloutOrders    *objectapi.Lister                 // nil if rollouts are not enabled
	versions         versionCheck                      // of the upstream
	suspects         quarantine.Index                  // the requests that were in flight when upstreams crashed
	blocklist        *blocklist.Store                  // the blocked requests on the platform, or nil
	objects          objectapi.PollingAPI              // the platform's object API
	platformClient   *objectapi.JSONClient             // makes the calls of objects, or nil
	discovery        *contact.Discovery                // finds other nodes through contactRegistry
	contactRegistry  *contact.PlatformRegistry         // the nodes' addresses on the platform
	platformRestored chan struct{}                     // has a value when entries on the platform may be lost
	reloadedSettings atomic.Pointer[settings.Settings] // nil until the settings change
	discoveryDone    chan struct{}                     // closed once the node has had the time to discover others
	noOthers         chan struct{}                     // closed once the node has had that time, or knows that there are none
	stalls           stall.Monitor
	lineLimit        logfmt.LineLimiter
	successCount     atomic.Uint64
	gateConfigured   atomic.Bool // whether the gate has a configuration
	keysStale        atomic.Bool // whether the last request with a key found that keys can't be validated
	loadProbes       chan chan struct{}
	loadProbeLimit   *rate.Limiter
	callCount        atomic.Uint64 // calls to the upstream so far
	healthChecks     atomic.Uint64 // health checks of the upstream so far

	// announceMu is held while the node's state is determined and announced, so that
	// the last announcement is of the latest state. configureMu is held while the
	// gate is configured.
	announceMu, configureMu sync.Mutex

	mu           sync.Mutex
	announced    *upstream.Announcement // the current announcement, or nil
	upstreamDown bool                   // whether the upstream can't be reached
	leaving      bool                   // whether callers are sent to other nodes
	gateDraining bool                   // whether the gate refuses calls
	draining     bool                   // whether the node takes no requests any more
	cutAt        time.Time              // when requests in flight are cut, once the node takes only requests that end before
	stopProber   context.CancelFunc
}

// listeners are the listeners on the node's ports.
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

// Run runs the node until ctx ends, and then shuts it down gracefully. An error
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
	flushCtx, cancel := context.WithTimeout(exit, flushTimeout)
	defer cancel()
	if err := flush(flushCtx); err != nil {
		n.Log.Warn().Err(err).Msg("last traces not exported")
	}
	n.Log.Info().Msg("node stopped")
	return nil
}

// fieldNames returns the names of the header fields in use.
func (n *Node) fieldNames() upstream.FieldNames {
	if n.Platform != nil {
		return n.Platform.FieldNames
	}
	return upstream.DefaultFieldNames
}

// peerClosed logs why the connection of a peer was closed, if the peer violated the protocol.
func (n *Node) peerClosed(from peer.Hello, reason error) {
	if eris.Is(reason, peer.ErrProtocol) {
		n.Log.Warn().Str("peer", from.Node).Err(reason).Msg("peer connection closed")
	}
}

// published applies a new snapshot of the system.
func (n *Node) published(s *control.Snapshot) {
	n.dispatcher.SetServices(s.Services)
	n.evacuated.update(s.Evacuated)
	if n.rateLimiter != nil && s.Table != nil {
		n.rateLimiter.SetOrganisations(s.Table.OrganisationSet())
	}
	n.gate.SetEvacuated(s.Evacuated.Has(n.Settings.Zone))
	n.rolloutsChanged(s.Rollouts)
	if n.configureGate() {
		go n.announce() // announce waits for the goroutine that calls this
	}
}

// configureGate gives the gate the configuration of its upstream's service. It
// returns whether the gate has gained or lost its configuration. The snapshot is
// read under the lock, so that the later of two calls applies the later snapshot.
func (n *Node) configureGate() (changed bool) {
	n.configureMu.Lock()
	defer n.configureMu.Unlock()
	services := n.control.Snapshot().Services
	a := n.announcements.Current()
	var config *operator.Service
	if a != nil && services[a.Service] != nil {
		config = &services[a.Service].Config
	}
	n.gate.Configure(config)
	return n.gateConfigured.Swap(config != nil) != (config != nil)
}

// serve runs the components until ctx ends, and then stops them in order. It returns the
// context for the steps that remain before the process ends.
func (n *Node) serve(ctx context.Context, l *listeners) (exit context.Context, cancel context.CancelFunc) {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	errorLog := n.serverLog()
	requests, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	handler := n.callerHandler()
	n.metrics.addInFlightGauge(handler)
	callers := &http.Server{
		Handler:           handler,
		ErrorLog:          errorLog,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.Settings.MaxHeaderBytes,
		Protocols:         new(http.Protocols),
		ConnState:         caller.ConnState,
		ConnContext:       caller.ConnContext,
		BaseContext:       func(net.Listener) context.Context { return requests },
		HTTP2:             connlimit.HTTP2Config(),
	}
	callers.Protocols.SetHTTP1(true)
	callers.Protocols.SetUnencryptedHTTP2(true)
	announce := &http.Server{
		Handler:  n.announceHandler(),
		ErrorLog: errorLog,
	}
	announceConns := n.limitLocal("announcements", l.announce, announce)
	operators := &http.Server{
		Handler:  n.operatorHandler(),
		ErrorLog: errorLog,
	}
	operatorConns := n.limitLocal("operators", l.operator, operators)
	controlCtx, stopControl := context.WithCancel(background)
	var tasks, controlTasks sync.WaitGroup
	controlTasks.Go(func() { n.control.Run(controlCtx) })
	if n.Platform != nil {
		controlTasks.Go(func() { n.syncConfig(controlCtx, n.newConfigReader(n.objects)) })
		controlTasks.Go(func() { n.discovery.Run(controlCtx) })
		controlTasks.Go(func() { n.rewriteAfterRestore(controlCtx) })
		tasks.Go(func() { n.discoverUpstream(background) })
		tasks.Go(func() { n.pollLoad(background) })
		tasks.Go(func() { n.rateLimiter.Run(background) })
	}
	if n.rollouts != nil {
		controlTasks.Go(func() { n.rollouts.Run(controlCtx) })
		controlTasks.Go(func() { n.confirmVersions(controlCtx) })
	}
	if n.blocklist != nil {
		controlTasks.Go(func() { n.blocklist.Run(controlCtx) })
	}
	tasks.Go(func() { n.stalls.Run(background) })
	tasks.Go(func() { n.awaitDiscovery(background) })
	controlTasks.Go(func() { n.departures.Run(controlCtx) })
	tasks.Go(func() { n.awaitNoOthers(background) })
	tasks.Go(func() { n.recoverDepartures(background) })
	tasks.Go(func() { _ = n.peers.Run(background, l.peer) })
	callerConns := &caller.Listener{
		Listener: n.limitCallers(l.caller),
		Timeouts: n.callerTimeouts,
	}
	tasks.Go(func() { _ = callers.Serve(callerConns) })
	tasks.Go(func() { _ = announce.Serve(announceConns) })
	tasks.Go(func() { _ = operators.Serve(operatorConns) })
	<-ctx.Done()
	exit, cancel = n.exitContext(time.Now())
	(&shutdown{
		node:           n,
		callers:        callers,
		listener:       callerConns,
		handler:        handler,
		cancelRequests: cancelRequests,
	}).run()
	if n.claims != nil {
		n.awaitComponent(exit, "claims", n.claims.Wait)
	}
	stopControl()
	n.awaitComponent(exit, "control", controlTasks.Wait)
	n.dispatcher.Close()
	n.awaitPeerCalls(exit)
	stop()
	_ = announce.Close()
	_ = operators.Close()
	n.awaitComponent(exit, "listeners", tasks.Wait)
	return exit, cancel
}

// awaitPeerCalls lets the calls of other nodes continue as long as the process may live. Those
// nodes may have to stop at the same time, and then respond to their callers themselves.
func (n *Node) awaitPeerCalls(exit context.Context) {
	ctx, cancel := context.WithTimeout(exit, settings.ExitReserve)
	defer cancel()
	_ = n.peers.Quiesce(ctx) // those nodes see the connection close
}

// awaitComponent waits until a component has ended, as long as the grace period allows.
func (n *Node) awaitComponent(exit context.Context, component string, wait func()) {
	if err := await(exit, wait); err != nil {
		n.Log.Warn().Str("part", component).Err(err).Msg("not ended within the grace period")
	}
}
