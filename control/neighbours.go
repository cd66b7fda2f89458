// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"slices"
	"time"

	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
)

const (
	// nearNeighbours and farNeighbours are the numbers of neighbours in the
	// node's own zone and elsewhere.
	nearNeighbours = 7
	farNeighbours  = 5
	// maxClients bounds the control connections that are kept.
	maxClients = 64
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
	limits := c.Limits
	limits.Idle = 30 * time.Second
	p := &peer.Client{
		Addr: addr,
		Hello: peer.Hello{
			Node:        c.self.ID,
			Incarnation: c.self.Incarnation,
			Zone:        c.self.Zone,
			Control:     true,
		},
		Limits:   limits,
		Counters: c.Counters,
	}
	c.clients[addr] = p
	return p
}

// release closes the connection to an address in a moment, unless a neighbour has it. Those
// whom all nodes meet at their start would hold one for each otherwise.
func (c *Control) release(addr string) {
	p := c.clients[addr]
	if p == nil || slices.ContainsFunc(c.neighbours, func(r member.Record) bool { return r.Addr == addr }) {
		return
	}
	time.AfterFunc(compareTimeout, p.Close)
	delete(c.clients, addr)
}

// turnOver replaces one neighbour and fills up their number. Changes and
// comparisons go to neighbours only, so that few connections are needed; as
// they change, what each node knows comes to each other.
func (c *Control) turnOver() {
	near, far := c.split()
	kept := slices.DeleteFunc(c.neighbours, func(r member.Record) bool {
		now, ok := c.members.Set.Get(r.ID)
		return !ok || !now.Live() || now.Addr != r.Addr
	})
	if len(kept) > 0 {
		i := c.random.IntN(len(kept))
		kept = slices.Delete(kept, i, i+1)
	}
	c.neighbours = kept
	c.fill(c.unsuspected(near), nearNeighbours, true)
	c.fill(c.unsuspected(far), farNeighbours, false)
}

// consider makes a node that has come up a neighbour, with the chance that each
// node of its kind has. Without it, nodes that start late would be nobody's
// neighbours for some time, and changes would reach them by comparisons only.
func (c *Control) consider(r member.Record) {
	c.neighbours = slices.DeleteFunc(c.neighbours, func(o member.Record) bool { return o.ID == r.ID })
	near := r.Zone == c.self.Zone
	quota, known := farNeighbours, c.live-c.near-1
	if near {
		quota, known = nearNeighbours, c.near
	}
	var places []int // of the neighbours of that kind
	for i, o := range c.neighbours {
		if (o.Zone == c.self.Zone) == near {
			places = append(places, i)
		}
	}
	switch {
	case len(places) < quota:
		c.neighbours = append(c.neighbours, r)
	case c.random.IntN(max(known, 1)) < quota:
		c.neighbours[places[c.random.IntN(len(places))]] = r
	}
}

// split returns the other live nodes, by whether they are in the node's zone.
func (c *Control) split() (near, far []member.Record) {
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

// fill adds neighbours from the list up to the given number.
func (c *Control) fill(list []member.Record, n int, near bool) {
	for _, r := range c.neighbours {
		if (r.Zone == c.self.Zone) == near {
			n--
		}
	}
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, r := range list {
		if n <= 0 {
			return
		}
		if !slices.ContainsFunc(c.neighbours, func(o member.Record) bool { return o.ID == r.ID }) {
			c.neighbours = append(c.neighbours, r)
			n--
		}
	}
}

// target is a neighbour to talk to.
type target struct {
	member.Record
	*peer.Client
}

// targets returns random neighbours, at most n.
func (c *Control) targets(n int) []target {
	if len(c.neighbours) < min(n, c.live-1) {
		c.turnOver()
	}
	c.random.Shuffle(len(c.neighbours), func(i, j int) {
		c.neighbours[i], c.neighbours[j] = c.neighbours[j], c.neighbours[i]
	})
	var list []target
	for _, r := range c.neighbours[:min(n, len(c.neighbours))] {
		list = append(list, target{
			Record: r,
			Client: c.client(r.Addr),
		})
	}
	return list
}

// dropNeighbour forgets a neighbour that does not answer, and suspects it for a
// while.
func (c *Control) dropNeighbour(id string) {
	c.neighbours = slices.DeleteFunc(c.neighbours, func(r member.Record) bool { return r.ID == id })
	c.suspect([]string{id})
}
