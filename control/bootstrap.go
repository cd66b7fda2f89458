// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
)

// bootstrap learns from a first peer. It goes on until one has answered, or this
// node has met others in another way. The first node of a system goes on for
// long, so as a representative it asks seldom. A node that is itself a first peer goes on until
// it knows the other ones: others may have met it before.
func (c *Control) bootstrap(ctx context.Context) {
	contacts := slices.Clone(c.Contacts) // others have the same ones
	rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	first := slices.Contains(contacts, c.Self.Addr)
	for n := 0; ctx.Err() == nil; n++ {
		learnt := c.learnFrom(ctx, contacts) || c.API != nil && c.learnFromLeases(ctx)
		if first {
			contacts = c.unknown(contacts)
		}
		if first && len(contacts) == 0 || !first && (learnt || !c.alone()) {
			return
		}
		pause := objectapi.Backoff(n, nil)
		if c.Represents() {
			pause = max(pause, c.Timing.Lease)
		}
		sleep.For(ctx, pause)
	}
}

// learnFromLeases learns from a contact of the representative of this node's zone,
// or of another zone's, and returns whether one answered.
func (c *Control) learnFromLeases(ctx context.Context) bool {
	s, ok := c.readLease(ctx, c.Self.Zone)
	if ok && c.learnFrom(ctx, s.Contacts) {
		return true
	}
	l, err := c.API.List(ctx, operator.KindRepresentative)
	if err != nil {
		return false
	}
	rand.Shuffle(len(l.Items), func(i, j int) { l.Items[i], l.Items[j] = l.Items[j], l.Items[i] })
	for _, o := range l.Items {
		s, err := objectapi.SpecOf[operator.Representative](o)
		if err == nil && c.learnFrom(ctx, s.Contacts) {
			return true
		}
	}
	return false
}

// learnFrom learns from each of some addresses until one answers, and returns whether one did.
func (c *Control) learnFrom(ctx context.Context, addrs []string) bool {
	for _, addr := range addrs {
		if addr == c.Self.Addr {
			continue
		}
		var p *peer.Client
		if !c.do(func() { p = c.client(addr) }) {
			return false
		}
		ctx, cancel := context.WithTimeout(ctx, 4*compareTimeout)
		err := c.learnBy(ctx, p)
		cancel()
		c.do(func() { c.release(addr) })
		if err == nil {
			c.Log.Info().Str("peer", addr).Msg("learnt from a first peer")
			return true
		}
	}
	return false
}

// readLease returns the lease of a zone's representative, if there is one.
func (c *Control) readLease(ctx context.Context, zone string) (operator.Representative, bool) {
	o, err := c.API.Get(ctx, operator.KindRepresentative, zone)
	if err != nil {
		return operator.Representative{}, false
	}
	s, err := objectapi.SpecOf[operator.Representative](o)
	return s, err == nil
}

const (
	// meetFirst is the wait between two looks into the book at the start, which
	// grows fourfold each time up to meetOften for the first node of a zone. Others look
	// again after meetSeldom, once they know any.
	meetFirst  = 500 * time.Millisecond
	meetOften  = 10 * time.Second
	meetSeldom = 2 * time.Minute
	meetGrowth = 4
	// meetCheck is how often a node looks whether it has become the first of its zone,
	// which looks more often.
	meetCheck = time.Second
	// meetAgain is the wait before the same addresses are tried again, and meetTries how
	// often they are tried, by a node that knew none to answer: at a start of all at
	// once, some are up a little later.
	meetAgain = 150 * time.Millisecond
	meetTries = 4
	// meetAtOnce is the number of nodes that are met after one look, and that are
	// tried at the same time.
	meetAtOnce = 3
	// enoughContacts is the number of nodes in the book up to which others write
	// themselves in, and the number of those that are expected to where many start at once;
	// of a few, each does with the chance of registerChance. After a loss of power a
	// tenth of 200 nodes tells the others of all, each some ten of them: a few hundred
	// KB. Each entry costs a call, and is kept over restarts.
	enoughContacts = 24
	registerChance = 0.25
	// firstPeersTime is how long a node that has first peers waits for one to answer before
	// it looks into the book, and firstPeersCheck how often it looks whether one has. A
	// look is a call, and where all start at once beside an empty book, those that find
	// nobody write themselves in.
	firstPeersTime  = 400 * time.Millisecond
	firstPeersCheck = 20 * time.Millisecond
	// registerAfter is the mean time after which a node that is not the first of its zone
	// decides on that: it then knows how many there are.
	registerAfter = 2 * time.Second
)

// meet looks into the book for nodes that this one does not know, and learns from
// some of them, time and again: two groups of nodes that have met only among
// themselves, as may happen at a start of all at once or after a partition, would
// otherwise never hear of each other. The first node of each zone in each group stands
// in the book and looks into it.
func (c *Control) meet(ctx context.Context) {
	var listed atomic.Int32 // at the latest look
	listed.Store(notLooked)
	var late sync.WaitGroup
	defer late.Wait()
	late.Go(func() { c.registerLate(ctx, &listed) })
	c.awaitFirstPeer(ctx)
	pause := meetFirst
	for n := 0; ctx.Err() == nil; n++ {
		if n > 0 || c.alone() || c.FirstOfZone() {
			c.lookAndMeet(ctx, &listed)
		}
		if c.registersAsFirst(n) {
			c.Register(ctx)
		}
		c.restUntilMeeting(ctx, pause)
		pause = min(meetGrowth*pause, meetOften)
		if c.alone() {
			pause = meetFirst
		}
	}
}

// notLooked is the number of nodes that are listed in the book before a look into it.
const notLooked = -1

// look returns the addresses in the book and stores their number.
func (c *Control) look(ctx context.Context, listed *atomic.Int32) []string {
	addrs := c.Book(ctx)
	listed.Store(int32(len(addrs)))
	return addrs
}

// lookAndMeet looks into the book and learns from some nodes there that this one does not know.
func (c *Control) lookAndMeet(ctx context.Context, listed *atomic.Int32) {
	addrs := c.look(ctx, listed)
	c.meetSome(ctx, c.unknown(slices.Clone(addrs)))
	for try := 1; try < meetTries && len(addrs) > 0 && c.alone() && ctx.Err() == nil; try++ {
		sleep.For(ctx, meetAgain/2+rand.N(meetAgain))
		c.meetSome(ctx, c.unknown(slices.Clone(addrs)))
	}
}

// awaitFirstPeer waits until a first peer has answered, but not for long.
func (c *Control) awaitFirstPeer(ctx context.Context) {
	if len(c.Contacts) == 0 {
		return
	}
	for began := time.Now(); time.Since(began) < firstPeersTime && ctx.Err() == nil && c.alone(); {
		sleep.For(ctx, firstPeersCheck)
	}
}

// registerLate writes this node into the book, some time after its start, if it is drawn. Only
// one that is drawn looks whether enough stand there, if it has not looked yet.
func (c *Control) registerLate(ctx context.Context, listed *atomic.Int32) {
	sleep.For(ctx, registerAfter/2+rand.N(registerAfter))
	nodes := c.Snapshot().Members
	draw := rand.Float64()
	if c.Register == nil || ctx.Err() != nil || !registers(nodes, int(listed.Load()), draw) {
		return
	}
	if listed.Load() == notLooked {
		c.look(ctx, listed)
	}
	if registers(nodes, int(listed.Load()), draw) {
		c.Register(ctx)
	}
}

// registers returns whether a node that is not the first of its zone writes itself into the
// book, given how many nodes it knows, how many stand there, and a draw within 0 and 1: of all that start at once
// some enoughContacts do, however many they are.
func registers(nodes, listed int, draw float64) bool {
	chance := min(registerChance, enoughContacts/float64(max(1, nodes)))
	return listed < enoughContacts && draw < chance
}

// registersAsFirst returns whether this node writes itself into the book after look n, from 0,
// as the first of its zone or as one that knows no other. At a start of all at once nobody
// stands there, and the first ones that have waited for a moment are enough.
func (c *Control) registersAsFirst(n int) bool {
	if c.Register == nil || n == 0 && c.alone() {
		return false
	}
	return c.FirstOfZone() // who knows no other is the first of its zone
}

// restUntilMeeting waits until the next look: for about the given time at the first
// node of a zone, and for long at another.
func (c *Control) restUntilMeeting(ctx context.Context, often time.Duration) {
	often = often/2 + rand.N(often)
	seldom := meetSeldom/2 + rand.N(meetSeldom)
	began := time.Now()
	sleep.For(ctx, often)
	for ctx.Err() == nil && !c.FirstOfZone() && time.Since(began) < seldom {
		sleep.For(ctx, meetCheck)
	}
}

// alone returns whether this node knows no other.
func (c *Control) alone() (alone bool) {
	c.do(func() { alone = c.live <= 1 })
	return alone
}

// unknown returns those of some addresses that no known node has.
func (c *Control) unknown(addrs []string) []string {
	known := make(map[string]bool)
	c.do(func() {
		for r := range c.members.Set.All {
			known[r.Addr] = true
		}
	})
	return slices.DeleteFunc(addrs, func(a string) bool { return known[a] })
}

// meetSome learns from a few of some addresses that answer. Several are tried at
// once: those of instances that are gone are silent for as long as the opening of
// a connection may take.
func (c *Control) meetSome(ctx context.Context, addrs []string) {
	var met atomic.Int32
	untried := make(chan string, len(addrs))
	for _, a := range addrs {
		untried <- a
	}
	close(untried)
	var all sync.WaitGroup
	for range meetAtOnce {
		all.Go(func() {
			for addr := range untried {
				if met.Load() >= meetAtOnce || ctx.Err() != nil {
					return
				}
				if met.Load() > 0 && len(c.unknown([]string{addr})) == 0 {
					continue // learnt of meanwhile
				}
				if c.meetOne(ctx, addr) {
					met.Add(1)
				}
			}
		})
	}
	all.Wait()
}

// meetOne learns from the node at an address, and returns whether one answered.
func (c *Control) meetOne(ctx context.Context, addr string) bool {
	answered := c.learnFrom(ctx, []string{addr})
	if c.Met != nil && ctx.Err() == nil {
		c.Met(ctx, addr, answered)
	}
	return answered
}
