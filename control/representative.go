// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"slices"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/representative"
)

// newRepresentative returns the representative of this node's zone.
func (c *Control) newRepresentative() *representative.Representative {
	return &representative.Representative{
		Node:          representativeNode{c},
		Zone:          c.Self.Zone,
		API:           c.API,
		Lease:         c.Timing.Lease,
		ZoneDiscovery: c.Timing.ZoneDiscovery,
		TakeoverDelay: c.Timing.TakeoverDelay,
		Log:           c.Log,
	}
}

// representativeNode implements representative.Node.
type representativeNode struct {
	c *Control
}

// Self implements representative.Node.
func (r representativeNode) Self() (self member.Record) {
	r.c.do(func() { self = r.c.self })
	return self
}

// Rank implements representative.Node.
func (r representativeNode) Rank() (rank, nodes int) {
	r.c.do(func() { rank, nodes = r.c.zoneRank() })
	return rank, nodes
}

// ProbeCandidates implements representative.Node.
func (r representativeNode) ProbeCandidates(ctx context.Context) { r.c.probeCandidates(ctx) }

// Knows implements representative.Node.
func (r representativeNode) Knows(id string) (known bool) {
	r.c.do(func() {
		m, ok := r.c.members.Set.Get(id)
		known = r.c.live > 1 && (ok && m.Live() || id == "")
	})
	return known
}

// FetchState implements representative.Node.
func (r representativeNode) FetchState(ctx context.Context, addrs []string) bool {
	return r.c.FetchState(ctx, addrs)
}

// Addresses implements representative.Node. Neighbours come first, because a neighbour that
// does not respond is soon replaced.
func (r representativeNode) Addresses(n int) (list []string) {
	c := r.c
	c.do(func() {
		near, _ := c.splitByZone()
		c.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
		list = append(list, c.self.Addr)
		for _, m := range append(slices.Clone(c.neighbours.All()), near...) {
			if len(list) < n && !slices.Contains(list, m.Addr) {
				list = append(list, m.Addr)
			}
		}
	})
	return list
}

// ZonePeers implements representative.Node.
func (r representativeNode) ZonePeers() (near []member.Record) {
	r.c.do(func() { near, _ = r.c.splitByZone() })
	return near
}

// ZoneSize implements representative.Node.
func (r representativeNode) ZoneSize() (n int) {
	r.c.do(func() { n = r.c.zonePeers + 1 })
	return n
}

// OtherZones implements representative.Node.
func (r representativeNode) OtherZones() (zones []string) {
	r.c.do(func() {
		_, far := r.c.splitByZone()
		for _, m := range far {
			zones = append(zones, m.Zone)
		}
	})
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Sweep implements representative.Node.
func (r representativeNode) Sweep(ctx context.Context) { newSweeper(r.c).run(ctx) }

// ActiveServices implements representative.Node.
func (r representativeNode) ActiveServices() map[string]bool {
	names := make(map[string]bool)
	r.c.do(func() {
		for config := range r.c.configs.Set.All {
			if !config.Deleted {
				names[config.Name] = true
			}
		}
	})
	return names
}

// HostOwner implements representative.Node.
func (r representativeNode) HostOwner(host string) string {
	if s := r.c.Snapshot().Lookup(host); s != nil {
		return s.Name
	}
	return ""
}

// ApplyConfig implements representative.Node.
func (r representativeNode) ApplyConfig(config acceptance.Config) {
	r.c.do(func() { r.c.configs.Put(config) })
}

// Sequence implements representative.Node.
func (r representativeNode) Sequence(service string) (sequence uint64) {
	r.c.do(func() {
		config, _ := r.c.configs.Set.Get(service)
		sequence = config.Sequence
	})
	return sequence
}

// SequenceAt implements representative.Node.
func (r representativeNode) SequenceAt(ctx context.Context, m member.Record, service string) (uint64, error) {
	var p *peer.Client
	r.c.do(func() { p = r.c.client(m.Addr) })
	reply, err := peer.SendRequest[sequenceQuery, sequenceReply](ctx, p, topicSequence, sequenceQuery{Service: service})
	return reply.Sequence, err
}

// Upstreams implements representative.Node.
func (r representativeNode) Upstreams(service string) (n int) {
	r.c.do(func() {
		for _, m := range r.c.byService[service] {
			if m.Zone == r.c.self.Zone {
				n++
			}
		}
	})
	return n
}
