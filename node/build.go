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

// build makes the parts.
func (n *Node) build() {
	s := &n.Settings
	reports := watch.NewBudget(s.ReportBytes, 1)
	exchange := watch.NewBudget(s.ControlBytes, controlSavings)
	n.metrics = newMetricSet(n, reports, exchange)
	n.gate = n.newGate(reports)
	n.lines.OnSuppressed = n.linesLeftOut
	hello := peer.Hello{
		Node: s.Node,
		Zone: s.Zone,
	}
	n.learnt = make(chan struct{})
	n.dispatcher = n.newDispatcher(hello)
	n.control = n.newControl(exchange)
	switch {
	case n.Platform != nil:
		n.buildManaged()
	case s.PlatformURL != "":
		n.control.API = n.platform()
		n.claims = &claim.Store{
			API:  n.control.API,
			Node: s.Node,
		}
		n.blocked = n.blocklistOn(n.control.API)
	}
	n.peers = &peer.Server{
		Hello: hello,
		Limits: peer.Limits{
			MaxInFlightBytes: underWay(s.LinkMbps),
			LinkBandwidth:    linkRate(s.LinkMbps),
		},
		HandleCall:    n.gate.Serve,
		HandleControl: n.control.Handle,
		OnClosed:      n.peerClosed,
	}
	n.announced = &upstream.Announcements{
		Changed:        n.upstreamChanged,
		StaleAfter:     silentHeartbeats * s.Heartbeat,
		IsKnownService: n.serviceKnown,
		ColdReported:   n.gate.ExtendColdStart,
		Refused:        n.announcementRefused,
	}
}

// newGate returns the gate, whose reports of its load go to other nodes within a budget.
func (n *Node) newGate(reports *watch.Budget) *gate.Gate {
	return &gate.Gate{
		Started:    time.Now(),
		Tracer:     n.tracer,
		Quarantine: &n.suspects,
		Reports: &watch.Pacer[string]{
			Budget:       reports,
			MinInterval:  reportEvery,
			MessageBytes: reportSize,
		},
		CallEnded:       n.callEnded,
		BodyReceived:    n.metrics.bodyIn,
		LinkLoad:        func() (rate float64, backlog int) { return n.peers.LinkLoad() },
		UpstreamCrashed: n.upstreamGone,
		SuspectCleared:  func(p quarantine.Fingerprint) { n.control.Report(quarantine.NewCompletionReport(p)) },
		CallFailed:      n.callRefused,
		Weight:          n.weightOf,
		Panicked:        n.callPanicked,

		NoticeChanged:   n.upstreamNoticed,
		NoticeInvalid:   n.noticeUnreadable,
		UpstreamLeaving: func(start string, born int64) { n.announced.Leave(start, born) },
	}
}

// newDispatcher returns what sends requests to upstreams.
func (n *Node) newDispatcher(hello peer.Hello) *entry.Dispatcher {
	s := &n.Settings
	return &entry.Dispatcher{
		Hello:         hello,
		Region:        s.Region,
		Started:       time.Now(),
		Counters:      &n.metrics.traffic,
		Policy:        s.Policy,
		LinkRate:      linkRate(s.LinkMbps),
		Quarantine:    &n.suspects,
		OnEvent:       n.metrics.dispatcherEvent,
		DiscoveryDone: n.learnt,
	}
}

// newControl returns the control state, whose comparisons with other nodes keep to a budget.
func (n *Node) newControl(exchange *watch.Budget) *control.Control {
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
		Quarantine: &n.suspects,
		Budget:     exchange,
		Counters:   &n.metrics.control,
		Log:        n.Log,
		Published:  n.published,
	}
}

// buildManaged sets the parts up for a table of routes.
func (n *Node) buildManaged() {
	n.gate.Names = n.Platform.FieldNames
	n.gate.UpstreamUnreachable = n.upstreamFailed
	n.dispatcher.Limits = peer.Limits{
		SilenceTimeout:   peerSilence,
		AckTimeout:       peerLoss,
		HandshakeTimeout: peerHandshake,
	}
	n.gate.BroadcastReport = func(r *peer.Report) { n.peers.BroadcastReport(r) }
	n.loadAsked = make(chan chan struct{})
	n.asks = rate.NewLimiter(askRate, askBurst)
	n.gate.ProbeLoad = n.askLoad
	n.limits = n.rateLimits()
	n.control.Topics = n.limits.Topics()
	n.control.ServiceConfig = func(t *routes.Table, service string, nodes int) operator.Service {
		return serviceconfig.FromTable(t, service, nodes, n.live())
	}
	n.control.MaxPropagationDelay = n.configWithin()
	n.keepFresh()
	n.store = n.storeClient()
	n.store.OnEraChange = n.eraChanged
	n.control.EraAdvanced = n.store.AdvanceEra
	n.restored = make(chan struct{}, 1)
	n.metrics.platformCalls = n.store.Calls
	n.api = n.Platform.NewAPI(n.store)
	n.contacts = n.book(n.api)
	n.discovery = &contact.Discovery{
		Registry:      n.contacts,
		Node:          n.control,
		HasFirstPeers: len(n.control.Contacts) > 0,
	}
	n.dispatcher.TriggerDiscovery = n.seek
	n.contacts.NodeCount = n.limits.Nodes
	n.contacts.OnNodeCount = n.limits.SetStoredNodes
	n.blocked = n.blocklistOn(n.api)
	n.buildRollouts()
}

// blocklistOn returns the blocked requests that a platform keeps.
func (n *Node) blocklistOn(api objectapi.Objects) *blocklist.Store {
	return &blocklist.Store{
		API:         api,
		Report:      n.control.Report,
		FirstOfZone: n.control.IsFirstInZone,
		Nodes:       n.control.Nodes,
		Log:         n.Log,
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
		JSONClient: objectapi.JSONClient{
			URL:     n.Settings.PlatformURL,
			Limiter: rate.NewLimiter(rate.Limit(n.Settings.PlatformCalls), int(n.Settings.PlatformCalls)),
		},
		Namespace: n.Settings.Namespace,
	}
	n.metrics.platformCalls = c.Calls
	return c
}
