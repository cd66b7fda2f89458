// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"cmp"
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/retry"
	"sassafrasfront.example/route"
)

// Member is a node and its upstream, as a Dispatcher sees them.
type Member struct {
	// ID is the id of the node.
	ID string
	// Addr is the address at which the node accepts connections from peers.
	Addr string
	// Zone and Region are the availability zone and the region of the node.
	Zone, Region string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Canary is whether the upstream runs a version that receives its own share of the requests.
	Canary bool
}

// Service is a configured service and its members. It is an immutable value.
type Service struct {
	// Name is the name of the service.
	Name string
	// Config is its configuration.
	Config operator.Service
	// Members are the nodes whose upstreams accept requests.
	Members []Member
	// CanaryShare is the share of the requests, from 0 to 1, that is sent to the canaries first.
	// Requests that these do not serve go to the other members. Canaries receive no other
	// requests, unless the share is high enough for their version to be trusted.
	CanaryShare float64
}

// Dispatcher sends requests. The exported fields are set before the first
// call. Its methods may be called from any goroutine.
type Dispatcher struct {
	// Hello is what this node sends to its peers when it connects.
	Hello peer.Hello
	// Region is the region of this node. Its availability zone is in Hello.
	Region string
	// Started is the time at which the process started.
	Started time.Time
	// Limits bounds the connections to peers.
	Limits peer.Limits
	// Counters, if not nil, counts the traffic to peers.
	Counters *peer.Counters
	// Dial opens connections to peers, as in peer.Client. Nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Quarantine, if not nil, identifies the requests that crash upstreams.
	Quarantine *quarantine.Index
	// Policy, if not empty, overrides the routing policy of all services.
	Policy string
	// LinkBandwidth is the capacity of this node's link in bytes per second, or 0 if unknown.
	LinkBandwidth float64
	// OnEvent, if not nil, is called for each of the events below.
	OnEvent func(service string, e Event)

	// DiscoveryDone, if not nil, is closed once this node has had time to discover the other nodes.
	// Until then, requests to a service without a known upstream wait for one.
	DiscoveryDone <-chan struct{}
	// TriggerDiscovery, if not nil, is called when a request waits in this way, to start a
	// discovery at once. It must not block.
	TriggerDiscovery func()

	services atomic.Pointer[map[string]*service]
	changes  changeNotifier

	notices  notices
	stopping stopSignal

	mu      sync.Mutex
	clients map[string]*client // by node id
	closed  bool
}

// Event is an action that a Dispatcher took beyond the first attempt.
type Event string

// The events.
const (
	EventRetry  Event = "retry"
	EventHedge  Event = "hedge"
	EventRevoke Event = "revoke"
)

// service is the state kept for one service.
type service struct {
	*Service
	pool        *route.Pool[string]
	retryBudget *retry.Budget
	hedgeBudget *retry.Budget
	latency     *retry.Latency
	retryShares map[string]float64 // of the retry budget, by class
	memberIndex map[string]int     // of the members, by id
	subset      []Member           // the members in the node's subset
	canaries    map[string]bool    // the ids of the canaries
	policy      string             // the name of the pool's routing policy
}

// SetServices replaces the services and keeps the state of those that remain. A
// service that has not changed should be passed as the same pointer, as it then
// costs nothing.
func (d *Dispatcher) SetServices(services map[string]*Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.currentServices()
	next := make(map[string]*service, len(services))
	for name, s := range services {
		if o := old[name]; o != nil && o.Service == s {
			next[name] = o
			continue
		}
		next[name] = d.buildService(old[name], s)
	}
	d.services.Store(&next)
	d.changes.notify()
	d.closeUnused(next)
}

func (d *Dispatcher) currentServices() map[string]*service {
	if p := d.services.Load(); p != nil {
		return *p
	}
	return nil
}

// buildService builds the state of a service and takes over the state of old, if not nil.
func (d *Dispatcher) buildService(old *service, s *Service) *service {
	n := &service{
		Service:     s,
		retryShares: retryShares(s.Config),
		policy:      cmp.Or(d.Policy, s.Config.Policy),
	}
	if old != nil {
		n.pool, n.retryBudget, n.hedgeBudget, n.latency = old.pool, old.retryBudget, old.hedgeBudget, old.latency
	} else {
		window := s.Config.Retry.Window.Std()
		n.retryBudget = &retry.Budget{Window: window}
		n.hedgeBudget = &retry.Budget{Window: window}
		n.latency = new(retry.Latency)
	}
	n.retryBudget.SetLimits(s.Config.Retry.Ratio, s.Config.Retry.Burst)
	n.hedgeBudget.SetLimits(s.Config.Hedge.Ratio, s.Config.Hedge.Burst)
	if old == nil || old.policy != n.policy {
		policy, _ := route.ByName(n.policy)
		n.pool = &route.Pool[string]{
			Policy:              policy,
			ExpectedServiceTime: s.Config.ServiceTime.Std(),
			LinkBandwidth:       d.LinkBandwidth,
		}
	}
	ordinary, canaries := splitCanaries(s.Members)
	inSubset := subset(d.Hello.Node, d.Hello.Zone, ordinary)
	maps.Copy(inSubset, subset(d.Hello.Node, d.Hello.Zone, canaries))
	n.canaries = make(map[string]bool, len(canaries))
	for _, m := range canaries {
		n.canaries[m.ID] = true
	}
	n.memberIndex = make(map[string]int, len(s.Members))
	targets := make(map[string]route.Target, len(s.Members))
	for i, m := range s.Members {
		n.memberIndex[m.ID] = i
		if inSubset[m.ID] {
			n.subset = append(n.subset, m)
		}
		targets[m.ID] = route.Target{
			Slots:            max(1, m.Slots),
			Distance:         d.distance(s, m),
			ZoneCrossingCost: d.crossing(s, m),
			Local:            m.ID == d.Hello.Node,
			Spare:            !inSubset[m.ID],
		}
	}
	n.pool.SetTargets(targets)
	d.preconnect(n)
	return n
}

// preconnect opens the connections to the members in the subset of a service ahead of the
// first call. The caller holds the lock.
func (d *Dispatcher) preconnect(s *service) {
	for _, m := range s.subset {
		c := d.clientLocked(s, m)
		go func() { _ = c.Connect(context.Background()) }() // a call will report the failure
	}
}

// distance returns the routing cost of sending a request to m.
func (d *Dispatcher) distance(s *Service, m Member) time.Duration {
	switch {
	case m.Region != d.Region:
		return s.Config.RegionCost.Std()
	case m.Zone != d.Hello.Zone:
		return s.Config.ZoneCost.Std()
	}
	return 0
}

// crossing returns the additional routing cost of sending to m if it is in another zone or
// region.
func (d *Dispatcher) crossing(s *Service, m Member) float64 {
	if m.Region == d.Region && m.Zone == d.Hello.Zone {
		return 0
	}
	return s.Config.ZoneCrossingCost
}

// closeUnused closes the clients of nodes that are no longer members of their
// service.
func (d *Dispatcher) closeUnused(services map[string]*service) {
	maps.DeleteFunc(d.clients, func(id string, c *client) bool {
		if s := services[c.service]; s != nil {
			if m, ok := s.member(id); ok && m.Addr == c.Addr {
				return false
			}
		}
		// A request that has just looked the client up may still start a call.
		time.AfterFunc(retireDelay, c.Retire)
		return true
	})
}

// retireDelay is how long the client of a removed node continues to accept calls.
const retireDelay = time.Minute

// client is the connection to a member of a service.
type client struct {
	*peer.Client
	service string
	dialing atomic.Bool // whether a connection is being opened in the background
}

// client returns the client of a member.
func (d *Dispatcher) client(s *service, m Member) *client {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clientLocked(s, m)
}

func (d *Dispatcher) clientLocked(s *service, m Member) *client {
	if c := d.clients[m.ID]; c != nil && c.Addr == m.Addr && c.service == s.Name {
		return c
	}
	c := &client{
		service: s.Name,
		Client: &peer.Client{
			Addr:     m.Addr,
			Hello:    d.Hello,
			Limits:   d.Limits,
			Counters: d.Counters,
			Dial:     d.Dial,
			OnReport: func(r peer.Report) { d.observe(s.Name, m.ID, r) },
			OnNotice: func(n *peer.Notice) { d.notices.set(m.ID, n) },
		},
	}
	if d.closed {
		c.Close() // calls sent from now on would be cut off
	}
	if d.clients == nil {
		d.clients = make(map[string]*client)
	}
	d.clients[m.ID] = c
	return c
}

// observe records a load report. It looks the service up by name, because its state
// may have been rebuilt since the client was created.
func (d *Dispatcher) observe(name, id string, r peer.Report) {
	if s := d.currentServices()[name]; s != nil {
		s.pool.Observe(id, loadOf(r))
	}
}

// loadOf converts a report to the form that package route uses.
func loadOf(r peer.Report) route.Load {
	return route.Load{
		Running:       r.Running,
		Waiting:       r.Waiting,
		Slots:         r.Slots,
		ServiceTime:   r.ServiceTime,
		Draining:      r.Draining,
		Slowdown:      r.Slowdown,
		FailureRatio:  r.FailureRatio,
		LinkBandwidth: r.LinkBandwidth,
		BacklogBytes:  r.BacklogBytes,
		Limited:       r.Limited,
		Limit:         r.Limit,
		LimitUsed:     r.LimitUsed,
		LimitWait:     r.LimitWait,
	}
}

// Close closes all connections.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.clients {
		c.Close()
	}
	d.clients = nil
	d.closed = true
}

func (d *Dispatcher) emit(service string, e Event) {
	if d.OnEvent != nil {
		d.OnEvent(service, e)
	}
}
