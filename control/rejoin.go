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
	// searchTimeout bounds the question to one address, and searchesAtOnce how many are asked at
	// the same time.
	searchTimeout = time.Second
	maxSearches   = 4
)

// searchChanged takes in a change of a member's record: a node that is gone is searched for, at the
// address of its last start, until it is live again.
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

// search asks at some addresses whether nodes that are gone have started again. Each that has
// learns of this node, and compares its state with it.
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

// found takes in that a node answers at the address of a record. One whose record says that it is
// gone is searched for until another record comes.
func (c *Control) nodeFound(r member.Record) {
	now, ok := c.members.Set.Get(r.ID)
	if !ok || !now.Live() {
		return
	}
	c.searches.Stop(r.ID)
	if _, suspected := c.suspects[r.ID]; suspected {
		delete(c.suspects, r.ID)
		c.neighbours.Consider(now, c.nodeCounts())
	}
}

// addressTaken returns whether another live node has the address of one that is gone.
func (c *Control) addressTaken(r member.Record) bool {
	for o := range c.members.Set.All {
		if o.ID != r.ID && o.Addr == r.Addr && o.Live() {
			return true
		}
	}
	return false
}

// searchAt introduces this node at the address of one that is gone, and returns whether it answers
// there.
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
		c.Log.Debug().Err(err).Str("peer", r.ID).Msg("node that is gone not found")
		return false
	}
	c.Log.Info().Str("peer", r.ID).Str("address", r.Addr).Int("members", reply.Members).Msg("node found again")
	return true
}
