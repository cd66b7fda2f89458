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

// harness is a node and two coordinators that share a clock.
type harness struct {
	t            *testing.T
	now          time.Duration
	client       *quota.Client
	coordinators map[string]*quota.Coordinator
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t:            t,
		client:       quota.NewClient(1, 0),
		coordinators: make(map[string]*quota.Coordinator),
	}
	h.client.SetNodes(2)
	for i, name := range []string{"a", "b"} {
		c := quota.NewCoordinator(uint32(i+1), exact, 0)
		c.SetLimits(limited(100, 50), 0)
		h.coordinators[name] = c
	}
	h.advance(quota.LeaseDuration)
	return h
}

func (h *harness) advance(d time.Duration) { h.now += d }

// request makes an exchange that takes the given time each way.
func (h *harness) request(coordinator string, wanted int, there, back time.Duration) *quota.Response {
	h.client.ChooseCoordinator([]string{coordinator}, h.now)
	var list []quota.TokenCount
	if wanted > 0 {
		list = append(list, quota.TokenCount{Organisation: "o", Tokens: wanted})
	}
	r := h.client.NextRequest(coordinator, list, h.now)
	return h.exchange(coordinator, r, there, back)
}

func (h *harness) exchange(coordinator string, r *quota.Request, there, back time.Duration) *quota.Response {
	sent := h.now
	h.advance(there)
	response := h.coordinators[coordinator].HandleRequest("n", r, h.now)
	h.advance(back)
	if response != nil {
		h.client.HandleResponse(coordinator, r, response, sent, h.now)
	}
	return response
}

func (h *harness) heldFraction(coordinator string) float64 {
	_, fraction := h.coordinators[coordinator].HeldShares(h.now)
	return fraction
}

// TestShareHasOneHolder has a node change its coordinator. One of the two holds the share at any
// time.
func TestShareHasOneHolder(t *testing.T) {
	tests := map[string]struct {
		withdraw bool          // whether the share is withdrawn from the old coordinator
		after    time.Duration // until the new one gets a request
		old, new float64       // the fractions held then
	}{
		"at once":               {old: 0.5},
		"withdrawn":             {withdraw: true, new: 0.5},
		"late in the lease":     {after: quota.LeaseDuration - 30*time.Millisecond, old: 0.5},
		"when it has expired":   {after: quota.LeaseDuration, new: 0.5},
		"long after it expired": {after: 3 * quota.LeaseDuration, new: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.request("a", 0, 0, 0)
			qt.Check(t, h.heldFraction("a"), qt.Equals, 0.0, qt.Commentf("its clock is not known yet"))
			h.request("b", 0, 0, 0)
			h.request("a", 0, 0, 0)
			qt.Check(t, h.heldFraction("a"), qt.Equals, 0.5)
			if test.withdraw {
				h.exchange("a", h.client.ProbeRequest("a", h.now), 0, 0)
			}
			h.advance(test.after)
			h.request("b", 0, 0, 0)
			qt.Check(t, h.heldFraction("a"), qt.Equals, test.old)
			qt.Check(t, h.heldFraction("b"), qt.Equals, test.new)
		})
	}
}

// TestDelayedRequest has a Request arrive late. The coordinator holds the share for no longer
// than the node assumes.
func TestDelayedRequest(t *testing.T) {
	h := newHarness(t)
	h.request("a", 0, 0, 0)
	h.request("b", 0, 0, 0)
	sent := h.now
	h.request("a", 0, quota.LeaseDuration/2, 0)
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.5)
	h.now = sent + quota.LeaseDuration
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.0)
	h.request("b", 0, 0, 0)
	qt.Check(t, h.heldFraction("b"), qt.Equals, 0.5)

	delayed := h.client.NextRequest("a", nil, h.now)
	h.advance(2 * quota.LeaseDuration)
	h.coordinators["a"].HandleRequest("n", delayed, h.now)
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.0)
}

// TestOvertakenRequest has a Request arrive after the one that withdrew the share.
func TestOvertakenRequest(t *testing.T) {
	h := newHarness(t)
	h.request("a", 0, 0, 0)
	slow := h.client.NextRequest("a", nil, h.now)
	h.exchange("a", h.client.ProbeRequest("a", h.now), 0, 0)
	qt.Check(t, h.coordinators["a"].HandleRequest("n", slow, h.now), qt.IsNil)
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.0)
}

// TestNodeRestarts has a node restart. Its share may still be held where it was, and requests of
// the previous process are ignored.
func TestNodeRestarts(t *testing.T) {
	h := newHarness(t)
	h.request("a", 0, 0, 0)
	old := h.client.NextRequest("a", nil, h.now)
	h.request("a", 0, 0, 0)
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.5)
	h.client = quota.NewClient(2, h.now)
	h.client.SetNodes(2)
	h.request("b", 0, 0, 0)
	h.request("b", 0, 0, 0)
	qt.Check(t, h.heldFraction("b"), qt.Equals, 0.0)
	h.advance(quota.LeaseDuration)
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.0)
	h.request("b", 0, 0, 0)
	qt.Check(t, h.heldFraction("b"), qt.Equals, 0.5)
	h.request("a", 0, 0, 0)
	qt.Check(t, h.coordinators["a"].HandleRequest("n", old, h.now), qt.IsNil)
}

// TestCoordinatorRestarts has a coordinator restart, which loses the shares that it held and its
// buckets.
func TestCoordinatorRestarts(t *testing.T) {
	h := newHarness(t)
	h.request("a", 0, 0, 0)
	h.request("a", 0, 0, 0)
	h.advance(quota.RenewInterval)
	qt.Check(t, h.request("a", 1, 0, 0).Grants[0].Tokens, qt.Equals, 1)
	h.coordinators["a"] = quota.NewCoordinator(9, exact, h.now)
	h.coordinators["a"].SetLimits(limited(100, 50), h.now)
	response := h.request("a", 1, 0, 0)
	qt.Check(t, response.Grants[0].Tokens, qt.Equals, 0)
	qt.Check(t, response.Grants[0].Unknown, qt.IsTrue)
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.0)
	response = h.request("a", 1, 0, 0)
	qt.Check(t, h.heldFraction("a"), qt.Equals, 0.5)
	qt.Check(t, response.Grants[0].Tokens, qt.Equals, 0)
	qt.Check(t, response.Grants[0].RetryAfter > 0, qt.IsTrue)
}

// TestReportsLimitReached has a coordinator without tokens. It reports that the limit is reached
// only if it is certain: if it has held nearly all shares for long enough to fill its buckets.
func TestReportsLimitReached(t *testing.T) {
	tests := map[string]struct {
		nodes   int
		held    time.Duration
		unknown bool
	}{
		"half of the shares":    {nodes: 2, held: 5 * time.Second, unknown: true},
		"all, but not for long": {nodes: 1, held: 500 * time.Millisecond, unknown: true},
		"all, for long enough":  {nodes: 1, held: 1500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.client.SetNodes(test.nodes)
			h.request("a", 0, 0, 0)
			h.request("a", 0, 0, 0)
			for range test.held / (100 * time.Millisecond) {
				h.advance(100 * time.Millisecond)
				h.request("a", 0, 0, 0)
			}
			g := h.request("a", 1000, 0, 0).Grants[0]
			qt.Check(t, g.Tokens < 1000, qt.IsTrue)
			qt.Check(t, g.RetryAfter > 0, qt.IsTrue)
			qt.Check(t, g.Unknown, qt.Equals, test.unknown)
		})
	}
}

// TestTokens has tokens that are unused, returned, or expired.
func TestTokens(t *testing.T) {
	h := newHarness(t)
	h.request("a", 0, 0, 0)
	h.request("a", 0, 0, 0)
	h.advance(100 * time.Millisecond)
	h.request("a", 3, 10*time.Millisecond, 0)
	token, ok := h.client.Take("o", h.now)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = h.client.Take("o", h.now)
	qt.Assert(t, ok, qt.IsTrue)
	h.client.ReturnToken(token, h.now)
	_, ok = h.client.Take("o", h.now)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("one was unused"))
	h.advance(quota.TokenLifetime - 11*time.Millisecond)
	_, ok = h.client.Take("o", h.now)
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("one was returned"))
	_, ok = h.client.Take("o", h.now)
	qt.Check(t, ok, qt.IsFalse)

	h.request("a", 0, 0, 0)
	h.advance(quota.RenewInterval)
	h.request("a", 1, 0, 0)
	token, ok = h.client.Take("o", h.now)
	qt.Assert(t, ok, qt.IsTrue)
	h.advance(quota.TokenLifetime)
	h.client.ReturnToken(token, h.now)
	_, ok = h.client.Take("o", h.now)
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("too late"))
}

// TestReturnedTokens has tokens returned to their coordinator, which grants them again.
func TestReturnedTokens(t *testing.T) {
	h := newHarness(t)
	h.request("a", 0, 0, 0)
	h.request("a", 0, 0, 0)
	h.advance(100 * time.Millisecond)
	granted := h.request("a", 50, 0, 0).Grants[0].Tokens
	qt.Assert(t, granted > 1, qt.IsTrue)
	back := h.client.NextRequest("a", []quota.TokenCount{{Organisation: "o", Tokens: 50}}, h.now)
	qt.Check(t, back.Returned, qt.DeepEquals, []quota.TokenCount{{Organisation: "o", Tokens: granted}})
	qt.Check(t, h.exchange("a", back, 0, 0).Grants[0].Tokens, qt.Equals, granted)
	delayed := h.client.NextRequest("a", []quota.TokenCount{{Organisation: "o", Tokens: 50}}, h.now)
	qt.Check(t, delayed.Returned, qt.HasLen, 1)
	h.advance(quota.TokenLifetime/2 + time.Millisecond)
	grown := h.coordinators["a"].HandleRequest("n", delayed, h.now).Grants[0].Tokens
	qt.Check(t, grown < granted+8, qt.IsTrue, qt.Commentf("%d: tokens returned late are not accepted", grown))
}

// TestNodeEstimate checks the number of nodes among which rate limits are divided.
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
	single := quota.NewNodeEstimate(0)
	single.Observe(1, 0)
	qt.Check(t, single.Nodes(10*time.Second), qt.Equals, 1)
}

// TestLimitChanges changes limits. A bucket keeps no more than its new depth, and one that is
// created again is empty.
func TestLimitChanges(t *testing.T) {
	tests := map[string]struct {
		limits []map[string]quota.Limit
		want   int
	}{
		"same":            {limits: []map[string]quota.Limit{limited(100, 50)}, want: 25},
		"higher":          {limits: []map[string]quota.Limit{limited(1000, 500)}, want: 25},
		"lower":           {limits: []map[string]quota.Limit{limited(10, 10)}, want: 5},
		"none":            {limits: []map[string]quota.Limit{nil}},
		"none, and again": {limits: []map[string]quota.Limit{nil, limited(100, 50)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.request("a", 0, 0, 0)
			for range 10 {
				h.request("a", 0, 0, 0)
				h.advance(quota.RenewInterval)
			}
			h.request("a", 0, 0, 0)
			for _, l := range test.limits {
				h.coordinators["a"].SetLimits(l, h.now)
			}
			qt.Check(t, h.request("a", 100, 0, 0).Grants[0].Tokens, qt.Equals, test.want)
		})
	}
}

// TestLateRequests has requests in a surge that callers send for the second time, with little of
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

	h := newHarness(t)
	limiter := quota.NewLimiter(h.client)
	limiter.ChooseCoordinator([]string{"a"}, h.now)
	for range 3 {
		h.exchange("a", limiter.NextRequest("a", h.now), 0, 0)
		h.advance(quota.RenewInterval)
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
		r := limiter.NextRequest("a", h.now)
		limiter.HandleResponse("a", r, h.coordinators["a"].HandleRequest("n", r, h.now), h.now, h.now)
	}
	for range 100 {
		limiter.Admit("o", false, h.now, count)
	}
	exchange()
	exchange()
	qt.Check(t, granted > 0 && refused > 50, qt.IsTrue, qt.Commentf("%d, %d", granted, refused))
	h.advance(200 * time.Millisecond)
	before := refused
	limiter.Admit("o", true, h.now, count)
	qt.Check(t, refused, qt.Equals, before+1, qt.Commentf("late"))
	before = granted
	limiter.Admit("o", false, h.now, count)
	exchange()
	qt.Check(t, granted, qt.Equals, before+1, qt.Commentf("a token was available"))
	for range 5 {
		h.advance(quota.RenewInterval)
		exchange()
	}
	limiter.Admit("o", true, h.now, count)
	exchange()
	qt.Check(t, granted, qt.Equals, before+2, qt.Commentf("nobody is refused any more"))
}

// TestLateRequestsAtManyNodes has an organisation send three times its limit through many nodes,
// each of which sees few of its requests, a third of them late. Requests that are not late get
// all tokens while they need more than there are, and late ones get theirs after the surge.
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
	run(time.Second, 3) // uses up the burst
	surge := run(4*time.Second, 3)
	qt.Check(t, surge[0] > 350, qt.IsTrue, qt.Commentf("%d tokens of 400 for requests that are not late", surge[0]))
	qt.Check(t, surge[1], qt.Equals, 0, qt.Commentf("tokens for late requests"))
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
	qt.Check(t, late > 20, qt.IsTrue, qt.Commentf("%d of 40 late requests after the surge", late))
}
