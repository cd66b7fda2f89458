// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"math/rand/v2"
	"slices"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/member"
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
		fetched := c.LearnFrom(ctx, contacts) || c.API != nil && c.bootstrapFromLeases(ctx)
		if first {
			contacts = c.UnknownAddresses(contacts)
		}
		if first && len(contacts) == 0 || !first && (fetched || !c.Alone()) {
			return
		}
		pause := objectapi.Backoff(n, nil)
		if c.IsRepresentative() {
			pause = max(pause, c.Timing.Lease)
		}
		sleep.For(ctx, pause)
	}
}

// learnFromLeases learns from a contact of the representative of this node's zone,
// or of another zone's, and returns whether one answered.
func (c *Control) bootstrapFromLeases(ctx context.Context) bool {
	s, ok := c.readLease(ctx, c.Self.Zone)
	if ok && c.LearnFrom(ctx, s.Contacts) {
		return true
	}
	l, err := c.API.List(ctx, operator.KindRepresentative)
	if err != nil {
		c.Log.Debug().Err(err).Msg("leases not read")
		return false
	}
	rand.Shuffle(len(l.Items), func(i, j int) { l.Items[i], l.Items[j] = l.Items[j], l.Items[i] })
	for _, o := range l.Items {
		s, err := objectapi.SpecOf[operator.Representative](o)
		if err == nil && c.LearnFrom(ctx, s.Contacts) {
			return true
		}
	}
	return false
}

// LearnFrom learns from each of some addresses until one answers, and returns whether one did.
func (c *Control) LearnFrom(ctx context.Context, addrs []string) bool {
	c.init()
	for _, addr := range addrs {
		if addr == c.Self.Addr {
			continue
		}
		var p *peer.Client
		var release func()
		if !c.do(func() { p, release = c.temporaryClient(addr) }) {
			return false
		}
		ctx, cancel := context.WithTimeout(ctx, 4*compareTimeout)
		err := c.fetchState(ctx, p)
		cancel()
		release()
		if err == nil {
			c.Log.Info().Str("peer", addr).Msg("learnt from a first peer")
			return true
		}
		c.Log.Debug().Err(err).Str("peer", addr).Msg("not learnt from a first peer")
	}
	return false
}

// readLease returns the lease of a zone's representative, if there is one.
func (c *Control) readLease(ctx context.Context, zone string) (operator.Representative, bool) {
	o, err := c.API.Get(ctx, operator.KindRepresentative, zone)
	if err != nil {
		c.Log.Debug().Err(err).Str("zone", zone).Msg("lease not read")
		return operator.Representative{}, false
	}
	s, err := objectapi.SpecOf[operator.Representative](o)
	if err != nil {
		c.Log.Warn().Err(err).Str("zone", zone).Msg("lease can't be read")
	}
	return s, err == nil
}

// Alone returns whether this node knows no other.
func (c *Control) Alone() (alone bool) {
	c.init()
	c.do(func() { alone = c.live <= 1 })
	return alone
}

// Nodes returns the number of live nodes that traffic knows.
func (c *Control) Nodes() int { return c.Snapshot().Members }

// Members returns the live nodes that this one knows, itself included.
func (c *Control) Members() (list []member.Record) {
	c.init()
	c.do(func() {
		for r := range c.members.Set.All {
			if r.Live() {
				list = append(list, r)
			}
		}
	})
	return list
}

// Unknown returns those of some addresses that no known node has.
func (c *Control) UnknownAddresses(addrs []string) []string {
	c.init()
	known := make(map[string]bool)
	c.do(func() {
		for r := range c.members.Set.All {
			known[r.Addr] = true
		}
	})
	return slices.DeleteFunc(addrs, func(a string) bool { return known[a] })
}
