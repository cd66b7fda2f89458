// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"time"

	"golang.org/x/time/rate"

	"sassafrasfront.example/blocklist"
	"sassafrasfront.example/claim"
	"sassafrasfront.example/contact"
	"sassafrasfront.example/control"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/gate"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/serviceconfig"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/watch"
)

// build creates the components of the node from its settings.
func (n *Node) build() {
	s := &n.Settings
	reportBudget := watch.NewBudget(s.ReportBytes, 1)
	controlBudget := watch.NewBudget(s.ControlBytes, controlBurstSeconds)
	n.metrics = newMetricSet(n, reportBudget, controlBudget)
	n.gate = n.newGate(reportBudget)
	n.lineLimit.OnSuppressed = n.linesSuppressed
	hello := peer.Hello{
		Node: s.Node,
		Zone: s.Zone,
	}
	n.discoveryDone = make(chan struct{})
	n.dispatcher = n.newDispatcher(hello)
	n.control = n.newControl(controlBudget)
	switch {
	case n.Platform != nil:
		n.buildManaged()
	case s.PlatformURL != "":
		n.control.API = n.newObjectClient()
		n.claims = &claim.Store{
			API:  n.control.API,
			Node: s.Node,
		}
		n.blocklist = n.newBlocklist(n.control.API)
	}
	n.noOthers = make(chan struct{})
	n.departures = n.newDepartures()
	n.control.DepartureReceived = n.departureReceived
	n.peers = &peer.Server{
		Hello: hello,
		Limits: peer.Limits{
			MaxInFlightBytes: maxInFlightBytes(s.LinkMbps),
			LinkBandwidth:    linkBandwidth(s.LinkMbps),
			MaxHandshakes:    int(handshakeDescriptorFraction * float64(n.descriptors())),
		},
		HandleCall:    n.gate.Serve,
		HandleControl: n.control.Handle,
		OnClosed:      n.peerClosed,
	}
	n.announcements = &upstream.Announcements{
		OnChange:       n.upstreamChanged,
		StaleAfter:     maxMissedHeartbeats * s.Heartbeat,
		IsKnownService: n.isKnownService,
		ColdReported:   n.gate.ExtendColdStart,
		OnRejected:     n.announcementRefused,
		OnIgnored:      n.announcementIgnored,

		AwaitRecovery:   !n.standalone(),
		RecordDeparture: n.departures.Record,
	}
	if n.Platform != nil {
		n.announcements.FindRunning = n.findRunning
	}
}

// newGate returns the gate. Its load reports to other nodes stay within the given budget.
func (n *Node) newGate(budget *watch.Budget) *gate.Gate {
	return &gate.Gate{
		Started:    time.Now(),
		Tracer:     n.tracer,
		Quarantine: &n.suspects,
		Reports: &watch.Pacer[string]{
			Budget:       budget,
			MinInterval:  minReportInterval,
			MessageBytes: reportSizeBytes,
		},
		CallEnded:       n.callEnded,
		BodyReceived:    n.metrics.bodyReceived,
		LinkLoad:        func() (rate float64, backlog int) { return n.peers.LinkLoad() },
		UpstreamCrashed: n.upstreamCrashed,
		SuspectCleared:  func(p quarantine.Fingerprint) { n.control.Report(quarantine.NewCompletionReport(p)) },
		CallFailed:      n.callFailed,
		Weight:          n.organisationWeight,
		Panicked:        n.callPanicked,

		NoticeChanged:   n.noticeChanged,
		NoticeInvalid:   n.noticeInvalid,
		UpstreamLeaving: n.upstreamLeaving,
	}
}

// newDispatcher returns the dispatcher, which sends requests to upstreams.
func (n *Node) newDispatcher(hello peer.Hello) *entry.Dispatcher {
	s := &n.Settings
	return &entry.Dispatcher{
		Hello:         hello,
		Region:        s.Region,
		Started:       time.Now(),
		Counters:      &n.metrics.traffic,
		Policy:        s.Policy,
		LinkBandwidth: linkBandwidth(s.LinkMbps),
		Quarantine:    &n.suspects,
		OnEvent:       n.metrics.dispatcherEvent,
		DiscoveryDone: n.discoveryDone,
	}
}

// newControl returns the control state. Its comparisons with other nodes stay within the
// given budget.
func (n *Node) newControl(budget *watch.Budget) *control.Control {
	s := &n.Settings
	return &control.Control{
		Self: member.Record{
			ID:     s.Node,
			Addr:   s.EffectivePeerAddress(),
			Zone:   s.Zone,
			Region: s.Region,
			State:  member.Idle,
		},
		Contacts: s.FirstPeers(),
		Timing: control.Timing{
			Lease:          s.Lease,
			SilenceTimeout: s.Patience,
			Sweep:          s.Patience / 3,
		},
		Quarantine:     &n.suspects,
		Budget:         budget,
		Counters:       &n.metrics.control,
		TableBandwidth: tableShare * linkBandwidth(s.LinkMbps),
		TableFetched:   n.metrics.tableFetched,
		TableInForce:   n.metrics.tableInForce,

		ConnectionSilent: n.metrics.controlSilent,
		Log:              n.Log,
		Published:        n.published,
	}
}

// buildManaged configures the components for a platform whose configuration is a table of
// routes.
func (n *Node) buildManaged() {
	n.gate.Names = n.Platform.FieldNames
	n.gate.UpstreamUnreachable = n.upstreamUnreachable
	n.dispatcher.Limits = peer.Limits{
		SilenceTimeout:   peerSilenceTimeout,
		AckTimeout:       peerAckTimeout,
		HandshakeTimeout: peerHandshakeTimeout,
	}
	n.gate.BroadcastReport = func(r *peer.Report) { n.peers.BroadcastReport(r) }
	n.loadProbes = make(chan chan struct{})
	n.loadProbeLimit = rate.NewLimiter(loadProbesPerSecond, loadProbeBurst)
	n.gate.ProbeLoad = n.probeLoad
	n.rateLimiter = n.newRateLimiter()
	n.control.Topics = n.rateLimiter.Topics()
	n.control.ServiceConfig = func(t *routes.Table, service string, nodes int) operator.Service {
		return serviceconfig.FromTable(t, service, nodes, n.activeSettings())
	}
	n.control.MaxPropagationDelay = n.maxConfigDelay()
	n.enableFreshness()
	n.platformClient = n.newJSONClient()
	n.platformClient.OnEraChange = n.eraChanged
	n.control.EraAdvanced = n.platformClient.AdvanceEra
	n.platformRestored = make(chan struct{}, 1)
	n.metrics.platformCalls = n.platformClient.Calls
	n.objects = n.Platform.NewAPI(n.platformClient)
	n.contactRegistry = n.newContactRegistry(n.objects)
	n.discovery = &contact.Discovery{
		Registry:      n.contactRegistry,
		Node:          n.control,
		HasFirstPeers: len(n.control.Contacts) > 0,
	}
	n.dispatcher.TriggerDiscovery = n.triggerDiscovery
	n.contactRegistry.NodeCount = n.rateLimiter.Nodes
	n.contactRegistry.OnNodeCount = n.rateLimiter.SetStoredNodes
	n.blocklist = n.newBlocklist(n.objects)
	n.buildRollouts()
}

// newBlocklist returns the store of the blocked requests that a platform keeps.
func (n *Node) newBlocklist(api objectapi.Objects) *blocklist.Store {
	return &blocklist.Store{
		API:           api,
		Report:        n.control.Report,
		IsFirstInZone: n.control.IsFirstInZone,
		Nodes:         n.control.Nodes,
		Log:           n.Log,
	}
}

// maxInFlightBytes returns how many bytes of bodies peers may have in flight to a node whose
// link carries the given Mbit/s.
func maxInFlightBytes(mbps float64) int {
	return int(linkBandwidth(mbps) * maxBodyQueueTime.Seconds())
}

// linkBandwidth returns the bytes a second that a link of the given Mbit/s carries.
func linkBandwidth(mbps float64) float64 { return mbps * 1e6 / 8 }

// newObjectClient returns the client of the platform's object API.
func (n *Node) newObjectClient() *objectapi.Client {
	c := &objectapi.Client{
		JSONClient: objectapi.JSONClient{
			URL:     n.Settings.PlatformURL,
			Limiter: rate.NewLimiter(rate.Limit(n.Settings.PlatformCalls), int(n.Settings.PlatformCalls)),
		},
		Namespace: n.Settings.Namespace,
	}
	n.metrics.platformCalls = c.Calls
	return c
}
