// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"time"

	"sassafrasfront.example/member"
	"sassafrasfront.example/neighbour"
	"sassafrasfront.example/peer"
)

const (
	// maxClients is the maximum number of control connections that are kept.
	maxClients = 64
	// controlIdleTimeout is how long a control connection is kept that is not used.
	controlIdleTimeout = 30 * time.Second
)

// client returns the client for control requests to an address.
func (c *Control) client(addr string) *peer.Client {
	if p := c.clients[addr]; p != nil {
		return p
	}
	if len(c.clients) >= maxClients {
		for other := range c.clients {
			c.release(other)
		}
	}
	p := c.newClient(addr)
	c.clients[addr] = p
	return p
}

// newClient returns a client for control requests to an address, without keeping it.
func (c *Control) newClient(addr string) *peer.Client {
	limits := c.Limits
	limits.IdleTimeout = controlIdleTimeout
	return &peer.Client{
		Addr: addr,
		Hello: peer.Hello{
			Node:        c.self.ID,
			Incarnation: c.self.Incarnation,
			Zone:        c.self.Zone,
			Control:     true,
		},
		Limits:    limits,
		Counters:  c.Counters,
		Dial:      c.Dial,
		OnSilence: func(e *peer.SilenceError) { c.connectionSilent(addr, e) },
	}
}

// connectionSilent handles a control connection that is silent.
func (c *Control) connectionSilent(addr string, e *peer.SilenceError) {
	c.Log.Warn().Str("to", addr).Dur("silenceMs", e.Silence).Int("pending", e.Pending).Int("pings", e.Pings).Uint64("bytesWritten", e.BytesWritten).Dur("checkDelayMs", e.CheckDelay).Msg("control connection silent")
	if c.ConnectionSilent != nil {
		c.ConnectionSilent()
	}
	go c.ProbeConnections()
}

// probeInterval is the least time between two checks of all control connections.
const probeInterval = time.Second

// ProbeConnections checks whether the other nodes still respond on the open control connections: what has silenced one
// may have silenced several at once. They are then replaced before a change of the configuration is sent there.
func (c *Control) ProbeConnections() {
	c.init()
	c.do(func() {
		now := time.Now()
		if now.Sub(c.probedAt) < probeInterval {
			return
		}
		c.probedAt = now
		for _, p := range c.clients {
			p.Probe()
		}
	})
}

// temporaryClient returns a client to fetch the state of the node at an address, and a function
// that releases it. The release closes the connection at once, unless it is to a neighbour. Many
// starting nodes connect to the same few nodes, which would otherwise keep a connection to each of
// them after it is no longer needed.
func (c *Control) temporaryClient(addr string) (p *peer.Client, release func()) {
	if p := c.clients[addr]; p != nil {
		return p, func() {}
	}
	p = c.newClient(addr)
	return p, func() {
		kept := false
		c.do(func() {
			if kept = c.clients[addr] == nil && c.neighbours.HasAddress(addr); kept {
				c.clients[addr] = p
			}
		})
		if !kept {
			p.Close()
		}
	}
}

// release closes the connection to an address after a delay, unless it is a neighbour's.
func (c *Control) release(addr string) {
	p := c.clients[addr]
	if p == nil || c.neighbours.HasAddress(addr) {
		return
	}
	time.AfterFunc(compareTimeout, p.Close)
	delete(c.clients, addr)
}

// rotateNeighbours replaces one neighbour and fills up the number of neighbours.
func (c *Control) rotateNeighbours() {
	near, far := c.splitByZone()
	c.neighbours.TurnOver(func(r member.Record) bool {
		current, ok := c.members.Set.Get(r.ID)
		return ok && current.Live() && current.Addr == r.Addr
	}, c.unsuspected(near), c.unsuspected(far))
}

// nodeCounts returns the numbers of other live nodes.
func (c *Control) nodeCounts() neighbour.NodeCounts {
	return neighbour.NodeCounts{
		Near: c.zonePeers,
		Far:  c.live - c.zonePeers - 1,
	}
}

// splitByZone returns the other live nodes, those of the node's own zone first.
func (c *Control) splitByZone() (near, far []member.Record) {
	for r := range c.members.Set.All {
		switch {
		case r.ID == c.self.ID || !r.Live():
		case r.Zone == c.self.Zone:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	return near, far
}

// unsuspected returns the nodes that are not suspected, or all of them if all
// are.
func (c *Control) unsuspected(list []member.Record) []member.Record {
	now := time.Now()
	var good []member.Record
	for _, r := range list {
		if now.After(c.suspects[r.ID]) {
			good = append(good, r)
		}
	}
	if len(good) == 0 {
		return list
	}
	return good
}

// target is a neighbour to send requests to.
type target struct {
	member.Record
	*peer.Client
}

// targets returns the neighbours that choose selects. It first fills up the neighbours if there
// are fewer than n, or fewer than there could be.
func (c *Control) targets(n int, choose func() []member.Record) (list []target) {
	if c.neighbours.Len() < min(n, c.live-1) {
		c.rotateNeighbours()
	}
	for _, r := range choose() {
		list = append(list, target{
			Record: r,
			Client: c.client(r.Addr),
		})
	}
	return list
}

// dropNeighbour removes a neighbour that does not respond, and suspects it for a
// while.
func (c *Control) dropNeighbour(id string) {
	c.neighbours.Remove(id)
	c.suspect([]string{id})
}
