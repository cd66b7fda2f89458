// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

// limited has an upstream name a limit in its answers for a time, and leavingTold has one say
// there that it leaves, without announcing it.
const (
	limited     = "limit"
	leavingTold = "leaveInAnswers"
)

const (
	// limitWindow is the time over which an upstream that names a limit counts, limitOverage how
	// many times what it allows may come, and limitSlack how many requests besides.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitHeard is how long after an upstream has first named a limit all nodes have passed an
	// answer on that names it, as each sends requests all the while.
	limitHeard = time.Second
)

// limitsDrawn are the limits that upstreams name, in requests a second.
var limitsDrawn = []float64{0, 0.5, 2, 8}

// drawLimits returns the limits and the leaving of a seed, which are drawn apart like the restore.
func drawLimits(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 2))
	var list []fault
	for range 1 + random.IntN(3) {
		list = append(list, fault{
			name:  limited,
			at:    time.Duration(random.Int64N(int64(duration * 3 / 10))),
			last:  duration * 4 / 10,
			node:  random.IntN(2 * pairs),
			limit: limitsDrawn[random.IntN(len(limitsDrawn))],
		})
	}
	return append(list, fault{
		name: leavingTold,
		at:   time.Duration(random.Int64N(int64(duration * 5 / 10))),
		node: random.IntN(2 * pairs),
	})
}

// span is a time in which an upstream named a limit.
type span struct {
	from, to time.Time
	limit    float64
}

// nameLimit has the upstream beside a node name a limit for a time. While another one holds there,
// none is named.
func (n *node) nameLimit(limit float64, last time.Duration) {
	n.limiting.Lock()
	defer n.limiting.Unlock()
	s := span{
		from:  time.Now(),
		limit: limit,
	}
	u := n.upstream.Load()
	u.AdvertiseLimit(fmt.Sprint(limit))
	time.Sleep(last)
	s.to = time.Now()
	u.AdvertiseLimit("")
	n.spans = append(n.spans, s)
}

// checkLimits finds upstreams that got more than the limit allows that they named.
func (w *world) checkLimits() []string {
	var broken []string
	for _, n := range w.nodes {
		var at []time.Time
		for _, a := range n.upstream.Load().Arrivals() {
			if a.ID != "" {
				at = append(at, a.At)
			}
		}
		for _, s := range n.spans {
			if most, bound := s.worst(at); float64(most) > bound {
				broken = append(broken, fmt.Sprintf("over its limit: the upstream of %s named %g a second for %v and got %d requests in %v; %.0f allowed", n.name, s.limit, s.to.Sub(s.from).Round(time.Millisecond), most, limitWindow, bound))
			}
		}
	}
	return broken
}

// worst returns the most of the arrivals that came in a window of the span, and how many may.
func (s span) worst(arrivals []time.Time) (most int, bound float64) {
	within := slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool {
		return at.Before(s.from.Add(limitHeard)) || at.After(s.to)
	})
	slices.SortFunc(within, time.Time.Compare)
	first := 0
	for i, at := range within {
		for at.Sub(within[first]) >= limitWindow {
			first++
		}
		most = max(most, i+1-first)
	}
	return most, limitOverage*limitWindow.Seconds()*s.limit + limitSlack
}

// checkLeaving finds requests that ran at an upstream though the node that they began at had passed
// on, drainBound before, that it leaves.
func checkLeaving(list []outcome, runs map[string][]platformtest.Run) []string {
	type pair struct{ node, upstream string }
	told := make(map[pair]time.Time)
	for _, o := range list {
		if o.leaver == "" {
			continue
		}
		p := pair{o.node, o.leaver}
		if at, ok := told[p]; !ok || o.ended.Before(at) {
			told[p] = o.ended
		}
	}
	var broken []string
	for _, o := range list {
		for _, r := range runs[o.id] {
			if at, ok := told[pair{o.node, r.Upstream}]; ok && o.sent.After(at.Add(drainBound)) {
				broken = append(broken, fmt.Sprintf("went to an upstream that leaves: request %s from %s, %v after the bound", o.id, o.node, o.sent.Sub(at.Add(drainBound))))
			}
		}
	}
	return broken
}
