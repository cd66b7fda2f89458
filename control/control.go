// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/configsync"
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
	"sassafrasfront.example/watch"
)

// Timing are the periods of the control work. The zero value of a field stands
// for its default.
type Timing struct {
	// Push is the time for which changes are gathered before they are pushed.
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
	// Bridge is the time after which a representative looks for nodes of other zones
	// that it has lost. The default is 60 s.
	ZoneDiscovery time.Duration
	// Patience is the time of silence after which a node is removed. The
	// default is 3 min.
	SilenceTimeout time.Duration
	// Sweep is the time in which a representative asks all nodes of its zone for a sign
	// of life. The default is 60 s.
	Sweep time.Duration
	// Takeover is the wait of a representative for each of those that come before it
	// in accepting a change. The default is 300 ms.
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

// Control is a node's control state. The exported fields are set before Run.
type Control struct {
	// Self is this node's record. Its incarnation and version are set by Run.
	Self member.Record
	// API is the platform. Nil means that there is none.
	API objectapi.API
	// Contacts are peer addresses to learn from at the start, if any.
	Contacts []string
	// Template, if not nil, says that the configuration is one table of routes,
	// given by Configure. It returns what holds for a service of a table, given
	// the number of live nodes.
	ServiceConfig func(t *routes.Table, service string, nodes int) operator.Service
	// Within is the time within which a change of that table has to be in force
	// everywhere. Zero means 2 s.
	MaxPropagationDelay time.Duration
	// Clock, if not nil, is a clock that goes on while the instance is suspended. With it
	// nodes tell each other how fresh that table is, so that each knows whether it has every
	// change that is older than FreshWithin.
	Clock        boottime.Clock
	MaxStaleness time.Duration
	// EraHeard, if not nil, is called when another node tells of a later era of the
	// platform, by a goroutine of its own.
	EraAdvanced func(era uint64)
	// Exposure bounds what a version gets that an operator has ordered to be rolled out. Zero
	// means that no orders are read.
	Exposure rollout.Exposure
	// Topics, if not nil, answer the control requests of other parts of the node, by topic.
	// They are called by many goroutines, and must not wait.
	Topics map[string]func(from peer.Hello, payload []byte) ([]byte, error)
	// Quarantine, if not nil, takes in what nodes report of requests that end upstreams.
	Quarantine *quarantine.Index
	// Timing are the periods of the work.
	Timing Timing
	// Budget is what comparisons and pushes of records cost.
	Budget *watch.Budget
	// Limits bounds the control connections.
	Limits peer.Limits
	// Counters, if not nil, counts their traffic.
	Counters *peer.Counters
	// Log takes the events.
	Log zerolog.Logger
	// Published is called with each new snapshot, by the goroutine that owns
	// the state.
	Published func(*Snapshot)

	initOnce       sync.Once
	jobs           chan func()
	done           chan struct{}
	snapshot       atomic.Pointer[Snapshot]
	representative atomic.Pointer[representative.Representative]
	proofs         atomic.Pointer[freshness.Proofs]
	// compareSoon is whether the next comparison does not wait for its turn.
	compareSoon atomic.Bool

	// The goroutine of Run owns what follows.
	self           member.Record
	members        reconcile.Exchange[member.Record]
	configs        reconcile.Exchange[acceptance.Config]
	reports        reconcile.Exchange[quarantine.Report]
	byService      map[string]map[string]member.Record
	table          *routes.Table                 // in force, or nil
	rollouts       map[string]rollout.LocalState // by service
	evacuated      evacuation.Set
	zoneState      evacuation.State
	live           int // live nodes, this one included
	zonePeers      int // those in the node's own zone, without this one
	dirty          map[string]bool
	neighbours     neighbour.Set
	clients        map[string]*peer.Client
	reads          *configsync.State // of the table, if there is a Template
	nextChanged    chan struct{}
	freshness      *tableFreshness // of the table, if there is a Clock
	lastRoleAt     time.Time       // when lastPlace was found
	lastRole       configsync.Role
	publishLimiter publishLimiter
	fetching       bool // whether a table is being fetched
	comparing      bool
	suspects       map[string]time.Time // until when, by node
	searches       rejoin.Searches
	activeSearches int // addresses that are being asked at
	random         *rand.Rand
}

// init makes the state once.
func (c *Control) init() {
	c.initOnce.Do(func() {
		c.Timing = c.Timing.withDefaults()
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
			Do:      c.do,
		}
		if c.Quarantine == nil {
			c.Quarantine = new(quarantine.Index)
		}
		c.reports = c.newReports()
		c.snapshot.Store(&Snapshot{
			Services:  map[string]*entry.Service{},
			Sequences: map[string]uint64{},
		})
		c.nextChanged = make(chan struct{}, 1)
		if c.ServiceConfig != nil {
			c.reads = configsync.New(cmp.Or(c.MaxPropagationDelay, defaultWithin), time.Now(), c.random)
		}
		c.initFreshness()
		c.self = c.Self.NextIncarnation(member.Record{}, time.Now())
		c.members.Put(c.self)
	})
}

// defaultWithin is the usual time within which a change is in force everywhere.
const defaultWithin = 2 * time.Second

// jobQueue is the number of jobs that may wait for the goroutine that owns the
// state.
const jobQueue = 256

// Snapshot returns what is known and in force now.
func (c *Control) Snapshot() *Snapshot {
	c.init()
	return c.snapshot.Load()
}

// Represents returns whether this node holds its zone's lease, as far as it
// knows.
func (c *Control) IsRepresentative() bool {
	r := c.representative.Load()
	return r != nil && r.HoldsLease()
}

// Run keeps the state until ctx ends. It then tells a few peers that the node
// has left.
func (c *Control) Run(ctx context.Context) {
	c.init()
	var work sync.WaitGroup
	defer work.Wait()
	defer close(c.done) // which lets the work end that waits for this goroutine
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

// publishInPace does what publish does, unless that has taken too much of the time lately.
func (c *Control) publishLimited() {
	began := time.Now()
	if len(c.dirty) > 0 && !c.publishLimiter.allow(began) {
		return
	}
	c.publish()
	c.publishLimiter.record(began, time.Now())
}

// publish makes a new snapshot if something has changed.
func (c *Control) publish() {
	c.applyZones(time.Now()) // some are retained for a time only
	c.endPreferences(time.Now())
	last := c.snapshot.Load().Evacuated
	if len(c.dirty) > 0 || c.evacuated.At != last.At || !c.evacuated.SameZones(last) {
		c.rebuild()
	}
}

// errStopped is the failure of what is asked of a state whose goroutine has ended.
var errStopped = eris.New("control stopped")

// do has f run by the goroutine that owns the state, and waits for it. It
// returns false if that goroutine has ended.
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

// Announce says what the node's upstream is now.
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

// CompareSoon has the state compared with a neighbour's at the next push, and not only when that is
// due.
func (c *Control) TriggerComparison() { c.compareSoon.Store(true) }

// setSelf replaces the node's own record.
func (c *Control) setSelf(r member.Record) {
	c.self = r
	c.members.Put(r)
}

// memberChanged takes in a change of a member's record.
func (c *Control) memberChanged(old, r member.Record) {
	c.indexMember(old, r)
	if r.ID != c.self.ID {
		c.updateSearch(old, r)
	}
	if r.Live() && !wasLive(old) && r.ID != c.self.ID {
		c.neighbours.Consider(r, c.nodeCounts())
	}
	if r.ID == c.self.ID && c.self.GossipVersion().Less(r.GossipVersion()) {
		// Somebody knows a later word than this node's own: one from before its
		// restart, or its tombstone.
		c.Log.Info().Str("heard", string(r.State)).Msg("taking a higher incarnation")
		c.setSelf(c.self.NextIncarnation(r, time.Now()))
	}
}

// wasLive returns whether a record was there and live.
func wasLive(old member.Record) bool { return old.ID != "" && old.Live() }

// configChanged takes in a change of a configuration.
func (c *Control) configChanged(_, r acceptance.Config) {
	switch r.Name {
	case acceptance.Whole:
		c.tableChanged(r)
		return
	case acceptance.Evacuated:
		c.zonesChanged(r)
		return
	case acceptance.Retained:
		c.retainedChanged(r)
		return
	}
	if r.IsRollout() {
		c.rolloutChanged(r)
		return
	}
	if zone, ok := r.Stood(); ok {
		c.seenChanged(r, zone)
		return
	}
	c.dirty[r.Name] = true
	c.Log.Info().Str("service", r.Name).Uint64("sequence", r.Sequence).Bool("deleted", r.Deleted).Msg("configuration in force")
}

// expire drops the records of nodes that are gone for long, and reports that count no
// more.
func (c *Control) expire() {
	now := time.Now()
	c.expireReports(now)
	for r := range c.members.Set.All {
		if r.Expired(now) {
			c.members.Set.Remove(r.ID)
		}
	}
}

// farewell bounds the last push of a node that stops: some of its neighbours may
// be gone, and the process has to end in time.
const leaveTimeout = 400 * time.Millisecond

// leave tells a few peers that the node has left.
func (c *Control) leave() {
	c.setSelf(c.self.WithState(member.Left))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.push(ctx).Wait()
	for _, client := range c.clients {
		client.Close()
	}
}
