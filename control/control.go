// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/configsync"
	"sassafrasfront.example/departure"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/freshness"
	"sassafrasfront.example/internal/boottime"
	"sassafrasfront.example/member"
	"sassafrasfront.example/neighbour"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/reconcile"
	"sassafrasfront.example/rejoin"
	"sassafrasfront.example/representative"
	"sassafrasfront.example/rollout"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/tablefetch"
	"sassafrasfront.example/watch"
)

// Timing holds the intervals of the control work. The zero value of a field stands
// for its default.
type Timing struct {
	// Push is the time for which changes are collected before they are pushed.
	// The default is 50 ms.
	Push time.Duration
	// Compare is the time between comparisons with a neighbour. The default is
	// 1 s.
	Compare time.Duration
	// Turnover is the time after which one neighbour is replaced by another.
	// The default is 10 s.
	Turnover time.Duration
	// Lease is the duration of a representative's lease. The default is 15 s.
	Lease time.Duration
	// ZoneDiscovery is the interval at which a representative looks for nodes of other zones
	// that it does not know, as after a partition. The default is 60 s.
	ZoneDiscovery time.Duration
	// SilenceTimeout is the time without a response after which a node is removed. The
	// default is 3 min.
	SilenceTimeout time.Duration
	// Sweep is the time in which all nodes of a zone are probed once. The default is 60 s.
	Sweep time.Duration
	// TakeoverDelay is how long a representative waits for each representative that ranks
	// before it when a change is to be accepted. The default is 300 ms.
	TakeoverDelay time.Duration
}

func (t Timing) withDefaults() Timing {
	fill := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	fill(&t.Push, 50*time.Millisecond)
	fill(&t.Compare, time.Second)
	fill(&t.Turnover, 10*time.Second)
	fill(&t.Lease, 15*time.Second)
	fill(&t.ZoneDiscovery, time.Minute)
	fill(&t.SilenceTimeout, 3*time.Minute)
	fill(&t.Sweep, time.Minute)
	fill(&t.TakeoverDelay, 300*time.Millisecond)
	return t
}

// Control is a node's control state. The exported fields must be set before Run.
type Control struct {
	// Self is this node's record. Its incarnation and version are set by Run.
	Self member.Record
	// API is the platform, or nil if there is none.
	API objectapi.API
	// Contacts are the peer addresses, if any, that the node fetches its first state from.
	Contacts []string
	// ServiceConfig, if not nil, selects a configuration that is one table of routes, set by
	// ApplyTable. It returns the configuration of one of the table's services, given the
	// number of live nodes.
	ServiceConfig func(t *routes.Table, service string, nodes int) operator.Service
	// TableBandwidth bounds the bytes per second that this node sends of tables. Zero means no bound.
	TableBandwidth float64
	// MaxPropagationDelay is the time within which a new table must be active on all
	// nodes. Zero means 2 s.
	MaxPropagationDelay time.Duration
	// Clock, if not nil, is a clock that keeps running while the instance is suspended. Nodes
	// use it to tell each other how fresh their tables are, so that each knows whether its
	// table includes every change that is older than MaxStaleness.
	Clock        boottime.Clock
	MaxStaleness time.Duration
	// EraAdvanced, if not nil, is called on its own goroutine when another node reports a
	// later era of the platform.
	EraAdvanced func(era uint64)
	// Exposure bounds the traffic of a version that is being rolled out by an operator's order.
	// Zero means that no orders are read.
	Exposure rollout.Exposure
	// Topics, if not nil, handle the control requests of other parts of the node, by topic.
	// They are called concurrently and must not block.
	Topics map[string]func(from peer.Hello, payload []byte) ([]byte, error)
	// Quarantine, if not nil, indexes the reports of requests that crash upstreams.
	Quarantine *quarantine.Index
	// DepartureReceived, if not nil, is called on its own goroutine with each departure of this node's
	// upstream that becomes known.
	DepartureReceived func(departure.Record)
	// Timing holds the intervals of the control work.
	Timing Timing
	// Budget limits the bytes spent on comparisons and pushes of records.
	Budget *watch.Budget
	// Limits are the limits of the control connections. The zero value means ConnectionLimits of MaxPropagationDelay.
	Limits peer.Limits
	// Counters, if not nil, counts the traffic of these connections.
	Counters *peer.Counters
	// Dial opens these connections. Nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// TableFetched, if not nil, is called with each attempt to fetch a table that has ended. It
	// must not block.
	TableFetched func(TableFetch)
	// TableInForce, if not nil, is called with the time from the first notice of a version of the
	// table until that version was in force. It must not block.
	TableInForce func(delay time.Duration)
	// ConnectionSilent, if not nil, is called when a control connection is found silent. It must not block.
	ConnectionSilent func()
	// Log receives the log events.
	Log zerolog.Logger
	// Published is called with each new snapshot, on the goroutine that owns
	// the state.
	Published func(*Snapshot)

	initOnce       sync.Once
	jobs           chan func()
	done           chan struct{}
	snapshot       atomic.Pointer[Snapshot]
	representative atomic.Pointer[representative.Representative]
	proofs         atomic.Pointer[freshness.Proofs]
	// compareSoon requests a comparison at the next push.
	compareSoon atomic.Bool
	// reconciled is closed with the first comparison with another node.
	reconciled     chan struct{}
	reconciledOnce sync.Once

	// The following fields are owned by the goroutine of Run.
	self            member.Record
	members         reconcile.Exchange[member.Record]
	configs         reconcile.Exchange[acceptance.Config]
	reports         reconcile.Exchange[quarantine.Report]
	departures      reconcile.Exchange[departure.Record]
	departureIndex  departure.Index
	restarted       map[string]bool // the nodes of which this one has known a former process, as of knewFormer
	recoveredAt     time.Time       // when the departures of this node's former processes were recovered, or zero
	byService       map[string]map[string]member.Record
	table           *routes.Table                 // the active table, or nil
	rollouts        map[string]rollout.LocalState // by service
	evacuated       evacuation.Set
	zoneState       evacuation.State
	live            int // live nodes, this node included
	zonePeers       int // those of the node's own zone, without this node
	dirty           map[string]bool
	neighbours      neighbour.Set
	clients         map[string]*peer.Client
	reads           *configsync.State // of the table; nil unless ServiceConfig is set
	nextChanged     chan struct{}
	inForceSince    time.Time       // when the active table came into force
	heard           notices         // of versions of the table that are not in force
	freshness       *tableFreshness // of the table; nil unless Clock is set
	lastRoleAt      time.Time       // when lastRole was determined
	lastRole        configsync.Role
	publishLimiter  publishLimiter
	fetch           tablefetch.State  // of the table
	fetchTimer      *time.Timer       // calls continueFetch, or nil
	fetchReceived   map[string]uint64 // bytes received by the clients of nodes that have been asked, at the last look
	lastSearch      time.Time         // when neighbours were last asked for a table
	probedAt        time.Time         // when the control connections were last checked
	kept            []keptTable       // the latest tables, the active one first
	decoding        bool              // whether a table that was fetched is being decoded
	decoded         decodedTable      // of the record that is being stored, if it was decoded before
	fetchingRecords bool              // whether a request for the evacuated zones and roll-outs is in progress
	linkFreeAt      time.Time         // when chunks may be sent again
	comparing       bool
	suspects        map[string]time.Time // the end of the suspicion, by node
	searches        rejoin.Searches
	activeSearches  int // searches in progress
	random          *rand.Rand
}

// init initialises the state on the first call.
func (c *Control) init() {
	c.initOnce.Do(func() {
		c.Timing = c.Timing.withDefaults()
		maxDelay := cmp.Or(c.MaxPropagationDelay, defaultPropagationDelay)
		if c.Limits == (peer.Limits{}) {
			c.Limits = ConnectionLimits(maxDelay)
		}
		c.jobs = make(chan func(), jobQueue)
		c.done = make(chan struct{})
		c.byService = make(map[string]map[string]member.Record)
		c.dirty = make(map[string]bool)
		c.rollouts = make(map[string]rollout.LocalState)
		c.suspects = make(map[string]time.Time)
		c.clients = make(map[string]*peer.Client)
		c.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		c.neighbours = neighbour.Set{
			Zone:   c.Self.Zone,
			Random: c.random,
		}
		c.searches = rejoin.Searches{
			Self:   c.Self.ID,
			Random: c.random,
		}
		c.members = reconcile.Exchange[member.Record]{
			Topic: "members",
			Accept: func(r member.Record) bool {
				return !r.Expired(time.Now())
			},
			Changed: c.memberChanged,
			Do:      c.do,
		}
		c.configs = reconcile.Exchange[acceptance.Config]{
			Topic:   "configs",
			Accept:  func(acceptance.Config) bool { return true },
			Changed: c.configChanged,
			Private: func(r acceptance.Config) bool { return r.Name == acceptance.TableName },
			Do:      c.do,
		}
		if c.Quarantine == nil {
			c.Quarantine = new(quarantine.Index)
		}
		c.reports = c.newReports()
		c.departures = c.newDepartures()
		c.restarted = make(map[string]bool)
		c.reconciled = make(chan struct{})
		c.snapshot.Store(&Snapshot{
			Services:  map[string]*entry.Service{},
			Sequences: map[string]uint64{},
		})
		c.nextChanged = make(chan struct{}, 1)
		c.fetch.Random = c.random
		c.fetchReceived = make(map[string]uint64)
		if c.ServiceConfig != nil {
			c.reads = configsync.New(maxDelay, time.Now(), c.random)
		}
		c.initFreshness()
		c.self = c.Self.NextIncarnation(member.Record{}, time.Now())
		c.members.Put(c.self)
	})
}

// defaultPropagationDelay is the default of MaxPropagationDelay.
const defaultPropagationDelay = 2 * time.Second

// jobQueue is the number of jobs that may be queued for the goroutine that owns the
// state.
const jobQueue = 256

// Snapshot returns the current snapshot.
func (c *Control) Snapshot() *Snapshot {
	c.init()
	return c.snapshot.Load()
}

// IsRepresentative returns whether this node holds its zone's lease, as far as it
// knows.
func (c *Control) IsRepresentative() bool {
	r := c.representative.Load()
	return r != nil && r.HoldsLease()
}

// Run maintains the state until ctx ends. It then notifies a few peers that the node
// has left.
func (c *Control) Run(ctx context.Context) {
	c.init()
	var work sync.WaitGroup
	defer work.Wait()
	defer close(c.done) // unblocks work that waits for this goroutine
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.API != nil || len(c.Contacts) > 0 {
		work.Go(func() { c.bootstrap(ctx) })
	}
	if c.API == nil {
		work.Go(func() { newSweeper(c).runAsFirst(ctx) })
	} else {
		r := c.newRepresentative()
		c.representative.Store(r)
		work.Go(func() { r.Run(ctx) })
	}
	push := time.NewTicker(c.Timing.Push)
	defer push.Stop()
	compare := time.NewTicker(c.Timing.Compare)
	defer compare.Stop()
	turnover := time.NewTicker(c.Timing.Turnover)
	defer turnover.Stop()
	expire := time.NewTicker(member.TombstoneRetention / 60)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			c.leave()
			return
		case f := <-c.jobs:
			f()
		case <-push.C:
			c.publishLimited()
			c.push(ctx)
			c.startSearches(ctx)
			if c.compareSoon.Swap(false) {
				c.compare(ctx)
			}
		case <-compare.C:
			c.compare(ctx)
		case <-turnover.C:
			c.rotateNeighbours()
		case <-expire.C:
			c.expire()
		}
	}
}

// publishLimited calls publish, unless publishing has used up its fraction of the time.
func (c *Control) publishLimited() {
	began := time.Now()
	if len(c.dirty) > 0 && !c.publishLimiter.allow(began) {
		return
	}
	c.publish()
	c.publishLimiter.record(began, time.Now())
}

// publish builds a new snapshot if something has changed.
func (c *Control) publish() {
	c.applyZones(time.Now()) // retained zones expire
	c.endPreferences(time.Now())
	last := c.snapshot.Load().Evacuated
	if len(c.dirty) > 0 || c.evacuated.At != last.At || !c.evacuated.SameZones(last) {
		c.rebuild()
	}
}

// errStopped is returned for requests after the goroutine that owns the state has ended.
var errStopped = eris.New("control stopped")

// do runs f on the goroutine that owns the state and waits for it. It returns false
// if that goroutine has ended.
func (c *Control) do(f func()) bool {
	ran := make(chan struct{})
	select {
	case c.jobs <- func() { f(); close(ran) }:
	case <-c.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.done:
		return false
	}
}

// Announce sets the state of the node's upstream and pushes it.
func (c *Control) Announce(u member.Upstream) {
	c.init()
	c.do(func() {
		if c.self.Upstream() == u {
			return
		}
		c.setSelf(c.self.WithUpstream(u))
		c.push(context.Background())
	})
}

// TriggerComparison schedules a comparison with a neighbour for the next push instead of the next
// regular comparison.
func (c *Control) TriggerComparison() { c.compareSoon.Store(true) }

// setSelf replaces the node's own record.
func (c *Control) setSelf(r member.Record) {
	c.self = r
	c.members.Put(r)
}

// memberChanged handles a change of a member's record.
func (c *Control) memberChanged(old, r member.Record) {
	c.indexMember(old, r)
	c.recordRestart(old, r)
	if r.ID != c.self.ID {
		c.updateSearch(old, r)
	}
	if r.Live() && !wasLive(old) && r.ID != c.self.ID {
		c.neighbours.Consider(r, c.nodeCounts())
	}
	if r.ID == c.self.ID && c.self.GossipVersion().Less(r.GossipVersion()) {
		// Another node has a later record of this node: one from before its restart,
		// or its tombstone.
		c.Log.Info().Str("heard", string(r.State)).Msg("newer record of this node received; taking a higher incarnation")
		c.setSelf(c.self.NextIncarnation(r, time.Now()))
	}
}

// wasLive returns whether a record existed and was live.
func wasLive(old member.Record) bool { return old.ID != "" && old.Live() }

// configChanged handles a change of a configuration record.
func (c *Control) configChanged(_, r acceptance.Config) {
	switch r.Name {
	case acceptance.TableName:
		c.tableChanged(r)
		return
	case acceptance.EvacuatedName:
		c.zonesChanged(r)
		return
	case acceptance.RetainedName:
		c.retainedChanged(r)
		return
	}
	if r.IsRollout() {
		c.rolloutChanged(r)
		return
	}
	if zone, ok := r.SeenZone(); ok {
		c.seenChanged(r, zone)
		return
	}
	c.dirty[r.Name] = true
	c.Log.Info().Str("service", r.Name).Uint64("sequence", r.Sequence).Bool("deleted", r.Deleted).Msg("configuration in force")
}

// expire removes expired reports, and the records of nodes that left or were removed long
// ago.
func (c *Control) expire() {
	now := time.Now()
	c.expireReports(now)
	c.expireDepartures(now)
	for r := range c.members.Set.All {
		if r.Expired(now) {
			c.members.Set.Remove(r.ID)
			delete(c.restarted, r.ID)
		}
	}
}

// leaveTimeout bounds the last push of a node that stops: some of its neighbours may
// have failed, and the process must exit in time.
const leaveTimeout = 400 * time.Millisecond

// leave notifies a few peers that the node has left.
func (c *Control) leave() {
	c.setSelf(c.self.WithState(member.Left))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.push(ctx).Wait()
	for _, client := range c.clients {
		client.Close()
	}
}
