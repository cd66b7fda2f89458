// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"time"

	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
)

const (
	// searchTimeout bounds the request to one address, and maxSearches the number of concurrent
	// requests.
	searchTimeout = time.Second
	maxSearches   = 4
)

// updateSearch starts or ends the search for a member whose record has changed. A node that has
// left or was removed is searched for at its last address until it is live again.
func (c *Control) updateSearch(old, r member.Record) {
	switch {
	case r.Live() && r.Incarnation != old.Incarnation:
		c.searches.Stop(r.ID)
		delete(c.suspects, r.ID)
	case !r.Live():
		now := time.Now()
		c.searches.StartRemoved(r.ID, now.Sub(time.Unix(r.WrittenAt, 0)), now)
	}
}

// startSearches probes the last addresses of nodes that have left, were removed or do not respond,
// to find those that have started again. A node that responds learns of this node and compares its
// state with it.
func (c *Control) startSearches(ctx context.Context) {
	for _, id := range c.searches.Due(time.Now(), c.live, maxSearches-c.activeSearches) {
		r, ok := c.members.Set.Get(id)
		if !ok || c.addressTaken(r) {
			c.searches.Stop(id)
			continue
		}
		c.activeSearches++
		go func() {
			found := c.probeAddress(ctx, r)
			c.do(func() {
				c.activeSearches--
				if found {
					c.nodeFound(r)
				}
			})
		}()
	}
}

// nodeFound records that a node responds at the address of a record. The search continues while the
// node's record says that it has left or was removed, until a newer record arrives.
func (c *Control) nodeFound(r member.Record) {
	current, ok := c.members.Set.Get(r.ID)
	if !ok || !current.Live() {
		return
	}
	c.searches.Stop(r.ID)
	if _, suspected := c.suspects[r.ID]; suspected {
		delete(c.suspects, r.ID)
		c.neighbours.Consider(current, c.nodeCounts())
	}
}

// addressTaken returns whether another live node has the address of the record.
func (c *Control) addressTaken(r member.Record) bool {
	for o := range c.members.Set.All {
		if o.ID != r.ID && o.Addr == r.Addr && o.Live() {
			return true
		}
	}
	return false
}

// probeAddress introduces this node at the address of the record, and returns whether a node
// responds.
func (c *Control) probeAddress(ctx context.Context, r member.Record) bool {
	var p *peer.Client
	var release func()
	if !c.do(func() { p, release = c.temporaryClient(r.Addr) }) {
		return false
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	reply, err := c.introduceTo(ctx, p)
	if err != nil {
		c.Log.Debug().Err(err).Str("peer", r.ID).Msg("node not found at its last address")
		return false
	}
	c.Log.Info().Str("peer", r.ID).Str("address", r.Addr).Int("members", reply.Members).Msg("node found again")
	return true
}
