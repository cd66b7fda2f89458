// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/configsync"
	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/routes"
)

// tableNode starts a node whose configuration is a table of routes and that finds others by a
// contact registry.
func (c *cluster) tableNode(id, zone string, addresses func() []string) *testNode {
	c.registry = staticRegistry(addresses)
	listener := c.listener()
	n := c.addAtWith(listener, id, zone, func(k *Control) {
		k.API = nil
		k.MaxPropagationDelay = 500 * time.Millisecond
		k.ServiceConfig = func(*routes.Table, string, int) operator.Service { return operator.Service{}.WithDefaults() }
	})
	return n
}

// staticRegistry is a contact registry that ignores registrations.
type staticRegistry func() []string

// Addresses implements contact.Registry.
func (l staticRegistry) Addresses(context.Context) []string { return l() }

// Register implements contact.Registry.
func (l staticRegistry) Register(context.Context) {}

// RecordReachability implements contact.Registry.
func (l staticRegistry) RecordReachability(context.Context, string, bool) {}

// tableNodes starts nodes a, b and so on that find each other by one contact registry, and
// waits until all have met.
func (c *cluster) tableNodes(count int) (list []*testNode) {
	var mu sync.Mutex // of addrs
	var addrs []string
	addresses := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), addrs...)
	}
	for i := range count {
		n := c.tableNode(string(rune('a'+i)), "z", addresses)
		mu.Lock()
		addrs = append(addrs, n.Self.Addr)
		mu.Unlock()
		list = append(list, n)
	}
	for _, n := range list {
		c.eventually("all have met", func() bool { return n.liveNodes() == len(list) })
	}
	return list
}

// liveNodes returns the number of live nodes known to n, itself included.
func (n *testNode) liveNodes() (live int) {
	n.init()
	n.do(func() { live = n.live })
	return live
}

// TestNodesMeetByRegistry starts two pairs of nodes that do not know each other. They must find
// each other once the registry lists all of them.
func TestNodesMeetByRegistry(t *testing.T) {
	c := newCluster(t)
	var list []*testNode
	initial := [][]string{nil, nil, nil, nil}
	opened := make(chan struct{})
	var mu sync.Mutex // of list and initial
	for i := range initial {
		n := c.tableNode(string(rune('a'+i)), "z", func() []string {
			mu.Lock()
			defer mu.Unlock()
			select {
			case <-opened:
				var all []string
				for _, other := range list {
					all = append(all, other.Self.Addr)
				}
				return all
			default:
				return append([]string(nil), initial[i]...)
			}
		})
		mu.Lock()
		list = append(list, n)
		if i%2 == 1 {
			initial[i] = []string{list[i-1].Self.Addr}
		}
		mu.Unlock()
	}
	for _, n := range list {
		c.eventually("pairs have met", func() bool { return n.liveNodes() == 2 })
	}
	close(opened)
	for _, n := range list {
		c.eventually("all have met", func() bool { return n.liveNodes() == len(list) })
	}
}

// TestTableNeverReverts applies tables on two nodes in mixed order.
func TestTableNeverReverts(t *testing.T) {
	c := newCluster(t)
	first := c.tableNode("a", "z", func() []string { return nil })
	second := c.tableNode("b", "z", func() []string { return []string{first.Self.Addr} })
	table := func(version uint64) *routes.Table {
		r, err := routes.New(routes.Table{Version: version, Services: []routes.Service{{Name: "s"}}})
		qt.Assert(t, err, qt.IsNil)
		return r
	}
	c.eventually("they have met", func() bool { return first.liveNodes() == 2 })
	for _, v := range []uint64{3, 1, 7, 2, 7} {
		first.ApplyTable(table(v))
		second.ApplyTable(table(v - 1))
	}
	for _, n := range []*testNode{first, second} {
		c.eventually("the latest table is active", func() bool { s := n.Snapshot(); return s.Table != nil && s.Table.Version == 7 })
	}
	qt.Check(t, first.Snapshot().Services["s"], qt.IsNotNil)
}

// TestFirstOfZoneRemovesSilentNode disconnects a node where there are no representatives.
func TestFirstOfZoneRemovesSilentNode(t *testing.T) {
	c := newCluster(t)
	list := c.tableNodes(4)
	isolated := list[3]
	isolated.do(func() {
		for _, p := range isolated.clients {
			p.Close()
		}
		isolated.neighbours.Clear()
	})
	silent := make(chan struct{})
	defer close(silent)
	go isolated.do(func() { <-silent })
	c.eventually("three nodes are left", func() bool { return list[0].liveNodes() == 3 })
}

// TestUnreachablePlatformReplacesFirstOfZone has the platform stop responding to the first node of a
// zone, then to its successor, then to all nodes, and respond to all of them again.
func TestUnreachablePlatformReplacesFirstOfZone(t *testing.T) {
	c := newCluster(t)
	list := c.tableNodes(3)
	firsts := func() (ids []string) {
		for _, n := range list {
			if n.IsFirstInZone() {
				ids = append(ids, n.Self.ID)
			}
		}
		return ids
	}
	one := func() bool { return len(firsts()) == 1 }
	node := func(id string) *testNode { return list[id[0]-'a'] }
	c.eventually("one first node", one)
	first := firsts()[0]
	for _, n := range list {
		if n.Self.ID != first {
			n.RecordRead(false, 0) // not the first of its zone, so it announces nothing
		}
	}
	qt.Check(t, firsts(), qt.DeepEquals, []string{first})
	node(first).RecordRead(false, 0)
	c.eventually("a second first node", func() bool { return one() && firsts()[0] != first })
	second := firsts()[0]
	node(second).RecordRead(false, 0)
	c.eventually("a third first node", func() bool { return one() && firsts()[0] != first && firsts()[0] != second })
	node(firsts()[0]).RecordRead(false, 0)
	c.eventually("the platform responds to no node, and one of them keeps reading", one)
	for _, n := range list {
		n.RecordRead(true, 0)
	}
	c.eventually("the original first node again", func() bool { return one() && firsts()[0] == first })
}

// fakePlatform is a platform with one table of routes, which it returns to all nodes except those
// that it refuses.
type fakePlatform struct {
	mu           sync.Mutex
	version      uint64
	refused      map[string]bool // by node id
	reads        int
	lastResponse time.Time // when a read last succeeded
}

// read returns the version, and whether the platform responds to the node.
func (p *fakePlatform) read(node string) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if !p.refused[node] {
		p.lastResponse = time.Now()
	}
	return p.version, !p.refused[node]
}

// lastResponseTime returns when a read last succeeded.
func (p *fakePlatform) lastResponseTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastResponse
}

// refuse makes the platform refuse a node.
func (p *fakePlatform) refuse(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[node] = true
}

// change changes the table and returns its version.
func (p *fakePlatform) change() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	return p.version
}

// follow has a node take the actions of NextAction until ctx ends.
func (p *fakePlatform) follow(ctx context.Context, n *testNode) {
	for ctx.Err() == nil {
		action, after, watchFor := n.NextAction()
		sent := n.clockReading()
		switch action {
		case configsync.Wait:
			select {
			case <-ctx.Done():
			case <-n.NextChanged():
			case <-time.After(min(after, 50*time.Millisecond)):
			}
			continue
		case configsync.Query:
			n.QueryNeighbours(ctx)
			continue
		case configsync.Watch:
			sleep.For(ctx, watchFor)
		}
		version, ok := p.read(n.Self.ID)
		if ok {
			t, err := routes.New(routes.Table{Version: version, Services: []routes.Service{{Name: "s"}}})
			if err != nil {
				panic(err)
			}
			n.ApplyTable(t)
			n.ConfirmRead(sent)
		}
		n.RecordRead(ok, 0)
	}
}

// TestOneNodesReadsReachAll has nodes follow a platform that refuses some of them. A change that
// any node can read must become active on all of them.
func TestOneNodesReadsReachAll(t *testing.T) {
	tests := map[string]func(leader string, all []*testNode) []string{
		"no node is refused":                func(string, []*testNode) []string { return nil },
		"the leader is refused":             func(leader string, _ []*testNode) []string { return []string{leader} },
		"all but the last node are refused": func(_ string, all []*testNode) []string { return ids(all[:len(all)-1]) },
		"all but the leader are refused":    func(leader string, all []*testNode) []string { return without(ids(all), leader) },
		"two nodes are refused":             func(_ string, all []*testNode) []string { return ids(all[:2]) },
	}
	for name, refusedNodes := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			list := c.tableNodes(6)
			p := &fakePlatform{version: 1, refused: make(map[string]bool)}
			ctx, cancel := context.WithCancel(context.Background())
			var all sync.WaitGroup
			defer all.Wait()
			defer cancel()
			for _, n := range list {
				all.Go(func() { p.follow(ctx, n) })
			}
			active := func(version uint64) func() bool {
				return func() bool {
					for _, n := range list {
						if s := n.Snapshot(); s.Table == nil || s.Table.Version < version {
							return false
						}
					}
					return true
				}
			}
			c.eventually("the first table is active", active(1))
			var leader string
			c.eventually("there is a leader", func() bool {
				for _, n := range list {
					n.do(func() {
						if n.role(time.Now()).IsLeader {
							leader = n.Self.ID
						}
					})
				}
				return leader != ""
			})
			p.mu.Lock()
			for _, id := range refusedNodes(leader, list) {
				p.refused[id] = true
			}
			p.mu.Unlock()
			for range 3 {
				c.eventually("a change is active", active(p.change()))
			}
		})
	}
}

// ids returns the ids of nodes.
func ids(nodes []*testNode) (list []string) {
	for _, n := range nodes {
		list = append(list, n.Self.ID)
	}
	return list
}

// without returns a list without one of its elements.
func without(list []string, one string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == one })
}
