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

// bootstrap fetches the state of a first peer. It retries until one has responded or this node
// has met others in another way. The first node of a system retries for a long time, so a
// representative does so seldom. A node that is itself a first peer retries until it knows the
// other first peers, because other nodes may have met them before.
func (c *Control) bootstrap(ctx context.Context) {
	contacts := slices.Clone(c.Contacts) // others have the same contacts
	rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	first := slices.Contains(contacts, c.Self.Addr)
	for n := 0; ctx.Err() == nil; n++ {
		fetched := c.FetchState(ctx, contacts) || c.API != nil && c.bootstrapFromLeases(ctx)
		if first {
			contacts = c.UnknownAddresses(contacts)
		}
		if first && len(contacts) == 0 || !first && (fetched || !c.Isolated()) {
			return
		}
		pause := objectapi.Backoff(n, nil)
		if c.IsRepresentative() {
			pause = max(pause, c.Timing.Lease)
		}
		sleep.For(ctx, pause)
	}
}

// bootstrapFromLeases fetches the state of a contact of the representative of this node's zone,
// or of another zone's, and returns whether one responded.
func (c *Control) bootstrapFromLeases(ctx context.Context) bool {
	s, ok := c.readLease(ctx, c.Self.Zone)
	if ok && c.FetchState(ctx, s.Contacts) {
		return true
	}
	l, err := c.API.List(ctx, operator.KindRepresentative)
	if err != nil {
		c.Log.Debug().Err(err).Msg("failed to list leases")
		return false
	}
	rand.Shuffle(len(l.Items), func(i, j int) { l.Items[i], l.Items[j] = l.Items[j], l.Items[i] })
	for _, o := range l.Items {
		s, err := objectapi.DecodeSpec[operator.Representative](o)
		if err == nil && c.FetchState(ctx, s.Contacts) {
			return true
		}
	}
	return false
}

// FetchState tries the addresses in turn until it has fetched the state of one node, and returns
// whether it has.
func (c *Control) FetchState(ctx context.Context, addrs []string) bool {
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
			c.Log.Info().Str("peer", addr).Msg("state fetched from a peer")
			return true
		}
		c.Log.Debug().Err(err).Str("peer", addr).Msg("failed to fetch state from a peer")
	}
	return false
}

// readLease returns the lease of a zone's representative, if there is one.
func (c *Control) readLease(ctx context.Context, zone string) (operator.Representative, bool) {
	o, err := c.API.Get(ctx, operator.KindRepresentative, zone)
	if err != nil {
		c.Log.Debug().Err(err).Str("zone", zone).Msg("failed to read lease")
		return operator.Representative{}, false
	}
	s, err := objectapi.DecodeSpec[operator.Representative](o)
	if err != nil {
		c.Log.Warn().Err(err).Str("zone", zone).Msg("invalid lease object")
	}
	return s, err == nil
}

// Isolated returns whether the node knows no other node.
func (c *Control) Isolated() (isolated bool) {
	c.init()
	c.do(func() { isolated = c.live <= 1 })
	return isolated
}

// Nodes returns the number of live nodes in the current snapshot.
func (c *Control) Nodes() int { return c.Snapshot().Members }

// Members returns the live nodes that this node knows, itself included.
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

// UnknownAddresses returns the addresses that belong to no known node.
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
