// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"sassafrasfront.example/blocklist"
	"sassafrasfront.example/caller"
	"sassafrasfront.example/claim"
	"sassafrasfront.example/contact"
	"sassafrasfront.example/control"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/gate"
	"sassafrasfront.example/internal/keyvalue"
	"sassafrasfront.example/internal/tracing"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/ratelimit"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/settings"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/watch"
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
	claims     *claim.Ledger
	evacuated  zoneLog
	limits     *ratelimit.Limiter                // of organisations, or nil
	suspects   quarantine.Index                  // the requests that upstreams have ended under
	blocked    *blocklist.Ledger                 // of them, on the platform, or nil
	api        objectapi.Polled                  // of Platform
	store      *objectapi.Caller                 // which makes its calls, or nil
	contacts   *contact.Book                     // which is kept there
	restored   chan struct{}                     // has a value when the platform may have lost what was written
	reloaded   atomic.Pointer[settings.Settings] // nil until the settings change
	lines      keyvalue.Limit
	successes  atomic.Uint64
	configured atomic.Bool // whether the gate knows its service
	keysStale  atomic.Bool // whether keys can't be judged, as the last request with one found
	loadAsked  chan chan struct{}
	asks       *rate.Limiter

	// announcing is held while the node's state is found and told, so that what
	// is told last was found last. configuring is held while the gate is given
	// its configuration.
	announcing, configuring sync.Mutex

	mu        sync.Mutex
	down      bool // whether the prober says that the upstream is down
	leaving   bool // whether callers are sent away
	closing   bool // whether the gate refuses as well
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
	tracer, flush, err := tracing.Setup{
		URL:    n.Settings.TraceURL,
		Sample: n.Settings.TraceSample,
		Node:   n.Settings.Node,
		Zone:   n.Settings.Zone,
	}.Tracer(ctx)
	if err != nil {
		return eris.Wrap(err, "traceURL")
	}
	n.tracer = tracer
	n.build()
	n.Log.Info().Str("zone", n.Settings.Zone).Str("callerAddress", l.caller.Addr().String()).Str("peerAddress", l.peer.Addr().String()).Msg("node started")
	n.serve(ctx, l)
	flushing, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := flush(flushing); err != nil {
		n.Log.Warn().Err(err).Msg("last traces not sent")
	}
	n.Log.Info().Msg("node stopped")
	return nil
}

// build makes the parts.
func (n *Node) build() {
	s := &n.Settings
	reports := watch.NewBudget(s.ReportBytes, 1)
	exchange := watch.NewBudget(s.ControlBytes, controlSavings)
	n.metrics = newMetricSet(n, reports, exchange)
	n.gate = &gate.Gate{
		Started:    time.Now(),
		Tracer:     n.tracer,
		Quarantine: &n.suspects,
		Reports: &watch.Pacer[string]{
			Budget: reports,
			Every:  reportEvery,
			Size:   reportSize,
		},
		Ended:    n.metrics.gateEnded,
		Received: n.metrics.bodyIn,
		Inflow:   func() (rate float64, backlog int) { return n.peers.Inflow() },
		Gone:     n.upstreamGone,
		Cleared:  func(p quarantine.Fingerprint) { n.control.Report(quarantine.Ran(p)) },
		Refused:  n.callRefused,
		Weight:   n.weightOf,
		Panicked: n.callPanicked,
	}
	n.lines.LeftOut = n.linesLeftOut
	hello := peer.Hello{
		Node: s.Node,
		Zone: s.Zone,
	}
	n.dispatcher = &entry.Dispatcher{
		Hello:      hello,
		Region:     s.Region,
		Started:    time.Now(),
		Counters:   &n.metrics.traffic,
		Policy:     s.Policy,
		Rate:       linkRate(s.LinkMbps),
		Quarantine: &n.suspects,
		Event:      n.metrics.dispatcherEvent,
	}
	n.control = &control.Control{
		Self: member.Record{
			ID:     s.Node,
			Addr:   s.PeerAt(),
			Zone:   s.Zone,
			Region: s.Region,
			State:  member.Idle,
		},
		Contacts: s.PeerList(),
		Timing: control.Timing{
			Lease:    s.Lease,
			Patience: s.Patience,
			Sweep:    s.Patience / 3,
		},
		Quarantine: &n.suspects,
		Budget:     exchange,
		Counters:   &n.metrics.control,
		Log:        n.Log,
		Published:  n.published,
	}
	switch {
	case n.Platform != nil:
		n.buildManaged()
	case s.PlatformURL != "":
		n.control.API = n.platform()
		n.claims = &claim.Ledger{
			API:  n.control.API,
			Node: s.Node,
		}
		n.blocked = n.blocklistOn(n.control.API)
	}
	n.peers = &peer.Server{
		Hello: hello,
		Limits: peer.Limits{
			UnderWay: underWay(s.LinkMbps),
			Rate:     linkRate(s.LinkMbps),
		},
		Call:    n.gate.Serve,
		Control: n.control.Handle,
		Closed:  n.peerClosed,
	}
	n.announced = &upstream.Announcements{
		Changed:  n.upstreamChanged,
		Patience: silentHeartbeats * s.Heartbeat,
		Known:    n.serviceKnown,
		Cold:     n.gate.ColdAtLeast,
		Refused:  n.announcementRefused,
	}
}

// buildManaged sets the parts up for a table of routes.
func (n *Node) buildManaged() {
	n.gate.Names = n.Platform.Names
	n.gate.Failed = n.upstreamFailed
	n.dispatcher.Limits = peer.Limits{
		Silence:   peerSilence,
		Handshake: peerHandshake,
	}
	n.gate.Tell = func(r *peer.Report) { n.peers.Tell(r) }
	n.loadAsked = make(chan chan struct{})
	n.asks = rate.NewLimiter(askRate, askBurst)
	n.gate.Ask = n.askLoad
	n.limits = n.rateLimits()
	n.control.Topics = n.limits.Topics()
	n.control.Template = n.template
	n.control.Within = n.configWithin()
	n.keepFresh()
	n.store = n.storeClient()
	n.store.EraChanged = n.eraChanged
	n.control.EraHeard = n.store.Raise
	n.restored = make(chan struct{}, 1)
	n.metrics.platformCalls = n.store.Calls
	n.api = n.Platform.API(n.store)
	n.contacts = n.book(n.api)
	n.control.Book = n.contacts.Addresses
	n.control.Register = n.contacts.Register
	n.control.Met = n.contacts.Met
	n.contacts.Nodes = n.limits.Nodes
	n.contacts.Counted = n.limits.Told
	n.blocked = n.blocklistOn(n.api)
}

// blocklistOn returns the blocked requests that a platform keeps.
func (n *Node) blocklistOn(api objectapi.Objects) *blocklist.Ledger {
	return &blocklist.Ledger{
		API:    api,
		Report: n.control.Report,
		Scout:  n.control.Scout,
		Log:    n.Log,
	}
}

// underWay returns how many bytes of bodies peers may have under way to a node whose
// link carries the given Mbit/s.
func underWay(mbps float64) int {
	return int(linkRate(mbps) * bodyQueue.Seconds())
}

// linkRate returns how many bytes a second a link of the given Mbit/s carries.
func linkRate(mbps float64) float64 { return mbps * 1e6 / 8 }

// platform returns the client of the object API.
func (n *Node) platform() *objectapi.Client {
	c := &objectapi.Client{
		Caller: objectapi.Caller{
			URL:    n.Settings.PlatformURL,
			Budget: rate.NewLimiter(rate.Limit(n.Settings.PlatformCalls), int(n.Settings.PlatformCalls)),
		},
		Namespace: n.Settings.Namespace,
	}
	n.metrics.platformCalls = c.Calls
	return c
}

// names returns the header fields in use.
func (n *Node) names() upstream.Names {
	if n.Platform != nil {
		return n.Platform.Names
	}
	return upstream.DefaultNames
}

// peerClosed logs why the connection of a peer ended, if it broke the protocol.
func (n *Node) peerClosed(from peer.Hello, reason error) {
	if eris.Is(reason, peer.ErrProtocol) {
		n.Log.Warn().Str("peer", from.Node).Err(reason).Msg("peer connection closed")
	}
}

// published takes in a new picture of the system.
func (n *Node) published(s *control.Snapshot) {
	n.dispatcher.Set(s.Services)
	n.evacuated.set(s.Evacuated)
	if n.limits != nil && s.Table != nil {
		n.limits.Set(s.Table.OrganisationSet())
	}
	n.gate.Evacuate(s.Evacuated.Has(n.Settings.Zone))
	if n.configureGate() {
		go n.announce() // which waits for the goroutine that calls this
	}
}

// configureGate gives the gate the configuration of its upstream's service. It
// returns whether the gate has one now and had none before, or the reverse. The
// picture is read under the lock, so that of two calls the later one has the
// later picture.
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

// serve runs the parts until ctx ends, and then stops them in order.
func (n *Node) serve(ctx context.Context, l *listeners) {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	complaints := n.serverLog()
	callers := &http.Server{
		Handler:           n.callerHandler(),
		ErrorLog:          complaints,
		ReadHeaderTimeout: headTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.Settings.MaxHeaderBytes,
		Protocols:         new(http.Protocols),
		ConnState:         caller.ConnState,
		ConnContext:       caller.ConnContext,
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
		controlling.Go(func() { n.keepWritten(controlCtx) })
		all.Go(func() { n.findUpstream(inner) })
		all.Go(func() { n.pollLoad(inner) })
		all.Go(func() { n.limits.Run(inner) })
	}
	if n.blocked != nil {
		controlling.Go(func() { n.blocked.Run(controlCtx) })
	}
	all.Go(func() { _ = n.peers.Run(inner, l.peer) })
	callerConns := &caller.Listener{
		Listener: l.caller,
		Bounds:   n.callerBounds,
	}
	all.Go(func() { _ = callers.Serve(callerConns) })
	all.Go(func() { _ = announce.Serve(l.announce) })
	all.Go(func() { _ = operators.Serve(l.operator) })
	<-ctx.Done()
	n.leave(callers, callerConns)
	if n.claims != nil {
		n.claims.Wait()
	}
	stopControl()
	controlling.Wait()
	n.dispatcher.Close()
	stop()
	_ = announce.Close()
	_ = operators.Close()
	all.Wait()
}

// serverLog returns what takes the lines that the library's servers write of
// themselves, so that they are lines of the node's log, and bounded like them.
func (n *Node) serverLog() *log.Logger { return log.New(&serverLines{node: n}, "", 0) }

// serverLines is an io.Writer of a server's log lines.
type serverLines struct {
	node *Node
}

// Write implements io.Writer, for one line at a time.
func (l *serverLines) Write(line []byte) (int, error) {
	if l.node.lines.Allow("server", serverLinesRate, 1) {
		l.node.Log.Warn().Str("reason", strings.TrimSpace(string(line))).Msg("HTTP server")
	}
	return len(line), nil
}

func (n *Node) callerHandler() http.Handler {
	h := &caller.Handler{
		Lookup: func(host string) (*entry.Service, bool) {
			s := n.control.Snapshot()
			return s.Lookup(host), s.Ready
		},
		Dispatcher: n.dispatcher,
		Claims:     n.claims,
		Node:       n.Settings.Node,
		Tracer:     n.tracer,
		Suspects:   n.suspects.Suspects,
		Ended:      n.requestEnded,
	}
	if n.Platform != nil {
		h.Names = n.Platform.Names
		h.Service = n.Settings.Service
		h.Beside = true
		h.Admit = n.limits.Admit
		h.Resolver = &caller.ByRoute{
			Table:   func() *routes.Table { return n.control.Snapshot().Table },
			Service: func(name string) *entry.Service { return n.control.Snapshot().Services[name] },
			Keys:    n.keys(),
		}
	}
	return h
}

// callerBounds returns how long callers may take, as the table of routes says.
func (n *Node) callerBounds() caller.Bounds {
	t := n.control.Snapshot().Table
	if t == nil {
		return caller.Bounds{}
	}
	return caller.Bounds{
		Head: t.Limits.HeaderTimeout,
		Idle: t.Limits.IdleTimeout,
	}
}

func (n *Node) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/upstream", n.announced)
	if n.Platform != nil {
		mux.Handle("/", n.Platform.Announce(n.announced))
	}
	return mux
}

func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.set.WritePrometheus(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.ready)
	mux.HandleFunc("GET /v1/picture", n.picture)
	mux.HandleFunc("GET /v1/zones", n.listZones)
	mux.HandleFunc("GET /v1/organisations", n.listOrganisations)
	mux.HandleFunc("GET /v1/suspects", n.listSuspects)
	mux.HandleFunc("DELETE /v1/suspects/{print}", n.releaseSuspect)
	if n.Settings.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}
