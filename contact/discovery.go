// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package contact

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasfront.example/internal/sleep"
)

const (
	// initialLookupInterval is the time between two lookups after the start. It grows by the
	// factor lookupIntervalGrowth each time, up to firstNodeLookupInterval, for the first node
	// of a zone. Other nodes wait for lookupInterval once they know any.
	initialLookupInterval   = 500 * time.Millisecond
	firstNodeLookupInterval = 10 * time.Second
	lookupInterval          = 2 * time.Minute
	lookupIntervalGrowth    = 4
	// rankCheckInterval is how often a node checks whether it has become the first of its
	// zone, which does more lookups.
	rankCheckInterval = time.Second
	// joinRetryInterval is the mean time before a node that knows no other contacts the same
	// addresses again, and maxJoinAttempts how often it contacts them in all: if all nodes
	// start at once, some are up a little later.
	joinRetryInterval = 150 * time.Millisecond
	maxJoinAttempts   = 4
	// joinsPerLookup is the number of nodes that are joined after a lookup, and that are
	// contacted at the same time.
	joinsPerLookup = 3
	// targetEntries is the number of entries up to which nodes register that are not the
	// first of their zones, and the number of those that are expected to if many start at
	// once; if only a few start, each does with a probability of registerProbability. After
	// a power failure a tenth of 200 nodes sends the others the addresses of all, each to
	// some ten of them: a few hundred KB. Each entry costs a call, and is kept over restarts.
	targetEntries       = 24
	registerProbability = 0.25
	// meanRegisterDelay is the mean time after which a node that is not the first of its
	// zone decides whether to register: by then it knows how many nodes there are.
	meanRegisterDelay = 2 * time.Second
	// firstPeerTimeout is how long a node that has first peers waits for one to answer before
	// its first lookup, and firstPeerCheckInterval how often it checks whether one has. A
	// lookup costs a call, and if all nodes start at once beside an empty registry, those
	// that find none register.
	firstPeerTimeout       = 400 * time.Millisecond
	firstPeerCheckInterval = 20 * time.Millisecond
	// minTriggerInterval is the minimum time between the end of a lookup and one that
	// Trigger requests.
	minTriggerInterval = 250 * time.Millisecond
)

// Registry is a registry of contacts. PlatformRegistry implements it.
type Registry interface {
	// Addresses returns the addresses of other nodes, in the order in which to contact them.
	Addresses(ctx context.Context) []string
	// Register writes this node's entry, unless it is up to date.
	Register(ctx context.Context)
	// RecordReachability records whether a node answered at an address.
	RecordReachability(ctx context.Context, addr string, answered bool)
}

// Node is the node that a Discovery works for. The methods may be called from any goroutine.
type Node interface {
	// Isolated returns whether the node knows no other, and Nodes how many it knows, itself
	// included.
	Isolated() bool
	Nodes() int
	// IsFirstInZone returns whether the node maintains the registry for its zone. A node that
	// knows no other does.
	IsFirstInZone() bool
	// UnknownAddresses returns those of some addresses that no known node has.
	UnknownAddresses(addrs []string) []string
	// FetchState fetches what the first node that answers at one of some addresses knows, and
	// returns whether one answered.
	FetchState(ctx context.Context, addrs []string) bool
}

// Discovery finds other nodes by a registry of contacts. The fields are set before Run.
type Discovery struct {
	// Registry holds the contacts.
	Registry Registry
	// Node is the node that is to find others.
	Node Node
	// HasFirstPeers is whether the node also contacts first peers from its settings.
	HasFirstPeers bool

	listed    atomic.Int32 // number of entries of others at the latest lookup, or noLookup
	lookups   atomic.Int32 // lookups after which the listed nodes have been contacted
	once      sync.Once
	triggered chan struct{} // has a value when a lookup is requested
}

// init initialises the state on the first call.
func (d *Discovery) init() {
	d.once.Do(func() { d.triggered = make(chan struct{}, 1) })
}

// Trigger requests a lookup soon, whatever this node knows. It does not wait for it.
func (d *Discovery) Trigger() {
	d.init()
	select {
	case d.triggered <- struct{}{}:
	default:
	}
}

// Lookups returns the number of lookups after which the listed nodes have been contacted, also
// of those that found none.
func (d *Discovery) Lookups() int { return int(d.lookups.Load()) }

// noLookup is the number of listed nodes before the first lookup.
const noLookup = -1

// Run looks up nodes that this one does not know and joins some of them, repeatedly until ctx
// ends: two groups of nodes that know only their own members, as may happen if all start at
// once or after a partition, would otherwise never discover each other. The first node of each
// zone in each group registers and repeats its lookups.
func (d *Discovery) Run(ctx context.Context) {
	d.init()
	d.listed.Store(noLookup)
	var late sync.WaitGroup
	defer late.Wait()
	late.Go(func() { d.registerLate(ctx) })
	d.awaitFirstPeer(ctx)
	pause := initialLookupInterval
	for n := 0; ctx.Err() == nil; n++ {
		if n > 0 || d.Node.Isolated() || d.Node.IsFirstInZone() {
			d.join(ctx)
		}
		if d.shouldRegisterAsFirst(n) {
			d.Registry.Register(ctx)
		}
		d.waitForNext(ctx, pause)
		pause = min(lookupIntervalGrowth*pause, firstNodeLookupInterval)
		if d.Node.Isolated() {
			pause = initialLookupInterval
		}
	}
}

// awaitFirstPeer waits until a first peer has answered, or firstPeerTimeout has passed.
func (d *Discovery) awaitFirstPeer(ctx context.Context) {
	for began := time.Now(); d.HasFirstPeers && time.Since(began) < firstPeerTimeout && ctx.Err() == nil && d.Node.Isolated(); {
		sleep.For(ctx, firstPeerCheckInterval)
	}
}

// lookup returns the addresses in the registry.
func (d *Discovery) lookup(ctx context.Context) []string {
	addrs := d.Registry.Addresses(ctx)
	d.listed.Store(int32(len(addrs)))
	return addrs
}

// join does a lookup and fetches the state of some of the listed nodes that this one does not
// know.
func (d *Discovery) join(ctx context.Context) {
	addrs := d.lookup(ctx)
	d.joinSome(ctx, d.Node.UnknownAddresses(slices.Clone(addrs)))
	for attempt := 1; attempt < maxJoinAttempts && len(addrs) > 0 && d.Node.Isolated() && ctx.Err() == nil; attempt++ {
		sleep.For(ctx, joinRetryInterval/2+rand.N(joinRetryInterval))
		d.joinSome(ctx, d.Node.UnknownAddresses(slices.Clone(addrs)))
	}
	d.lookups.Add(1)
}

// joinSome fetches the state of a few of the nodes that answer at some addresses. It contacts
// several at once, as those of removed instances don't answer for as long as opening a connection
// may take.
func (d *Discovery) joinSome(ctx context.Context, addrs []string) {
	var joined atomic.Int32
	untried := make(chan string, len(addrs))
	for _, a := range addrs {
		untried <- a
	}
	close(untried)
	var all sync.WaitGroup
	for range joinsPerLookup {
		all.Go(func() {
			for addr := range untried {
				if joined.Load() >= joinsPerLookup || ctx.Err() != nil {
					return
				}
				if joined.Load() > 0 && len(d.Node.UnknownAddresses([]string{addr})) == 0 {
					continue // discovered meanwhile
				}
				answered := d.Node.FetchState(ctx, []string{addr})
				if ctx.Err() == nil {
					d.Registry.RecordReachability(ctx, addr, answered)
				}
				if answered {
					joined.Add(1)
				}
			}
		})
	}
	all.Wait()
}

// registerLate registers this node some time after its start if it is selected at random. Only
// a node that is selected checks the number of entries, if it has done no lookup yet.
func (d *Discovery) registerLate(ctx context.Context) {
	sleep.For(ctx, meanRegisterDelay/2+rand.N(meanRegisterDelay))
	nodes := d.Node.Nodes()
	draw := rand.Float64()
	if ctx.Err() != nil || !shouldRegister(nodes, int(d.listed.Load()), draw) {
		return
	}
	if d.listed.Load() == noLookup {
		d.lookup(ctx)
	}
	if shouldRegister(nodes, int(d.listed.Load()), draw) {
		d.Registry.Register(ctx)
	}
}

// shouldRegister returns whether a node that is not the first of its zone registers, given how
// many nodes it knows, the number of entries, and a random number between 0 and 1: of all that
// start at once about targetEntries do, however many they are.
func shouldRegister(nodes, listed int, draw float64) bool {
	probability := min(registerProbability, targetEntries/float64(max(1, nodes)))
	return listed < targetEntries && draw < probability
}

// shouldRegisterAsFirst returns whether this node registers after lookup n, from 0, as the first
// of its zone or as one that knows no other. If all nodes start at once nobody is registered, and
// the first ones to have waited for a moment are enough.
func (d *Discovery) shouldRegisterAsFirst(n int) bool {
	if n == 0 && d.Node.Isolated() {
		return false
	}
	return d.Node.IsFirstInZone()
}

// waitForNext waits until the next lookup: about the given time at the first node of a zone, and
// about lookupInterval at another, unless Trigger is called.
func (d *Discovery) waitForNext(ctx context.Context, interval time.Duration) {
	interval = interval/2 + rand.N(interval)
	longInterval := lookupInterval/2 + rand.N(lookupInterval)
	began := time.Now()
	triggered := d.wait(ctx, interval)
	for !triggered && ctx.Err() == nil && !d.Node.IsFirstInZone() && time.Since(began) < longInterval {
		triggered = d.wait(ctx, rankCheckInterval)
	}
	if triggered {
		sleep.For(ctx, minTriggerInterval-time.Since(began))
	}
}

// wait waits for the given time, or until Trigger is called, and returns whether it was.
func (d *Discovery) wait(ctx context.Context, timeout time.Duration) (triggered bool) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-d.triggered:
		triggered = true
	}
	return triggered
}
