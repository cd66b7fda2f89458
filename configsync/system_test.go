// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The simulated system: nodes forward a status to fanOut others over connections with a delay of up to
// maxHop, and a store responds after storeTime.
const (
	within    = 2 * time.Second
	maxHop    = 40 * time.Millisecond
	storeTime = 4 * time.Millisecond
	// callTimeout is the timeout of a call that gets no response.
	callTimeout = time.Second
	// failureDetectionTime is the time until the others detect that a node has failed.
	failureDetectionTime = 3 * time.Second
	contacts             = 12
	fanOut               = 4
)

// event is a function to call at a simulated time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// node is a simulated node.
type node struct {
	*State
	id                  int
	others              []int
	version             uint64
	activeAt            map[uint64]time.Duration // when each version became active
	busy                bool                     // whether a read is in progress
	nextAction          time.Duration            // time of its next action
	dead                bool
	partitioned         bool // partitioned from the other nodes
	refused             bool // the platform refuses its reads
	noResponse          bool // the platform does not respond to it
	platformUnreachable bool
	failedAt            time.Duration // when it was killed or partitioned
}

// system is the simulated system.
type system struct {
	random  *rand.Rand
	now     time.Duration
	queue   events
	nodes   []*node
	leader  int
	version uint64 // of the configuration at the store
	era     uint64 // of the store
	down    bool   // whether the store refuses all reads
	calls   int
}

var origin = time.Unix(0, 0)

func (s *system) clock() time.Time { return origin.Add(s.now) }

func (s *system) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{at: s.now + d, do: do})
}

func newSystem(nodes int, seed uint64) *system {
	s := &system{
		random:  rand.New(rand.NewPCG(seed, seed)),
		version: 1,
	}
	for id := range nodes {
		n := &node{
			State:    New(within, s.clock(), s.random),
			id:       id,
			version:  1,
			activeAt: map[uint64]time.Duration{1: 0},
		}
		n.SetVersion(1)
		for range min(contacts, nodes-1) {
			n.others = append(n.others, s.random.IntN(nodes))
		}
		s.nodes = append(s.nodes, n)
		s.act(n)
	}
	return s
}

// run simulates until the given time.
func (s *system) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// act performs the next action of a node.
func (s *system) act(n *node) {
	if n.dead || n.busy {
		return
	}
	leads := n.id == s.leader || n.partitioned && n.id == 0 // a leader does not know that it is partitioned
	action, at := n.Next(Role{IsLeader: leads && !n.platformUnreachable, WouldLead: n.platformUnreachable, Nodes: len(s.nodes)}, s.clock())
	switch action {
	case Wait:
		wait := at.Sub(s.clock())
		n.nextAction = s.now + wait
		woken := n.nextAction
		s.after(wait, func() {
			if n.nextAction == woken {
				s.act(n)
			}
		})
		return
	case Query:
		for range 2 {
			other := s.other(n)
			s.send(n, other, func() {
				status := other.Status(s.clock())
				s.send(other, n, func() { s.receive(n, other, status) })
			})
		}
		s.act(n)
		return
	case Read:
		s.read(n, 0)
	case Watch:
		s.read(n, n.WatchTimeout())
	}
}

// read calls the store, which responds after the wait or as soon as there is a change.
func (s *system) read(n *node, wait time.Duration) {
	s.calls++
	n.busy = true
	began := s.now
	switch {
	case n.noResponse:
		s.after(wait+callTimeout, func() { s.readEnded(n, false, 0) })
		return
	case n.refused || s.down:
		s.after(storeTime, func() { s.readEnded(n, false, 0) })
		return
	}
	var look func()
	look = func() {
		switch {
		case n.refused || s.down:
			s.readEnded(n, false, 0)
		case s.version > n.version || s.now >= began+storeTime+wait:
			s.apply(n, s.version)
			s.readEnded(n, true, storeTime)
		default:
			s.after(10*time.Millisecond, look)
		}
	}
	s.after(storeTime, look)
}

func (s *system) readEnded(n *node, succeeded bool, age time.Duration) {
	n.busy = false
	if succeeded {
		n.ObserveEra(s.era, s.era > 1, s.clock())
	}
	n.ReadDone(succeeded, age, s.clock())
	if n.id == s.leader && !succeeded {
		n.platformUnreachable = true
		s.after(200*time.Millisecond, s.elect)
	}
	s.forward(n)
	s.act(n)
}

// elect makes the next node that can read the leader.
func (s *system) elect() {
	for _, n := range s.nodes {
		if !n.dead && !n.partitioned && !n.platformUnreachable {
			s.leader = n.id
			s.act(n)
			return
		}
	}
}

func kill(n *node)      { n.dead = true }
func partition(n *node) { n.partitioned = true }

// fail applies how to nodes, which the others detect after failureDetectionTime.
func (s *system) fail(nodes []*node, how func(n *node)) {
	for _, n := range nodes {
		how(n)
		n.failedAt = s.now
	}
	s.after(failureDetectionTime, func() {
		if l := s.nodes[s.leader]; l.dead || l.partitioned {
			s.elect()
		}
	})
}

func (s *system) apply(n *node, version uint64) {
	if version > n.version {
		n.version = version
		n.activeAt[version] = s.now
	}
	n.SetVersion(n.version)
}

// other returns a random contact of n. A contact whose failure has been detected is replaced for the
// next call.
func (s *system) other(n *node) *node {
	i := s.random.IntN(len(n.others))
	o := s.nodes[n.others[i]]
	if (o.dead || o.partitioned) && s.now > o.failedAt+failureDetectionTime {
		n.others[i] = s.random.IntN(len(s.nodes))
	}
	return o
}

// send delivers a message after a hop, if both nodes can communicate.
func (s *system) send(from, to *node, deliver func()) {
	if from.partitioned || to.partitioned || from.dead || to.dead {
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(maxHop))), func() {
		if !to.dead && !to.partitioned {
			deliver()
		}
	})
}

func (s *system) forward(n *node) {
	status, ok := n.PendingStatus(s.clock())
	if !ok || len(n.others) == 0 {
		return
	}
	for range fanOut {
		other := s.other(n)
		s.send(n, other, func() { s.receive(other, n, status) })
	}
}

func (s *system) receive(n, from *node, status ReadStatus) {
	if n.Receive(status, s.clock()) {
		s.send(n, from, func() {
			version := from.version
			s.send(from, n, func() {
				s.apply(n, version)
				s.forward(n)
			})
		})
	}
	s.forward(n)
	s.act(n)
}

// worstDelay returns the time from a change to the moment at which the last node had it active, of the nodes
// that can read it or learn of it.
func (s *system) worstDelay(version uint64, since time.Duration) (worst time.Duration) {
	for _, n := range s.nodes {
		if n.dead || n.partitioned && (n.refused || n.noResponse) {
			continue
		}
		at := s.now + time.Hour
		for v, t := range n.activeAt {
			if v >= version {
				at = min(at, t)
			}
		}
		worst = max(worst, at-since)
	}
	return worst
}

// TestChangesReachAll simulates ten changes, at least a second apart, during each kind of failure, with fifty seeds.
// Each change has to be active in time at every node that can reach the store or another such node, and
// the number of calls has to stay that of a few readers, whatever the number of nodes.
func TestChangesReachAll(t *testing.T) {
	const (
		usual    = 50
		begin    = 10 * time.Second
		duration = 30 * time.Second
	)
	tests := map[string]struct {
		nodes   int
		failure func(s *system)
		bound   time.Duration // on the slowest change; 0 means within
		calls   int           // bound on the mean per seed, a quarter above the usual number
		seeds   uint64        // 0 means fifty
	}{
		"no failure, 12 nodes":   {nodes: 12, calls: 65},
		"no failure, 200 nodes":  {nodes: 200, calls: 65},
		"no failure, 1000 nodes": {nodes: 1000, seeds: 3, calls: 110},
		"one node":               {nodes: 1, calls: 65},
		"the leader dies":        {nodes: 200, calls: 160, failure: func(s *system) { s.fail(s.nodes[:1], kill) }},
		"three successive leaders die": {nodes: 200, calls: 200, failure: func(s *system) {
			for i := range 3 {
				s.after(time.Duration(i)*5*time.Second, func() { s.fail([]*node{s.nodes[s.leader]}, kill) })
			}
		}},
		"the platform refuses the leader":              {nodes: 200, calls: 120, failure: func(s *system) { s.nodes[0].refused = true }},
		"the platform does not respond to the leader":  {nodes: 200, calls: 120, failure: func(s *system) { s.nodes[0].noResponse = true }},
		"the leader is partitioned":                    {nodes: 200, calls: 180, failure: func(s *system) { s.fail(s.nodes[:1], partition) }},
		"a third of the nodes are partitioned":         {nodes: 200, calls: 1750, failure: func(s *system) { s.fail(s.nodes[1:67], partition) }},
		"half of the nodes die, the leader among them": {nodes: 200, calls: 300, failure: func(s *system) { s.fail(s.nodes[:100], kill) }},
		"the platform refuses a third, the first three nodes among them": {nodes: 200, calls: 320, failure: func(s *system) {
			for _, n := range append(s.nodes[:3:3], s.nodes[100:163]...) {
				n.refused = true
			}
		}},
		"the platform is unavailable for 8 s": {nodes: 200, calls: 375, bound: 8*time.Second + within, failure: func(s *system) {
			s.down = true
			s.after(8*time.Second, func() { s.down = false })
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bound := test.bound
			if bound == 0 {
				bound = within
			}
			var calls int
			var worst time.Duration
			seeds := cmp.Or(test.seeds, usual)
			for seed := range seeds {
				s := newSystem(test.nodes, seed)
				s.run(begin)
				if test.failure != nil {
					test.failure(s)
				}
				changes := make(map[uint64]time.Duration)
				for i := range 10 {
					s.run(begin + time.Duration(i)*2*time.Second + time.Duration(s.random.Int64N(int64(time.Second))))
					s.version++
					changes[s.version] = s.now
				}
				s.run(begin + duration)
				for v, since := range changes {
					delay := s.worstDelay(v, since)
					worst = max(worst, delay)
					qt.Check(t, delay <= bound, qt.IsTrue, qt.Commentf("seed %d: version %d took %v", seed, v, delay))
				}
				calls += s.calls
			}
			t.Logf("worst %v, %d calls a seed", worst, calls/int(seeds))
			qt.Check(t, calls/int(seeds) <= test.calls, qt.IsTrue)
		})
	}
}

// TestSimultaneousStart starts nodes at once. Each of them knows no other at first and so considers itself the
// leader until it has met some. They must not read until then, and a node that stays isolated must read.
func TestSimultaneousStart(t *testing.T) {
	const nodes, met = 200, 300 * time.Millisecond
	now := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	var reads int
	for range nodes {
		s := New(within, now, random)
		for d := time.Duration(0); d < met; d += 10 * time.Millisecond {
			if action, _ := s.Next(Role{IsLeader: true, Nodes: 1}, now.Add(d)); action != Wait {
				reads++
			}
		}
	}
	qt.Check(t, reads, qt.Equals, 0)
	alone := New(within, now, random)
	for d := time.Duration(0); d < 10*time.Second; d += 10 * time.Millisecond {
		if action, _ := alone.Next(Role{IsLeader: true, Nodes: 1}, now.Add(d)); action != Wait {
			reads++
			alone.ReadDone(true, 0, now.Add(d))
		}
	}
	qt.Check(t, reads >= 5, qt.IsTrue, qt.Commentf("%d", reads))
}

// TestPartialRefusal has the platform refuse a random third of the nodes, the leader among them, before a
// change at a random time. The change has to be active in time at every node. It guards against waits that
// are postponed too far after three refused reads in a row, which are not rare if one in three is refused.
func TestPartialRefusal(t *testing.T) {
	const begin = 10 * time.Second
	tests := map[string]struct {
		nodes int
		draws uint64
		calls int // bound on the mean per draw, a quarter above the usual number
	}{
		"9 nodes":   {nodes: 9, draws: 1000, calls: 40},
		"30 nodes":  {nodes: 30, draws: 1000, calls: 45},
		"200 nodes": {nodes: 200, draws: 300, calls: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var calls, over int
			var worst time.Duration
			for draw := range test.draws {
				s := newSystem(test.nodes, draw)
				s.run(begin)
				order := s.random.Perm(test.nodes)
				for _, i := range order[:test.nodes/3] {
					s.nodes[i].refused = true
				}
				s.nodes[s.leader].refused = true
				s.run(begin + time.Duration(s.random.Int64N(int64(2*within))))
				s.version++
				since := s.now
				s.run(since + 3*within)
				delay := s.worstDelay(s.version, since)
				worst = max(worst, delay)
				if delay > within {
					over++
				}
				calls += s.calls
			}
			t.Logf("worst %v, %d of %d late, %d calls a draw", worst, over, test.draws, calls/int(test.draws))
			qt.Check(t, over, qt.Equals, 0)
			qt.Check(t, calls/int(test.draws) <= test.calls, qt.IsTrue)
		})
	}
}
