// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/quota"
)

// exact allows nothing beyond the limits.
var exact = quota.Bounds{Window: 5 * time.Second}

// TestFlappingPartition has the links between two halves of the nodes fail and recover repeatedly
// during a surge, so that each half uses a coordinator of its own. Both together admit no more
// than one would.
func TestFlappingPartition(t *testing.T) {
	limit := quota.Limit{Rate: 200, Burst: 100}
	for _, period := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			c := newCluster(6, 100, limited(limit.Rate, limit.Burst))
			c.setBounds(exact)
			half := func(n *simNode) bool { return n.index < 50 }
			c.partitioned = func(from, to *simNode) bool {
				return c.now > 5*time.Second && (c.now/period)%2 == 0 && half(from) != half(to)
			}
			c.load("o", 2000, 4*time.Second, 25*time.Second, func() *simNode { return c.nodes[c.random.IntN(100)] })
			c.runUntil(25 * time.Second)
			most := c.maxInWindow("o", 0, c.now)
			ran := c.ran("o", 10*time.Second, 25*time.Second)
			t.Logf("%d in a window, %.0f allowed; %d ran in 15 s", most, exact.MaxRequests(limit), ran)
			qt.Check(t, float64(most) <= exact.MaxRequests(limit), qt.IsTrue, qt.Commentf("%d", most))
			qt.Check(t, float64(ran) >= limit.Rate*15/3, qt.IsTrue, qt.Commentf("%d", ran))
		})
	}
}

// TestCoordinatorsCrash has the coordinator crash repeatedly during a surge, each time after it
// has had time to grant tokens. Its successors begin without tokens.
func TestCoordinatorsCrash(t *testing.T) {
	limit := quota.Limit{Rate: 200, Burst: 200}
	c := newCluster(7, 60, limited(limit.Rate, limit.Burst))
	c.setBounds(exact)
	for at := 5 * time.Second; at < 25*time.Second; at += 1300 * time.Millisecond {
		c.after(at, func() { c.largestHolder().kill(100 * time.Millisecond) })
	}
	c.load("o", 2000, 4*time.Second, 25*time.Second, func() *simNode { return c.nodes[c.random.IntN(60)] })
	c.runUntil(25 * time.Second)
	most := c.maxInWindow("o", 0, c.now)
	t.Logf("%d in a window, %.0f allowed", most, exact.MaxRequests(limit))
	qt.Check(t, float64(most) <= exact.MaxRequests(limit), qt.IsTrue, qt.Commentf("%d", most))
}

// limited is one organisation with the given limit.
func limited(rate, burst float64) map[string]quota.Limit {
	return map[string]quota.Limit{"o": {Rate: rate, Burst: burst}}
}

// TestAllRequestsAtOneNode has all requests of an organisation arrive at one of a hundred nodes,
// in a surge. It gets the whole limit.
func TestAllRequestsAtOneNode(t *testing.T) {
	c := newCluster(1, 100, limited(272, 272))
	lone := func() *simNode { return c.nodes[7] }
	c.runUntil(3 * time.Second)
	c.load("o", 2000, 3*time.Second, 13*time.Second, lone)
	c.runUntil(14 * time.Second)
	first := c.ran("o", 3*time.Second, 3*time.Second+300*time.Millisecond)
	qt.Check(t, first >= 272, qt.IsTrue, qt.Commentf("%d in the first 300 ms: the burst", first))
	rest := c.ran("o", 4*time.Second, 13*time.Second)
	qt.Check(t, float64(rest) >= 0.97*272*9*0.9, qt.IsTrue, qt.Commentf("%d in 9 s, apart from a tenth that was returned", rest))
	qt.Check(t, float64(c.maxInWindow("o", 0, c.now)) <= c.bounds.MaxRequests(quota.Limit{Rate: 272, Burst: 272}), qt.IsTrue)
	t.Logf("burst %d in 300 ms, then %d in 9 s of %d", first, rest, 272*9)
}

// TestSparseRequests has the few requests of a small organisation arrive at random nodes. All are
// admitted at once.
func TestSparseRequests(t *testing.T) {
	for name, rate := range map[string]float64{"one a second": 1, "eight a second": 8} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(2, 300, limited(rate, rate))
			c.runUntil(3 * time.Second)
			var sent int
			for at := 3 * time.Second; at < 40*time.Second; at += time.Duration(float64(time.Second) / (0.8 * rate)) {
				sent++
				c.after(at-c.now, func() { c.nodes[c.random.IntN(len(c.nodes))].admit("o", 0) })
			}
			c.runUntil(41 * time.Second)
			qt.Check(t, len(c.runs), qt.Equals, sent)
			qt.Check(t, c.refused+c.unknown, qt.Equals, 0)
		})
	}
}

// TestCoordinatorCrashes has the coordinator crash while requests arrive steadily below the limit.
// Another one replaces it, and hardly any caller is refused.
func TestCoordinatorCrashes(t *testing.T) {
	c := newCluster(3, 70, limited(272, 272))
	c.load("o", 170, 3*time.Second, 13*time.Second, func() *simNode { return c.nodes[c.random.IntN(len(c.nodes))] })
	c.runUntil(8 * time.Second)
	c.byID(c.ids[0]).kill(time.Minute)
	c.runUntil(14 * time.Second)
	var gap time.Duration
	for i := 1; i < len(c.runs); i++ {
		gap = max(gap, c.runs[i].at-c.runs[i-1].at)
	}
	t.Logf("longest gap %v, refused %d, unknown %d", gap, c.refused, c.unknown)
	qt.Check(t, gap < time.Second, qt.IsTrue, qt.Commentf("%v", gap))
	qt.Check(t, c.ran("o", 9*time.Second, 13*time.Second) > 4*140, qt.IsTrue)
}

// TestAllNodesRestart has all nodes restart at once. Callers are admitted some 100 ms later.
func TestAllNodesRestart(t *testing.T) {
	c := newCluster(4, 70, limited(272, 272))
	c.runUntil(5 * time.Second)
	for _, n := range c.nodes {
		n.kill(time.Second)
	}
	c.load("o", 170, 6*time.Second, 10*time.Second, func() *simNode { return c.nodes[c.random.IntN(len(c.nodes))] })
	c.runUntil(11 * time.Second)
	qt.Assert(t, len(c.runs) > 0, qt.IsTrue)
	t.Logf("first after %v, %d of %d in 4 s", c.runs[0].at-6*time.Second, len(c.runs), 170*4*9/10)
	qt.Check(t, c.runs[0].at-6*time.Second < time.Second, qt.IsTrue)
	qt.Check(t, c.ran("o", 7*time.Second, 10*time.Second) > 3*130, qt.IsTrue)
}

// TestRetryAfter has refused callers retry after the given times. They are admitted.
func TestRetryAfter(t *testing.T) {
	c := newCluster(5, 20, limited(10, 1))
	c.runUntil(2 * time.Second)
	for range 30 {
		c.nodes[3].admit("o", 0)
	}
	c.runUntil(3 * time.Second)
	before := len(c.runs)
	retryAfters := c.retryAfters
	qt.Assert(t, before > 0 && len(retryAfters) > 10, qt.IsTrue, qt.Commentf("%d ran, %d refused", before, len(retryAfters)))
	for _, wait := range retryAfters {
		c.after(wait, func() { c.nodes[5].admit("o", 0) })
	}
	c.runUntil(12 * time.Second)
	qt.Check(t, len(c.runs), qt.Equals, before+len(retryAfters))
}

// scenario is a cluster with faults drawn at random.
type scenario struct {
	*cluster
	limit   quota.Limit
	lowered time.Duration // when the last node has the lower limit
	lower   quota.Limit
	joins   bool
}

// TestAnyWindow draws partitions, restarts, paused processes, joins, delayed and lost messages,
// surges, and a lower limit during one. In no window run more requests than the limit allows. Half
// of the clusters have neither overage nor slack, which would hide small faults.
func TestAnyWindow(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 20
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newScenario(seed)
			s.runUntil(s.now + 30*time.Second)
			s.check(t, "before", s.maxInWindow("o", 0, s.now), s.limit)
			s.check(t, "after", s.maxInWindow("o", s.lowered, s.now), s.lower)
		})
	}
}

// check checks that no more requests ran in a window than the limit allows.
func (s *scenario) check(t *testing.T, what string, most int, limit quota.Limit) {
	t.Helper()
	bound := s.bounds.MaxRequests(limit)
	if s.bounds.Slack == 0 && limit.Burst < 1 {
		bound += 1 - limit.Burst // a whole request is admitted after a pause
	}
	qt.Check(t, float64(most) <= bound+1e-6, qt.IsTrue, qt.Commentf("%s: %d in a window, %.1f allowed", what, most, bound))
	t.Logf("%s: %d nodes, rate %.0f, %d in a window of %.1f", what, len(s.nodes), limit.Rate, most, bound)
}

func newScenario(seed uint64) *scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	rates := []float64{1, 8, 60, 272}
	limit := quota.Limit{Rate: rates[random.IntN(len(rates))]}
	limit.Burst = limit.Rate * []float64{0, 0.2, 1, 3}[random.IntN(4)]
	s := &scenario{
		cluster: newCluster(seed, 20+random.IntN(200), map[string]quota.Limit{"o": limit}),
		limit:   limit,
		lower: quota.Limit{
			Rate:  limit.Rate / 2,
			Burst: limit.Burst / 4,
		},
		joins: random.IntN(2) == 0,
	}
	if !s.joins {
		s.setBounds(quota.Bounds{Window: 5 * time.Second})
	}
	s.degradeLinks()
	s.surge()
	for range s.random.IntN(10) {
		s.after(s.randomTime(), s.injectFault)
	}
	if s.random.IntN(2) == 0 {
		s.after(s.randomTime(), s.restartMany)
	}
	s.lowerLimit()
	return s
}

// randomTime draws a time within the scenario.
func (s *scenario) randomTime() time.Duration {
	return time.Duration(s.random.Int64N(int64(25 * time.Second)))
}

// degradeLinks has some messages arrive late or not at all.
func (s *scenario) degradeLinks() {
	lossProbability := s.random.Float64() * 0.03 * float64(s.random.IntN(2))
	delayProbability := s.random.Float64() * 0.1 * float64(s.random.IntN(2))
	s.delay = func() (time.Duration, bool) {
		if s.random.Float64() < lossProbability {
			return 0, false
		}
		d := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
		if s.random.Float64() < delayProbability {
			d += time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))
		}
		return d, true
	}
}

// surge sends three to ten times what the limit allows through some of the nodes, with pauses in
// which the burst is saved up.
func (s *scenario) surge() {
	busy := 1 + s.random.IntN(len(s.nodes))
	rate := max(20, s.limit.Rate*(3+7*s.random.Float64()))
	at := func() *simNode { return s.nodes[s.random.IntN(busy)] }
	for from := 2 * time.Second; from < 29*time.Second; {
		until := from + time.Second + time.Duration(s.random.Int64N(int64(9*time.Second)))
		s.load("o", rate, from, until, at)
		from = until + time.Duration(s.random.Int64N(int64(5*time.Second)))
	}
}

// injectFault injects one fault.
func (s *scenario) injectFault() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if s.random.IntN(2) == 0 {
		n = s.byID(s.ids[s.random.IntN(2)]) // a coordinator
	}
	duration := 100*time.Millisecond + time.Duration(s.random.Int64N(int64(6*time.Second)))
	switch s.random.IntN(6) {
	case 0:
		n = s.largestHolder()
		fallthrough
	case 5:
		for _, n := range s.nodes {
			if s.random.IntN(2) == 0 {
				n.hideCoordinators(1+s.random.IntN(3), time.Duration(s.random.Int64N(int64(duration))))
			}
		}
		n.kill(duration / 4)
	case 1:
		n.pausedUntil = s.now + duration/4
	case 2:
		s.partition(s.random.Float64(), duration)
	case 3:
		s.flap(n, duration)
	case 4:
		for range len(s.nodes) / 40 * b2i(s.joins) { // before the others have counted them
			s.join(s.nodes[0].limits)
		}
		joined := len(s.nodes)
		s.after(duration/2, func() { s.nodeCount = max(s.nodeCount, joined) })
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// partition separates some of the nodes from the others for a time.
func (s *scenario) partition(fraction float64, duration time.Duration) {
	separated := make(map[string]bool)
	for _, n := range s.nodes {
		separated[n.id] = s.random.Float64() < fraction
	}
	s.partitioned = func(from, to *simNode) bool { return separated[from.id] != separated[to.id] }
	s.after(duration, func() { s.partitioned = func(_, _ *simNode) bool { return false } })
}

// flap has the links between two random groups of nodes fail and recover repeatedly.
func (s *scenario) flap(n *simNode, duration time.Duration) {
	until := s.now + duration
	off := quota.LeaseDuration + time.Duration(s.random.Int64N(int64(time.Second)))
	var repeat func()
	repeat = func() {
		if s.now < until {
			s.partition(0.5, off)
			s.after(off+time.Duration(s.random.Int64N(int64(300*time.Millisecond))), repeat)
		}
	}
	repeat()
}

// restartMany has many nodes restart at once.
func (s *scenario) restartMany() {
	down := time.Duration(s.random.Int64N(int64(2 * time.Second)))
	fraction := 0.3 + s.random.Float64()
	for _, n := range s.nodes {
		if s.random.Float64() < fraction {
			n.kill(down + time.Duration(s.random.Int64N(int64(300*time.Millisecond))))
		}
	}
}

// lowerLimit has the nodes learn of a lower limit, each at another time.
func (s *scenario) lowerLimit() {
	at := 8*time.Second + s.randomTime()/2
	for _, n := range s.nodes {
		learnsAt := at + time.Duration(s.random.Int64N(int64(2500*time.Millisecond)))
		s.lowered = max(s.lowered, learnsAt)
		s.after(learnsAt, func() { n.set(map[string]quota.Limit{"o": s.lower}) })
	}
	s.after(s.lowered, func() {
		for _, n := range s.nodes { // including those that have joined meanwhile
			n.set(map[string]quota.Limit{"o": s.lower})
		}
	})
	s.lowered += quota.TokenLifetime
}
