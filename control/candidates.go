// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"slices"
	"time"

	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
)

// zoneRank returns this node's rank among the live nodes of its zone, and their number. Suspected
// nodes are ignored. Nodes that cannot reach the platform rank after those that can.
func (c *Control) zoneRank() (rank, nodes int) {
	ids := c.candidateIDs()
	reachable := slices.DeleteFunc(slices.Clone(ids), c.platformUnreachable)
	switch {
	case c.self.PlatformUnreachable && len(reachable) > 0:
		return len(reachable), len(ids) + 1
	case c.self.PlatformUnreachable:
		return member.RendezvousRank(c.self.Zone, c.self.ID, ids), len(ids) + 1
	}
	return member.RendezvousRank(c.self.Zone, c.self.ID, reachable), len(ids) + 1
}

// platformUnreachable returns whether a node has announced that it cannot reach the platform.
func (c *Control) platformUnreachable(id string) bool {
	r, _ := c.members.Set.Get(id)
	return r.PlatformUnreachable
}

// candidateIDs returns the other live nodes of the zone that are not suspected.
func (c *Control) candidateIDs() []string {
	near, _ := c.splitByZone()
	now := time.Now()
	var ids []string
	for _, r := range near {
		if now.After(c.suspects[r.ID]) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

const (
	// suspicionTimeout is how long a node that did not respond is suspected.
	suspicionTimeout = time.Minute
	// topicCandidates sends the list of suspected nodes to a candidate.
	topicCandidates = "candidates"
)

// suspectList names nodes that did not respond.
type suspectList struct {
	Nodes []string `msgpack:"nodes"`
}

// suspect records that some nodes did not respond.
func (c *Control) suspect(ids []string) {
	for _, id := range ids {
		if id != c.self.ID {
			now := time.Now()
			c.suspects[id] = now.Add(suspicionTimeout)
			c.searches.StartUnresponsive(id, now)
		}
	}
}

// probeCandidates probes the candidates in their order until one responds, and sends it the list of
// those before it that did not. All candidates may have failed at once, and the nodes after them
// would not know that they have to take over. Only a few nodes of each zone probe in each period, so
// the cost does not grow with the zone.
func (c *Control) probeCandidates(ctx context.Context) {
	var ids []string
	c.do(func() { ids = member.RendezvousOrder(c.self.Zone, c.candidateIDs()) })
	var silent []string
	for _, id := range ids {
		err := c.probeCandidate(ctx, id, silent)
		if err == nil || ctx.Err() != nil {
			break
		}
		silent = append(silent, id)
	}
	c.do(func() { c.suspect(silent) })
}

// probeCandidate sends the list of suspected nodes to a node. An error means that it did not respond.
func (c *Control) probeCandidate(ctx context.Context, id string, silent []string) error {
	var p *peer.Client
	c.do(func() {
		if r, ok := c.members.Set.Get(id); ok {
			p = c.client(r.Addr)
		}
	})
	if p == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := peer.SendRequest[suspectList, struct{}](ctx, p, topicCandidates, suspectList{Nodes: silent})
	return err
}

// RendezvousTop returns the first n nodes in the order of rendezvous hashing for a subject, among
// the known nodes that are live and not draining. It may include this node. Suspected nodes are
// included: each node has its own suspects, and all nodes must choose the same ones.
func (c *Control) RendezvousTop(subject string, n int) []member.Record {
	c.init()
	var list []member.Record
	c.do(func() {
		var ids []string
		for r := range c.members.Set.All {
			if r.Live() && r.State != member.Draining {
				ids = append(ids, r.ID)
			}
		}
		for _, id := range member.RendezvousTop(subject, ids, n) {
			r, _ := c.members.Set.Get(id)
			list = append(list, r)
		}
	})
	return list
}
