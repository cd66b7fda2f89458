// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

const (
	// candidates is the number of nodes of a zone that look after its lease:
	// the first ones in an order that all nodes find alike. The others make no
	// calls to the platform at all.
	candidates = 3
	// contactCount is the number of addresses in a Steward object.
	contactCount = 8
)

// runSteward holds the zone's lease whenever this node can get it, and does the
// steward's work meanwhile.
func (c *Control) runSteward(ctx context.Context) {
	l := lease{
		control: c,
		wait:    c.Timing.Lease,
	}
	for ctx.Err() == nil {
		var rank, zone int
		c.do(func() { rank, zone = c.stewardRank() })
		switch {
		case rank < candidates:
			if l.acquire(ctx) {
				l.hold(ctx)
			}
		case rand.IntN(zone) < candidates:
			c.probeCandidates(ctx)
		}
		// The first in the order comes back soonest, so that those after it find
		// the lease renewed.
		pause := c.Timing.Lease * time.Duration(1+min(rank, candidates-1))
		sleep.For(ctx, pause-rand.N(pause/4))
	}
}

// lease is the lease of this node's zone as this node last saw it.
type lease struct {
	control *Control
	wait    time.Duration
	object  *objectapi.Object
	spec    operator.Steward
	since   time.Time // when the present number of renewals was first seen
}

// acquire takes the lease if there is none, or if it has not been renewed for
// its duration, as this node's clock measures it. It returns whether this node
// holds it now.
func (l *lease) acquire(ctx context.Context) bool {
	c := l.control
	o, err := c.API.Get(ctx, operator.KindSteward, c.Self.Zone)
	switch {
	case objectapi.IsNotFound(err):
		l.object = nil
		return l.write(ctx)
	case err != nil:
		return false
	}
	spec, err := objectapi.SpecOf[operator.Steward](o)
	if err != nil {
		c.Log.Error().Err(err).Msg("steward object can't be read")
		return false
	}
	if l.object == nil || o.Metadata.ResourceVersion != l.object.Metadata.ResourceVersion {
		l.since = time.Now()
	}
	l.object = o
	l.spec = spec
	if l.meet(ctx) {
		return false // with what it has learnt, it may not be this node's turn
	}
	// A holder that left in good order, or this node before its restart, is not
	// waited for.
	free := spec.Holder == "" || spec.Holder == c.Self.ID
	if !free && time.Since(l.since) < spec.Duration.Std() {
		return false
	}
	return l.write(ctx)
}

// meet learns from the contacts in the lease if this node knows nobody, or does
// not know the holder, and returns whether one answered. Without it, a node that
// took the lease before it knew the others could go on apart from them.
func (l *lease) meet(ctx context.Context) bool {
	c := l.control
	var known bool
	c.do(func() {
		r, ok := c.members.Set.Get(l.spec.Holder)
		known = c.live > 1 && (ok && r.Live() || l.spec.Holder == "")
	})
	return !known && c.learnFrom(ctx, l.spec.Contacts)
}

// write takes or renews the lease, and returns whether that succeeded.
func (l *lease) write(ctx context.Context) bool {
	c := l.control
	next := operator.Steward{
		Renewals: l.spec.Renewals + 1,
		Duration: operator.Duration(l.wait),
	}
	c.do(func() {
		next.Holder = c.self.ID
		next.Incarnation = c.self.Incarnation
		next.Contacts = c.contacts()
	})
	// A node that knows few others keeps the addresses that are there.
	for _, addr := range l.spec.Contacts {
		if len(next.Contacts) < contactCount && !slices.Contains(next.Contacts, addr) {
			next.Contacts = append(next.Contacts, addr)
		}
	}
	o := objectapi.NewObject(operator.KindSteward, c.Self.Zone, next)
	if l.object != nil {
		o = o.WithVersion(l.object.Metadata.ResourceVersion)
	}
	written, err := objectapi.Put(ctx, c.API, o)
	if err != nil {
		return false
	}
	l.object = written
	l.spec = next
	l.since = time.Now()
	return true
}

// contacts returns the addresses of this node and of some others. Neighbours go
// first: one that does not answer is soon none.
func (c *Control) contacts() []string {
	near, _ := c.split()
	c.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	list := []string{c.self.Addr}
	for _, r := range append(slices.Clone(c.neighbours), near...) {
		if len(list) < contactCount && !slices.Contains(list, r.Addr) {
			list = append(list, r.Addr)
		}
	}
	return list
}

// hold does the steward's work and renews the lease until it is lost to another
// node or ctx ends. While the platform is down the work goes on: it does no
// harm, as all that it writes it writes conditionally.
func (l *lease) hold(ctx context.Context) {
	c := l.control
	c.Log.Info().Msg("steward of the zone")
	c.steward.Store(true)
	defer c.steward.Store(false)
	work, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() { newStewardWork(c).run(work) })
	defer done.Wait()
	defer cancel()
	tick := time.NewTicker(l.wait / 3)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.giveBack()
			return
		case <-tick.C:
		}
		if !l.renew(ctx) {
			c.Log.Info().Str("holder", l.spec.Holder).Msg("no longer steward")
			return
		}
	}
}

// renew renews the lease. It returns false if another node holds it now.
func (l *lease) renew(ctx context.Context) bool {
	if l.write(ctx) {
		return true
	}
	o, err := l.control.API.Get(ctx, operator.KindSteward, l.control.Self.Zone)
	if err != nil {
		return true
	}
	spec, err := objectapi.SpecOf[operator.Steward](o)
	if err != nil {
		return true
	}
	l.object = o
	l.spec = spec
	return spec.Holder == l.control.Self.ID
}

// giveBack frees the lease, so that the next steward need not wait.
func (l *lease) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	next := l.spec
	next.Holder = ""
	o := objectapi.NewObject(operator.KindSteward, l.control.Self.Zone, next)
	_, _ = l.control.API.Update(ctx, o.WithVersion(l.object.Metadata.ResourceVersion))
}
