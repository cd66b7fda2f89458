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

// tableNode starts a node that follows a table of routes and finds others by a
// book.
func (c *cluster) tableNode(id, zone string, addresses func() []string) *testNode {
	c.directory = staticDirectory(addresses)
	listener := c.listener()
	n := c.addAtWith(listener, id, zone, func(k *Control) {
		k.API = nil
		k.MaxPropagationDelay = 500 * time.Millisecond
		k.ServiceConfig = func(*routes.Table, string, int) operator.Service { return operator.Service{}.WithDefaults() }
	})
	return n
}

// listed is a book of contacts in which nobody writes.
type staticDirectory func() []string

// Addresses implements contact.Directory.
func (l staticDirectory) Addresses(context.Context) []string { return l() }

// Register implements contact.Directory.
func (l staticDirectory) Register(context.Context) {}

// Met implements contact.Directory.
func (l staticDirectory) Met(context.Context, string, bool) {}

// tableNodes starts nodes a, b and so on that find each other by one book, and
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

// liveNodes returns the number of live nodes that n knows, itself included.
func (n *testNode) liveNodes() (live int) {
	n.init()
	n.do(func() { live = n.live })
	return live
}

// TestMeet starts two pairs of nodes, each of which knows of no other at first.
// They must find each other once the book has them.
func TestNodesMeetByDirectory(t *testing.T) {
	c := newCluster(t)
	var list []*testNode
	books := [][]string{nil, nil, nil, nil}
	opened := make(chan struct{})
	var mu sync.Mutex // of list and books
	for i := range books {
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
				return append([]string(nil), books[i]...)
			}
		})
		mu.Lock()
		list = append(list, n)
		if i%2 == 1 {
			books[i] = []string{list[i-1].Self.Addr}
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

// TestTableNeverReverts hands nodes tables in any order.
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
		c.eventually("the latest is in force", func() bool { s := n.Snapshot(); return s.Table != nil && s.Table.Version == 7 })
	}
	qt.Check(t, first.Snapshot().Services["s"], qt.IsNotNil)
}

// TestFirstOfZoneRemovesSilentNode has a node fall silent where there are no representatives.
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
	c.eventually("three are left", func() bool { return list[0].liveNodes() == 3 })
}

// TestBlindFirstOfZoneIsReplaced has the platform stop answering a zone's first node, then
// its successor as well, then every node, and answer all of them again.
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
			n.RecordRead(false, 0) // it is not the first of its zone, and tells nobody
		}
	}
	qt.Check(t, firsts(), qt.DeepEquals, []string{first})
	node(first).RecordRead(false, 0)
	c.eventually("another first node", func() bool { return one() && firsts()[0] != first })
	second := firsts()[0]
	node(second).RecordRead(false, 0)
	c.eventually("a third one", func() bool { return one() && firsts()[0] != first && firsts()[0] != second })
	node(firsts()[0]).RecordRead(false, 0)
	c.eventually("all are blind, and one of them goes on asking", one)
	for _, n := range list {
		n.RecordRead(true, 0)
	}
	c.eventually("the first again", func() bool { return one() && firsts()[0] == first })
}

// fakePlatform is a platform with one table of routes, which it gives to the nodes that
// it does not turn away.
type fakePlatform struct {
	mu      sync.Mutex
	version uint64
	refused map[string]bool // by node
	reads   int
	last    time.Time // when it answered last
}

// read returns the version, or false.
func (p *fakePlatform) read(node string) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if !p.refused[node] {
		p.last = time.Now()
	}
	return p.version, !p.refused[node]
}

// lastAnswered returns when a read was answered last.
func (p *fakePlatform) lastAnswered() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// turnAway has it refuse a node.
func (p *fakePlatform) refuse(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[node] = true
}

// change changes the table.
func (p *fakePlatform) change() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	return p.version
}

// follow has a node do what Next says until ctx ends.
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
		case configsync.Ask:
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

// TestReadsOfOneReachAll has nodes follow a platform that turns some of them away. A
// change that any node can read comes into force everywhere.
func TestOneNodesReadsReachAll(t *testing.T) {
	tests := map[string]func(leader string, all []*testNode) []string{
		"all are served":           func(string, []*testNode) []string { return nil },
		"the leader is not":        func(leader string, _ []*testNode) []string { return []string{leader} },
		"only the last node is":    func(_ string, all []*testNode) []string { return ids(all[:len(all)-1]) },
		"only the leader is":       func(leader string, all []*testNode) []string { return without(ids(all), leader) },
		"all but two, not the two": func(_ string, all []*testNode) []string { return ids(all[:2]) },
	}
	for name, refused := range tests {
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
			c.eventually("the first is in force", active(1))
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
			for _, id := range refused(leader, list) {
				p.refused[id] = true
			}
			p.mu.Unlock()
			for range 3 {
				c.eventually("a change is in force", active(p.change()))
			}
		})
	}
}

// ids returns the names of nodes.
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
