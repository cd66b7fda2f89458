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

// event is something that happens at a time.
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

// world is nodes whose messages are events: no network, and no clock but its own.
type world struct {
	random *rand.Rand
	bounds quota.Bounds
	now    time.Duration
	order  int
	events events
	nodes  []*simNode
	ids    []string
	census int // what nodes take for their number
	// far returns whether a message from one node does not come to another.
	far func(from, to *simNode) bool
	// delay returns how long a message takes, or false if it is lost.
	delay func() (time.Duration, bool)
	runs  []run
	// exchanges counts the messages that nodes have sent to homes.
	exchanges int
	// refused and unknown count the requests that were not let in, and waits are the times
	// after which those beyond the limit may come back.
	refused, unknown int
	waits            []time.Duration
}

// run is a request that has run.
type run struct {
	organisation string
	node         int
	at           time.Duration
}

// simNode is a node of a world.
type simNode struct {
	w       *world
	index   int
	id      string
	origin  time.Duration // of its clock
	start   uint64
	up      bool
	slow    time.Duration // until when it does nothing
	limits  map[string]quota.Limit
	home    *quota.Coordinator
	limiter *quota.Limiter
	asking  bool
	probing bool
	waker   int // the number of the last wake
	unknown map[string]bool
}

const (
	exchangeTimeout = 250 * time.Millisecond
	askGap          = 20 * time.Millisecond
	longestWait     = 400 * time.Millisecond
)

func newWorld(seed uint64, nodes int, limits map[string]quota.Limit) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 37)),
		bounds: quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		census: nodes,
		far:    func(_, _ *simNode) bool { return false },
	}
	w.delay = func() (time.Duration, bool) { return time.Millisecond, true }
	for range nodes {
		w.join(limits)
	}
	return w
}

// setBounds has all nodes start anew with other bounds.
func (w *world) setBounds(b quota.Bounds) {
	w.bounds = b
	for _, n := range w.nodes {
		n.boot()
	}
}

// join starts one more node.
func (w *world) join(limits map[string]quota.Limit) *simNode {
	n := &simNode{
		w:      w,
		index:  len(w.nodes),
		id:     fmt.Sprint("n", len(w.nodes)),
		limits: limits,
	}
	w.nodes = append(w.nodes, n)
	w.ids = member.RendezvousOrder("quota", append(w.ids, n.id))
	n.boot()
	return n
}

func (w *world) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, do: f})
}

// run lets time pass.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// clock reads the node's clock.
func (n *simNode) clock() time.Duration { return n.w.now - n.origin }

// boot starts the node's process.
func (n *simNode) boot() {
	n.start++
	n.up = true
	n.asking = false
	n.probing = false
	n.origin = n.w.now - time.Duration(n.w.random.Int64N(int64(time.Hour)))
	n.home = quota.NewCoordinator(n.w.random.Uint32()|1, n.w.bounds, n.clock())
	n.home.SetLimits(n.limits, n.clock())
	n.limiter = quota.NewLimiter(quota.NewClient(n.start, n.clock()))
	n.wake(0)
}

// kill ends the process; it starts again after a time.
func (n *simNode) kill(down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	start := n.start
	n.w.after(down, func() {
		if n.start == start {
			n.boot()
		}
	})
}

// set puts limits in force.
func (n *simNode) set(limits map[string]quota.Limit) {
	n.limits = limits
	n.home.SetLimits(limits, n.clock())
}

// wake has the node ask after a time, and not at the one that was set before.
func (n *simNode) wake(after time.Duration) {
	n.waker++
	waker, start := n.waker, n.start
	n.w.after(after, func() {
		if n.start == start && n.up && n.waker == waker {
			n.ask()
		}
	})
}

// ask makes one exchange with the node's home.
func (n *simNode) ask() {
	if n.asking {
		return
	}
	if held := n.slow - n.w.now; held > 0 {
		n.wake(held)
		return
	}
	n.limiter.SetNodes(n.w.census)
	home, probe := n.limiter.ChooseCoordinator(n.homes(), n.clock())
	if probe != "" && !n.probing {
		n.probing = true
		n.exchange(probe, n.limiter.ProbeRequest(probe, n.clock()), func() { n.probing = false })
	}
	n.asking = true
	end := func() {
		n.asking = false
		if n.limiter.Waiting() > 0 {
			n.wake(askGap)
		} else {
			n.wake(max(askGap, n.limiter.NextRenewal(n.clock())))
		}
	}
	if held := n.limiter.PreviousHolder(n.clock()); held != "" {
		n.exchange(held, n.limiter.ProbeRequest(held, n.clock()), end)
		return
	}
	n.exchange(home, n.limiter.NextRequest(home, n.clock()), end)
}

// homes returns the homes that the node chooses from: the first two of those that it knows
// of, and itself.
func (n *simNode) homes() []string {
	var list []string
	for _, id := range n.w.ids {
		if !n.unknown[id] && len(list) < 2 {
			list = append(list, id)
		}
	}
	return append(list, n.id)
}

// forgets has the node not know of the first homes for some time.
func (n *simNode) forgets(homes int, lasts time.Duration) {
	n.unknown = make(map[string]bool)
	for _, id := range n.w.ids[:min(homes, len(n.w.ids))] {
		n.unknown[id] = true
	}
	n.w.after(lasts, func() { n.unknown = nil })
}

// exchange sends an Ask and takes its answer in.
func (n *simNode) exchange(home string, a *quota.Request, ended func()) {
	start, sent := n.start, n.clock()
	n.w.exchanges++
	done := false
	end := func(answer *quota.Response) {
		if done || n.start != start || !n.up {
			return
		}
		done = true
		if answer == nil {
			n.limiter.HandleFailure(home, a, n.clock())
		} else {
			n.limiter.HandleResponse(home, a, answer, sent, n.clock())
		}
		ended()
	}
	n.w.after(exchangeTimeout, func() { end(nil) })
	h := n.w.byID(home)
	n.w.send(n, h, func() {
		answer := h.home.HandleRequest(n.id, a, h.clock())
		if answer != nil {
			n.w.send(h, n, func() { end(answer) })
		}
	})
}

func (w *world) byID(id string) *simNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	panic("no node " + id)
}

// send has f done at the receiver when a message comes, if it does.
func (w *world) send(from, to *simNode, f func()) {
	var d time.Duration
	if from != to {
		var ok bool
		if d, ok = w.delay(); !ok || w.far(from, to) {
			return
		}
	}
	var arrive func()
	arrive = func() {
		switch {
		case !to.up || from != to && w.far(from, to):
		case to.slow > w.now:
			w.after(to.slow-w.now, arrive)
		default:
			f()
		}
	}
	w.after(d, arrive)
}

// request has a request of an organisation arrive at a node. With the given chance it is
// refused by all upstreams, so that its token is given back.
func (n *simNode) request(organisation string, unrun float64) {
	if !n.up || n.slow > n.w.now {
		return
	}
	start := n.start
	decided := false
	p := n.limiter.Admit(organisation, false, n.clock(), func(d quota.Decision) {
		decided = true
		n.decided(organisation, d, unrun)
	})
	if p == nil {
		return
	}
	n.wake(0)
	n.w.after(longestWait, func() {
		if n.start == start && !decided && n.limiter.Cancel(p) {
			n.w.unknown++
		}
	})
}

func (n *simNode) decided(organisation string, d quota.Decision, unrun float64) {
	w := n.w
	switch {
	case d.Granted && w.random.Float64() < unrun:
		start := n.start
		w.after(time.Duration(w.random.Int64N(int64(2*quota.TokenLifetime))), func() {
			if n.up && n.start == start {
				n.limiter.ReturnToken(d.Token, n.clock())
			}
		})
	case d.Granted:
		w.runs = append(w.runs, run{organisation: organisation, node: n.index, at: w.now})
	case d.Unknown:
		w.unknown++
	default:
		w.refused++
		w.waits = append(w.waits, d.RetryAfter)
	}
}

// load has requests of an organisation arrive at nodes, so many a second in all, at random
// moments.
func (w *world) load(organisation string, rate float64, from, until time.Duration, at func() *simNode) {
	gap := func() time.Duration { return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)) }
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		at().request(organisation, 0.1)
		w.after(gap(), next)
	}
	w.after(max(0, from-w.now)+gap(), next)
}

// most returns the most requests of an organisation that ran in a window that begins within
// the given times.
func (w *world) most(organisation string, from, until time.Duration) (most int) {
	var at []time.Duration
	for _, r := range w.runs {
		if r.organisation == organisation && r.at >= from && r.at <= until {
			at = append(at, r.at)
		}
	}
	for i := range at {
		end := sort.Search(len(at), func(j int) bool { return at[j] > at[i]+w.bounds.Window })
		most = max(most, end-i)
	}
	return most
}

// fullest returns the home that holds most rights.
func (w *world) fullest() *simNode {
	best := w.nodes[0]
	var most float64
	for _, n := range w.nodes {
		if _, share := n.home.HeldShares(n.clock()); n.up && share >= most {
			best = n
			most = share
		}
	}
	return best
}

// ran returns the requests of an organisation that ran within the given times.
func (w *world) ran(organisation string, from, until time.Duration) (n int) {
	for _, r := range w.runs {
		if r.organisation == organisation && r.at >= from && r.at < until {
			n++
		}
	}
	return n
}
