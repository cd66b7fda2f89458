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
	// lookFirst is the wait between two looks into the book at the start, which
	// grows by lookGrowth each time up to lookOften for the first node of a zone. Others look
	// again after lookSeldom, once they know any.
	initialLookupInterval   = 500 * time.Millisecond
	firstNodeLookupInterval = 10 * time.Second
	lookupInterval          = 2 * time.Minute
	lookupIntervalGrowth    = 4
	// rankCheck is how often a node looks whether it has become the first of its zone,
	// which looks more often.
	rankCheckInterval = time.Second
	// tryAgain is the wait before the same addresses are tried again, and tries how
	// often they are tried, by a node that knew none to answer: at a start of all at
	// once, some are up a little later.
	joinRetryInterval = 150 * time.Millisecond
	maxJoinAttempts   = 4
	// joinAtOnce is the number of nodes that are joined after one look, and that are
	// tried at the same time.
	joinsPerLookup = 3
	// enough is the number of nodes in the book up to which others write
	// themselves in, and the number of those that are expected to where many start at once;
	// of a few, each does with the chance of registerChance. After a loss of power a
	// tenth of 200 nodes tells the others of all, each some ten of them: a few hundred
	// KB. Each entry costs a call, and is kept over restarts.
	targetEntries       = 24
	registerProbability = 0.25
	// registerAfter is the mean time after which a node that is not the first of its zone
	// decides on that: it then knows how many there are.
	meanRegisterDelay = 2 * time.Second
	// firstPeersTime is how long a node that has first peers waits for one to answer before
	// it looks into the book, and firstPeersCheck how often it looks whether one has. A
	// look is a call, and where all start at once beside an empty book, those that find
	// nobody write themselves in.
	firstPeerTimeout       = 400 * time.Millisecond
	firstPeerCheckInterval = 20 * time.Millisecond
	// seekEvery is the least time between the end of a look and one that Seek asks for.
	minTriggerInterval = 250 * time.Millisecond
)

// Directory is a book of contacts. A Book is one.
type Registry interface {
	// Addresses returns the addresses of other nodes, those to try first coming first.
	Addresses(ctx context.Context) []string
	// Register writes this node into the book, unless it stands there.
	Register(ctx context.Context)
	// Met takes in whether a node answered at an address.
	RecordReachability(ctx context.Context, addr string, answered bool)
}

// Node is what a Discovery needs of its node. The methods may be called from any goroutine.
type Node interface {
	// Alone returns whether the node knows no other, and Nodes how many it knows, itself
	// included.
	Isolated() bool
	Nodes() int
	// FirstOfZone returns whether the node looks after the book for its zone. One that knows
	// no other does.
	IsFirstInZone() bool
	// Unknown returns those of some addresses that no known node has.
	UnknownAddresses(addrs []string) []string
	// LearnFrom learns what a node at one of some addresses knows, and returns whether one
	// answered.
	FetchState(ctx context.Context, addrs []string) bool
}

// Discovery has a node find others by a book of contacts. The fields are set before Run.
type Discovery struct {
	// Book is where nodes stand.
	Registry Registry
	// Node is the node that looks for others.
	Node Node
	// FirstPeers is whether the node also asks first peers that its settings name.
	HasFirstPeers bool

	listed    atomic.Int32 // how many stood in the book at the latest look, or notLooked
	lookups   atomic.Int32 // so far
	once      sync.Once
	triggered chan struct{} // has a value when a look is asked for
}

// init makes the state once.
func (d *Discovery) init() {
	d.once.Do(func() { d.triggered = make(chan struct{}, 1) })
}

// Seek has the book looked into soon, whatever this node knows. It does not wait.
func (d *Discovery) Trigger() {
	d.init()
	select {
	case d.triggered <- struct{}{}:
	default:
	}
}

// Looks returns how often the book has been looked into and those who stood there asked, whether
// anybody stood there or not.
func (d *Discovery) Lookups() int { return int(d.lookups.Load()) }

// notLooked is the number of listed nodes before the first look.
const noLookup = -1

// Run looks into the book for nodes that this one does not know, and learns from
// some of them, time and again until ctx ends: two groups of nodes that have met only among
// themselves, as may happen at a start of all at once or after a partition, would
// otherwise never hear of each other. The first node of each zone in each group stands
// in the book and looks into it.
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

// awaitFirstPeer waits until a first peer has answered, but not for long.
func (d *Discovery) awaitFirstPeer(ctx context.Context) {
	for began := time.Now(); d.HasFirstPeers && time.Since(began) < firstPeerTimeout && ctx.Err() == nil && d.Node.Isolated(); {
		sleep.For(ctx, firstPeerCheckInterval)
	}
}

// look returns the addresses in the book.
func (d *Discovery) lookup(ctx context.Context) []string {
	addrs := d.Registry.Addresses(ctx)
	d.listed.Store(int32(len(addrs)))
	return addrs
}

// join looks into the book and learns from some nodes there that this one does not know.
func (d *Discovery) join(ctx context.Context) {
	addrs := d.lookup(ctx)
	d.joinSome(ctx, d.Node.UnknownAddresses(slices.Clone(addrs)))
	for attempt := 1; attempt < maxJoinAttempts && len(addrs) > 0 && d.Node.Isolated() && ctx.Err() == nil; attempt++ {
		sleep.For(ctx, joinRetryInterval/2+rand.N(joinRetryInterval))
		d.joinSome(ctx, d.Node.UnknownAddresses(slices.Clone(addrs)))
	}
	d.lookups.Add(1)
}

// joinSome learns from a few of some addresses that answer. Several are tried at
// once: those of instances that are gone are silent for as long as the opening of
// a connection may take.
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
					continue // learnt of meanwhile
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

// registerLate writes this node into the book, some time after its start, if it is drawn. Only
// one that is drawn looks whether enough stand there, if it has not looked yet.
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

// registers returns whether a node that is not the first of its zone writes itself into the
// book, given how many nodes it knows, how many stand there, and a draw within 0 and 1: of
// all that start at once some enough do, however many they are.
func shouldRegister(nodes, listed int, draw float64) bool {
	probability := min(registerProbability, targetEntries/float64(max(1, nodes)))
	return listed < targetEntries && draw < probability
}

// registersAsFirst returns whether this node writes itself into the book after look n, from 0,
// as the first of its zone or as one that knows no other. At a start of all at once nobody
// stands there, and the first ones that have waited for a moment are enough.
func (d *Discovery) shouldRegisterAsFirst(n int) bool {
	if n == 0 && d.Node.Isolated() {
		return false
	}
	return d.Node.IsFirstInZone()
}

// rest waits until the next look: for about the given time at the first node of a zone, and
// for long at another, unless Seek is called.
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

// await waits for the given time, or until Seek is called, which it returns.
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
