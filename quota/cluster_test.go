// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"sassafrasfront.example/member"
	"sassafrasfront.example/quota"
)

// event is a function that is called at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// cluster is a set of nodes whose messages are events. It has no network, and its own clock.
type cluster struct {
	random    *rand.Rand
	bounds    quota.Bounds
	now       time.Duration
	order     int
	events    events
	nodes     []*simNode
	ids       []string
	nodeCount int // the number of nodes, as known to the nodes
	// partitioned returns whether messages from one node do not reach another.
	partitioned func(from, to *simNode) bool
	// delay returns how long a message takes, or false if it is lost.
	delay func() (time.Duration, bool)
	runs  []runRecord
	// exchanges counts the messages that nodes have sent to coordinators.
	exchanges int
	// refused and unknown count the requests that were not admitted, and retryAfters are the
	// times after which those over the limit may be retried.
	refused, unknown int
	retryAfters      []time.Duration
}

// runRecord is a request that has run.
type runRecord struct {
	organisation string
	node         int
	at           time.Duration
}

// simNode is a node of a cluster.
type simNode struct {
	cluster     *cluster
	index       int
	id          string
	origin      time.Duration // of its clock
	incarnation uint64
	up          bool
	pausedUntil time.Duration // by the cluster's clock
	limits      map[string]quota.Limit
	coordinator *quota.Coordinator
	limiter     *quota.Limiter
	requesting  bool
	probing     bool
	wakeNumber  int // identifies the last wake
	hidden      map[string]bool
}

const (
	exchangeTimeout = 250 * time.Millisecond
	exchangeGap     = 20 * time.Millisecond
	maxWait         = 400 * time.Millisecond
)

func newCluster(seed uint64, nodes int, limits map[string]quota.Limit) *cluster {
	c := &cluster{
		random:      rand.New(rand.NewPCG(seed, 37)),
		bounds:      quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		nodeCount:   nodes,
		partitioned: func(_, _ *simNode) bool { return false },
	}
	c.delay = func() (time.Duration, bool) { return time.Millisecond, true }
	for range nodes {
		c.join(limits)
	}
	return c
}

// setBounds has all nodes restart with other bounds.
func (c *cluster) setBounds(b quota.Bounds) {
	c.bounds = b
	for _, n := range c.nodes {
		n.boot()
	}
}

// join starts one more node.
func (c *cluster) join(limits map[string]quota.Limit) *simNode {
	n := &simNode{
		cluster: c,
		index:   len(c.nodes),
		id:      fmt.Sprint("n", len(c.nodes)),
		limits:  limits,
	}
	c.nodes = append(c.nodes, n)
	c.ids = member.RendezvousOrder("quota", append(c.ids, n.id))
	n.boot()
	return n
}

func (c *cluster) after(d time.Duration, f func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + d, order: c.order, do: f})
}

// runUntil lets time pass.
func (c *cluster) runUntil(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// clock reads the node's clock.
func (n *simNode) clock() time.Duration { return n.cluster.now - n.origin }

// boot starts the node's process.
func (n *simNode) boot() {
	n.incarnation++
	n.up = true
	n.requesting = false
	n.probing = false
	n.origin = n.cluster.now - time.Duration(n.cluster.random.Int64N(int64(time.Hour)))
	n.coordinator = quota.NewCoordinator(n.cluster.random.Uint32()|1, n.cluster.bounds, n.clock())
	n.coordinator.SetLimits(n.limits, n.clock())
	n.limiter = quota.NewLimiter(quota.NewClient(n.incarnation, n.clock()))
	n.wake(0)
}

// kill ends the process. It starts again after a time.
func (n *simNode) kill(down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	start := n.incarnation
	n.cluster.after(down, func() {
		if n.incarnation == start {
			n.boot()
		}
	})
}

// set sets the active limits.
func (n *simNode) set(limits map[string]quota.Limit) {
	n.limits = limits
	n.coordinator.SetLimits(limits, n.clock())
}

// wake has the node send a request after a time, in place of the time set before.
func (n *simNode) wake(after time.Duration) {
	n.wakeNumber++
	wakeNumber, start := n.wakeNumber, n.incarnation
	n.cluster.after(after, func() {
		if n.incarnation == start && n.up && n.wakeNumber == wakeNumber {
			n.request()
		}
	})
}

// request makes one exchange with the node's coordinator.
func (n *simNode) request() {
	if n.requesting {
		return
	}
	if pause := n.pausedUntil - n.cluster.now; pause > 0 {
		n.wake(pause)
		return
	}
	n.limiter.SetNodes(n.cluster.nodeCount)
	coordinator, probe := n.limiter.ChooseCoordinator(n.candidates(), n.clock())
	if probe != "" && !n.probing {
		n.probing = true
		n.exchange(probe, n.limiter.ProbeRequest(probe, n.clock()), func() { n.probing = false })
	}
	n.requesting = true
	end := func() {
		n.requesting = false
		if n.limiter.Waiting() > 0 {
			n.wake(exchangeGap)
		} else {
			n.wake(max(exchangeGap, n.limiter.NextRenewal(n.clock())))
		}
	}
	if holder := n.limiter.PreviousHolder(n.clock()); holder != "" {
		n.exchange(holder, n.limiter.ProbeRequest(holder, n.clock()), end)
		return
	}
	n.exchange(coordinator, n.limiter.NextRequest(coordinator, n.clock()), end)
}

// candidates returns the coordinators that the node chooses from: the first two that are visible
// to it, and itself.
func (n *simNode) candidates() []string {
	var list []string
	for _, id := range n.cluster.ids {
		if !n.hidden[id] && len(list) < 2 {
			list = append(list, id)
		}
	}
	return append(list, n.id)
}

// hideCoordinators hides the first coordinators from the node for some time.
func (n *simNode) hideCoordinators(count int, duration time.Duration) {
	n.hidden = make(map[string]bool)
	for _, id := range n.cluster.ids[:min(count, len(n.cluster.ids))] {
		n.hidden[id] = true
	}
	n.cluster.after(duration, func() { n.hidden = nil })
}

// exchange sends a Request and handles its Response.
func (n *simNode) exchange(coordinator string, r *quota.Request, ended func()) {
	start, sent := n.incarnation, n.clock()
	n.cluster.exchanges++
	done := false
	end := func(response *quota.Response) {
		if done || n.incarnation != start || !n.up {
			return
		}
		done = true
		if response == nil {
			n.limiter.HandleFailure(coordinator, r, n.clock())
		} else {
			n.limiter.HandleResponse(coordinator, r, response, sent, n.clock())
		}
		ended()
	}
	n.cluster.after(exchangeTimeout, func() { end(nil) })
	target := n.cluster.byID(coordinator)
	n.cluster.send(n, target, func() {
		response := target.coordinator.HandleRequest(n.id, r, target.clock())
		if response != nil {
			n.cluster.send(target, n, func() { end(response) })
		}
	})
}

func (c *cluster) byID(id string) *simNode {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	panic("no node " + id)
}

// send calls f at the receiver when a message arrives, if it does.
func (c *cluster) send(from, to *simNode, f func()) {
	var d time.Duration
	if from != to {
		var ok bool
		if d, ok = c.delay(); !ok || c.partitioned(from, to) {
			return
		}
	}
	var arrive func()
	arrive = func() {
		switch {
		case !to.up || from != to && c.partitioned(from, to):
		case to.pausedUntil > c.now:
			c.after(to.pausedUntil-c.now, arrive)
		default:
			f()
		}
	}
	c.after(d, arrive)
}

// admit has a request of an organisation arrive at a node. With the given probability all upstreams
// refuse it, so that its token is returned.
func (n *simNode) admit(organisation string, notRun float64) {
	if !n.up || n.pausedUntil > n.cluster.now {
		return
	}
	start := n.incarnation
	decided := false
	p := n.limiter.Admit(organisation, false, n.clock(), func(d quota.Decision) {
		decided = true
		n.onDecision(organisation, d, notRun)
	})
	if p == nil {
		return
	}
	n.wake(0)
	n.cluster.after(maxWait, func() {
		if n.incarnation == start && !decided && n.limiter.Cancel(p) {
			n.cluster.unknown++
		}
	})
}

func (n *simNode) onDecision(organisation string, d quota.Decision, notRun float64) {
	c := n.cluster
	switch {
	case d.Granted && c.random.Float64() < notRun:
		start := n.incarnation
		c.after(time.Duration(c.random.Int64N(int64(2*quota.TokenLifetime))), func() {
			if n.up && n.incarnation == start {
				n.limiter.ReturnToken(d.Token, n.clock())
			}
		})
	case d.Granted:
		c.runs = append(c.runs, runRecord{organisation: organisation, node: n.index, at: c.now})
	case d.Unknown:
		c.unknown++
	default:
		c.refused++
		c.retryAfters = append(c.retryAfters, d.RetryAfter)
	}
}

// load has requests of an organisation arrive at nodes at random times, with the given rate per
// second in total.
func (c *cluster) load(organisation string, rate float64, from, until time.Duration, at func() *simNode) {
	gap := func() time.Duration { return time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)) }
	var next func()
	next = func() {
		if c.now >= until {
			return
		}
		at().admit(organisation, 0.1)
		c.after(gap(), next)
	}
	c.after(max(0, from-c.now)+gap(), next)
}

// maxInWindow returns the largest number of requests of an organisation that ran in any window that
// begins within the given times.
func (c *cluster) maxInWindow(organisation string, from, until time.Duration) (most int) {
	var at []time.Duration
	for _, r := range c.runs {
		if r.organisation == organisation && r.at >= from && r.at <= until {
			at = append(at, r.at)
		}
	}
	for i := range at {
		end := sort.Search(len(at), func(j int) bool { return at[j] > at[i]+c.bounds.Window })
		most = max(most, end-i)
	}
	return most
}

// largestHolder returns the node whose coordinator holds the largest fraction of the shares.
func (c *cluster) largestHolder() *simNode {
	best := c.nodes[0]
	var most float64
	for _, n := range c.nodes {
		if _, fraction := n.coordinator.HeldShares(n.clock()); n.up && fraction >= most {
			best = n
			most = fraction
		}
	}
	return best
}

// ran returns how many requests of an organisation ran within the given times.
func (c *cluster) ran(organisation string, from, until time.Duration) (n int) {
	for _, r := range c.runs {
		if r.organisation == organisation && r.at >= from && r.at < until {
			n++
		}
	}
	return n
}
