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

// pair is a node and two homes, all with the same clock, which time passes on.
type harness struct {
	t            *testing.T
	now          time.Duration
	client       *quota.Client
	coordinators map[string]*quota.Coordinator
}

func newHarness(t *testing.T) *harness {
	p := &harness{
		t:            t,
		client:       quota.NewClient(1, 0),
		coordinators: make(map[string]*quota.Coordinator),
	}
	p.client.SetNodes(2)
	for i, name := range []string{"a", "b"} {
		h := quota.NewCoordinator(uint32(i+1), exact, 0)
		h.SetLimits(limited(100, 50), 0)
		p.coordinators[name] = h
	}
	p.advance(quota.LeaseDuration)
	return p
}

func (p *harness) advance(d time.Duration) { p.now += d }

// ask makes an exchange that takes a time each way.
func (p *harness) request(coordinator string, wanted int, there, back time.Duration) *quota.Response {
	p.client.ChooseCoordinator([]string{coordinator}, p.now)
	var list []quota.TokenCount
	if wanted > 0 {
		list = append(list, quota.TokenCount{Organisation: "o", Tokens: wanted})
	}
	r := p.client.NextRequest(coordinator, list, p.now)
	return p.exchange(coordinator, r, there, back)
}

func (p *harness) exchange(coordinator string, r *quota.Request, there, back time.Duration) *quota.Response {
	sent := p.now
	p.advance(there)
	response := p.coordinators[coordinator].HandleRequest("n", r, p.now)
	p.advance(back)
	if response != nil {
		p.client.HandleResponse(coordinator, r, response, sent, p.now)
	}
	return response
}

func (p *harness) heldFraction(coordinator string) float64 {
	_, fraction := p.coordinators[coordinator].HeldShares(p.now)
	return fraction
}

// TestOneHolder has a node change its home. The right is at one of the two at any time.
func TestShareHasOneHolder(t *testing.T) {
	tests := map[string]struct {
		withdraw bool          // whether the old home is asked for the right
		after    time.Duration // until the new one is asked
		old, new float64       // the shares then
	}{
		"at once":             {old: 0.5},
		"withdrawn":           {withdraw: true, new: 0.5},
		"late in the lease":   {after: quota.LeaseDuration - 30*time.Millisecond, old: 0.5},
		"when it has ended":   {after: quota.LeaseDuration, new: 0.5},
		"long after it ended": {after: 3 * quota.LeaseDuration, new: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t)
			p.request("a", 0, 0, 0)
			qt.Check(t, p.heldFraction("a"), qt.Equals, 0.0, qt.Commentf("its clock is not known yet"))
			p.request("b", 0, 0, 0)
			p.request("a", 0, 0, 0)
			qt.Check(t, p.heldFraction("a"), qt.Equals, 0.5)
			if test.withdraw {
				p.exchange("a", p.client.ProbeRequest("a", p.now), 0, 0)
			}
			p.advance(test.after)
			p.request("b", 0, 0, 0)
			qt.Check(t, p.heldFraction("a"), qt.Equals, test.old)
			qt.Check(t, p.heldFraction("b"), qt.Equals, test.new)
		})
	}
}

// TestLateAsk has an Ask come late. The home holds the right for no longer than the node
// takes it to be there.
func TestDelayedRequest(t *testing.T) {
	p := newHarness(t)
	p.request("a", 0, 0, 0)
	p.request("b", 0, 0, 0)
	sent := p.now
	p.request("a", 0, quota.LeaseDuration/2, 0)
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.5)
	p.now = sent + quota.LeaseDuration
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.0)
	p.request("b", 0, 0, 0)
	qt.Check(t, p.heldFraction("b"), qt.Equals, 0.5)

	delayed := p.client.NextRequest("a", nil, p.now)
	p.advance(2 * quota.LeaseDuration)
	p.coordinators["a"].HandleRequest("n", delayed, p.now)
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.0)
}

// TestOvertaken has an Ask come after the one that took the right back.
func TestOvertakenRequest(t *testing.T) {
	p := newHarness(t)
	p.request("a", 0, 0, 0)
	slow := p.client.NextRequest("a", nil, p.now)
	p.exchange("a", p.client.ProbeRequest("a", p.now), 0, 0)
	qt.Check(t, p.coordinators["a"].HandleRequest("n", slow, p.now), qt.IsNil)
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.0)
}

// TestStartsAnew has a node start anew: its right may still be where it was, and what the
// process before has sent does not count any more.
func TestNodeRestarts(t *testing.T) {
	p := newHarness(t)
	p.request("a", 0, 0, 0)
	old := p.client.NextRequest("a", nil, p.now)
	p.request("a", 0, 0, 0)
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.5)
	p.client = quota.NewClient(2, p.now)
	p.client.SetNodes(2)
	p.request("b", 0, 0, 0)
	p.request("b", 0, 0, 0)
	qt.Check(t, p.heldFraction("b"), qt.Equals, 0.0)
	p.advance(quota.LeaseDuration)
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.0)
	p.request("b", 0, 0, 0)
	qt.Check(t, p.heldFraction("b"), qt.Equals, 0.5)
	p.request("a", 0, 0, 0)
	qt.Check(t, p.coordinators["a"].HandleRequest("n", old, p.now), qt.IsNil)
}

// TestHomeStartsAnew has a home start anew, which knows nothing of the rights that it held
// nor of its buckets.
func TestCoordinatorRestarts(t *testing.T) {
	p := newHarness(t)
	p.request("a", 0, 0, 0)
	p.request("a", 0, 0, 0)
	p.advance(quota.RenewInterval)
	qt.Check(t, p.request("a", 1, 0, 0).Grants[0].Tokens, qt.Equals, 1)
	p.coordinators["a"] = quota.NewCoordinator(9, exact, p.now)
	p.coordinators["a"].SetLimits(limited(100, 50), p.now)
	response := p.request("a", 1, 0, 0)
	qt.Check(t, response.Grants[0].Tokens, qt.Equals, 0)
	qt.Check(t, response.Grants[0].Unknown, qt.IsTrue)
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.0)
	response = p.request("a", 1, 0, 0)
	qt.Check(t, p.heldFraction("a"), qt.Equals, 0.5)
	qt.Check(t, response.Grants[0].Tokens, qt.Equals, 0)
	qt.Check(t, response.Grants[0].RetryAfter > 0, qt.IsTrue)
}

// TestSaysBeyond has a home without tokens, which says that the limit is reached only if it
// knows: with nearly all rights, for long enough that its buckets have filled.
func TestReportsLimitReached(t *testing.T) {
	tests := map[string]struct {
		nodes   int
		held    time.Duration
		unknown bool
	}{
		"half of the rights":   {nodes: 2, held: 5 * time.Second, unknown: true},
		"all, a moment ago":    {nodes: 1, held: 500 * time.Millisecond, unknown: true},
		"all, for long enough": {nodes: 1, held: 1500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t)
			p.client.SetNodes(test.nodes)
			p.request("a", 0, 0, 0)
			p.request("a", 0, 0, 0)
			for range test.held / (100 * time.Millisecond) {
				p.advance(100 * time.Millisecond)
				p.request("a", 0, 0, 0)
			}
			g := p.request("a", 1000, 0, 0).Grants[0]
			qt.Check(t, g.Tokens < 1000, qt.IsTrue)
			qt.Check(t, g.RetryAfter > 0, qt.IsTrue)
			qt.Check(t, g.Unknown, qt.Equals, test.unknown)
		})
	}
}

// TestTokens has tokens that are left over, given back, or too old.
func TestTokens(t *testing.T) {
	p := newHarness(t)
	p.request("a", 0, 0, 0)
	p.request("a", 0, 0, 0)
	p.advance(100 * time.Millisecond)
	p.request("a", 3, 10*time.Millisecond, 0)
	token, ok := p.client.Take("o", p.now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = p.client.Take("o", p.now)
	qt.Assert(t, ok, qt.IsTrue)
	p.client.ReturnToken(token, p.now)
	_, ok = p.client.Take("o", p.now)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("one was left over"))
	p.advance(quota.TokenLifetime - 11*time.Millisecond)
	_, ok = p.client.Take("o", p.now)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("one was given back"))
	_, ok = p.client.Take("o", p.now)
	qt.Check(t, ok, qt.IsFalse)

	p.request("a", 0, 0, 0)
	p.advance(quota.RenewInterval)
	p.request("a", 1, 0, 0)
	token, ok = p.client.Take("o", p.now)
	qt.Assert(t, ok, qt.IsTrue)
	p.advance(quota.TokenLifetime)
	p.client.ReturnToken(token, p.now)
	_, ok = p.client.Take("o", p.now)
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("too late"))
}

// TestReturns has tokens returned to their home, which grants them again.
func TestReturnedTokens(t *testing.T) {
	p := newHarness(t)
	p.request("a", 0, 0, 0)
	p.request("a", 0, 0, 0)
	p.advance(100 * time.Millisecond)
	granted := p.request("a", 50, 0, 0).Grants[0].Tokens
	qt.Assert(t, granted > 1, qt.IsTrue)
	back := p.client.NextRequest("a", []quota.TokenCount{{Organisation: "o", Tokens: 50}}, p.now)
	qt.Check(t, back.Returned, qt.DeepEquals, []quota.TokenCount{{Organisation: "o", Tokens: granted}})
	qt.Check(t, p.exchange("a", back, 0, 0).Grants[0].Tokens, qt.Equals, granted)
	delayed := p.client.NextRequest("a", []quota.TokenCount{{Organisation: "o", Tokens: 50}}, p.now)
	qt.Check(t, delayed.Returned, qt.HasLen, 1)
	p.advance(quota.TokenLifetime/2 + time.Millisecond)
	grown := p.coordinators["a"].HandleRequest("n", delayed, p.now).Grants[0].Tokens
	qt.Check(t, grown < granted+8, qt.IsTrue, qt.Commentf("%d: what comes back late is not taken", grown))
}

// TestCensus is about the number among which the rights are divided.
func TestNodeEstimate(t *testing.T) {
	estimate := quota.NewNodeEstimate(0)
	estimate.Observe(3, 0)
	qt.Check(t, estimate.Nodes(time.Second), qt.Equals, 0, qt.Commentf("the others may not be known yet"))
	estimate.ObserveReported(70)
	qt.Check(t, estimate.Nodes(time.Second), qt.Equals, 70)
	estimate.ObserveStored(60, 0)
	qt.Check(t, estimate.Nodes(time.Second), qt.Equals, 60)
	estimate.Observe(80, time.Second)
	estimate.Observe(20, time.Minute)
	qt.Check(t, estimate.Nodes(time.Minute), qt.Equals, 80)
	estimate.Observe(20, 10*time.Minute)
	qt.Check(t, estimate.Nodes(10*time.Minute), qt.Equals, 80)
	estimate.Observe(20, 20*time.Minute)
	qt.Check(t, estimate.Nodes(20*time.Minute), qt.Equals, 20)
	alone := quota.NewNodeEstimate(0)
	alone.Observe(1, 0)
	qt.Check(t, alone.Nodes(10*time.Second), qt.Equals, 1)
}

// TestLimits has limits change. A bucket keeps no more than its new depth, and one that comes
// back is empty.
func TestLimitChanges(t *testing.T) {
	tests := map[string]struct {
		limits []map[string]quota.Limit
		want   int
	}{
		"same":      {limits: []map[string]quota.Limit{limited(100, 50)}, want: 25},
		"higher":    {limits: []map[string]quota.Limit{limited(1000, 500)}, want: 25},
		"lower":     {limits: []map[string]quota.Limit{limited(10, 10)}, want: 5},
		"none":      {limits: []map[string]quota.Limit{nil}},
		"come back": {limits: []map[string]quota.Limit{nil, limited(100, 50)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t)
			p.request("a", 0, 0, 0)
			for range 10 {
				p.request("a", 0, 0, 0)
				p.advance(quota.RenewInterval)
			}
			p.request("a", 0, 0, 0)
			for _, l := range test.limits {
				p.coordinators["a"].SetLimits(l, p.now)
			}
			qt.Check(t, p.request("a", 100, 0, 0).Grants[0].Tokens, qt.Equals, test.want)
		})
	}
}

// TestLate has requests in a rush that their callers send for the second time, with little of
// their time left. They get no token while others are refused.
func TestLateRequests(t *testing.T) {
	var l quota.Lateness
	const objective = 600 * time.Millisecond
	tests := []struct {
		left, at time.Duration
		class    string
		late     bool
	}{
		{left: 2 * time.Second},
		{left: 4 * time.Second},
		{left: 3800 * time.Millisecond},
		{left: 3600 * time.Millisecond, late: true},
		{left: 3300 * time.Millisecond, late: true},
		{left: 3300 * time.Millisecond, class: "other"},
		{left: 3300 * time.Millisecond, at: 12 * time.Second, late: true},
		{left: 3300 * time.Millisecond, at: 40 * time.Second},
	}
	for i, test := range tests {
		qt.Check(t, l.Late(test.class, test.left, objective, test.at), qt.Equals, test.late, qt.Commentf("%d", i))
	}
	qt.Check(t, l.Late("", time.Second, 0, 40*time.Second), qt.IsFalse)

	p := newHarness(t)
	limiter := quota.NewLimiter(p.client)
	limiter.ChooseCoordinator([]string{"a"}, p.now)
	for range 3 {
		p.exchange("a", limiter.NextRequest("a", p.now), 0, 0)
		p.advance(quota.RenewInterval)
	}
	var granted, refused int
	count := func(d quota.Decision) {
		if d.Granted {
			granted++
		} else {
			refused++
		}
	}
	exchange := func() {
		r := limiter.NextRequest("a", p.now)
		limiter.HandleResponse("a", r, p.coordinators["a"].HandleRequest("n", r, p.now), p.now, p.now)
	}
	for range 100 {
		limiter.Admit("o", false, p.now, count)
	}
	exchange()
	exchange()
	qt.Check(t, granted > 0 && refused > 50, qt.IsTrue, qt.Commentf("%d, %d", granted, refused))
	p.advance(200 * time.Millisecond)
	before := refused
	limiter.Admit("o", true, p.now, count)
	qt.Check(t, refused, qt.Equals, before+1, qt.Commentf("late"))
	before = granted
	limiter.Admit("o", false, p.now, count)
	exchange()
	qt.Check(t, granted, qt.Equals, before+1, qt.Commentf("there was a token"))
	for range 5 {
		p.advance(quota.RenewInterval)
		exchange()
	}
	limiter.Admit("o", true, p.now, count)
	exchange()
	qt.Check(t, granted, qt.Equals, before+2, qt.Commentf("nobody is refused any more"))
}

// TestLateRequestsByManyNodes has an organisation ask for three times its limit by many nodes,
// each of which sees few of its requests, a third of them late. All tokens go to those in time
// while these want more than there are, and late ones get theirs once the rush is over.
func TestLateRequestsAtManyNodes(t *testing.T) {
	const (
		nodes = 20
		step  = 10 * time.Millisecond
	)
	coordinator := quota.NewCoordinator(1, exact, 0)
	coordinator.SetLimits(limited(100, 50), 0)
	limiters := make([]*quota.Limiter, nodes)
	for i := range limiters {
		limiters[i] = quota.NewLimiter(quota.NewClient(uint64(i+1), 0))
		limiters[i].SetNodes(nodes)
		limiters[i].ChooseCoordinator([]string{"a"}, 0)
	}
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	run := func(duration time.Duration, each int) (granted [2]int) {
		for end := now + duration; now < end; now += step {
			for range each {
				kind := 0
				if random.IntN(3) == 0 {
					kind = 1
				}
				limiters[random.IntN(nodes)].Admit("o", kind == 1, now, func(d quota.Decision) {
					if d.Granted {
						granted[kind]++
					}
				})
			}
			for i, l := range limiters {
				if now%quota.RenewInterval != 0 && l.Waiting() == 0 {
					continue
				}
				r := l.NextRequest("a", now)
				l.HandleResponse("a", r, coordinator.HandleRequest(fmt.Sprint("n", i), r, now), now, now)
			}
		}
		return granted
	}
	run(5*time.Second, 0)
	run(time.Second, 3) // what the burst allows
	surge := run(4*time.Second, 3)
	qt.Check(t, surge[0] > 350, qt.IsTrue, qt.Commentf("%d tokens of 400 for those in time", surge[0]))
	qt.Check(t, surge[1], qt.Equals, 0, qt.Commentf("tokens for late ones"))
	run(time.Second, 0)
	idle := run(2*time.Second, 0)
	qt.Check(t, idle, qt.Equals, [2]int{})
	var late int
	for range 40 {
		limiters[random.IntN(nodes)].Admit("o", true, now, func(d quota.Decision) {
			if d.Granted {
				late++
			}
		})
	}
	run(100*time.Millisecond, 0)
	qt.Check(t, late > 20, qt.IsTrue, qt.Commentf("%d of 40 late ones after the rush", late))
}
