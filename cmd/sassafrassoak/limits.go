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
	faultLimit = "limit"
	faultLeave = "leaveInAnswers"
)

const (
	// limitWindow is the time over which an upstream that names a limit counts, limitOverage how
	// many times what it allows may come, and limitSlack how many requests besides.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitHeard is how long after an upstream has first named a limit all nodes have passed an
	// answer on that names it, as each sends requests all the while.
	limitPropagation = time.Second
)

// limitsDrawn are the limits that upstreams name, in requests a second.
var limitChoices = []float64{0, 0.5, 2, 8}

// drawLimits returns the limits and the leaving of a seed, which are drawn apart like the restore.
func drawLimits(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 2))
	var list []fault
	for range 1 + random.IntN(3) {
		list = append(list, fault{
			name:     faultLimit,
			start:    time.Duration(random.Int64N(int64(duration * 3 / 10))),
			duration: duration * 4 / 10,
			node:     random.IntN(2 * nodesPerService),
			limit:    limitChoices[random.IntN(len(limitChoices))],
		})
	}
	return append(list, fault{
		name:  faultLeave,
		start: time.Duration(random.Int64N(int64(duration * 5 / 10))),
		node:  random.IntN(2 * nodesPerService),
	})
}

// span is a time in which an upstream named a limit.
type limitSpan struct {
	from, to time.Time
	limit    float64
}

// nameLimit has the upstream beside a node name a limit for a time. While another one holds there,
// none is named.
func (n *node) advertiseLimit(limit float64, duration time.Duration) {
	n.limitMu.Lock()
	defer n.limitMu.Unlock()
	s := limitSpan{
		from:  time.Now(),
		limit: limit,
	}
	u := n.upstream.Load()
	u.AdvertiseLimit(fmt.Sprint(limit))
	time.Sleep(duration)
	s.to = time.Now()
	u.AdvertiseLimit("")
	n.limitSpans = append(n.limitSpans, s)
}

// checkLimits finds upstreams that got more than the limit allows that they named.
func (c *cluster) checkLimits() []string {
	var violations []string
	for _, n := range c.nodes {
		var arrivals []time.Time
		for _, a := range n.upstream.Load().Arrivals() {
			if a.ID != "" {
				arrivals = append(arrivals, a.At)
			}
		}
		for _, s := range n.limitSpans {
			if count, bound := s.maxInWindow(arrivals); float64(count) > bound {
				violations = append(violations, fmt.Sprintf("over its limit: the upstream of %s named %g a second for %v and got %d requests in %v; %.0f allowed", n.name, s.limit, s.to.Sub(s.from).Round(time.Millisecond), count, limitWindow, bound))
			}
		}
	}
	return violations
}

// worst returns the most of the arrivals that came in a window of the span, and how many may.
func (s limitSpan) maxInWindow(arrivals []time.Time) (count int, bound float64) {
	within := slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool {
		return at.Before(s.from.Add(limitPropagation)) || at.After(s.to)
	})
	slices.SortFunc(within, time.Time.Compare)
	first := 0
	for i, at := range within {
		for at.Sub(within[first]) >= limitWindow {
			first++
		}
		count = max(count, i+1-first)
	}
	return count, limitOverage*limitWindow.Seconds()*s.limit + limitSlack
}

// checkLeaving finds requests that ran at an upstream though the node that they began at had passed
// on, drainBound before, that it leaves.
func checkLeaving(list []outcome, runs map[string][]platformtest.Run) []string {
	type pair struct{ node, upstream string }
	firstTold := make(map[pair]time.Time)
	for _, o := range list {
		if o.leavingUpstream == "" {
			continue
		}
		p := pair{o.node, o.leavingUpstream}
		if at, ok := firstTold[p]; !ok || o.endedAt.Before(at) {
			firstTold[p] = o.endedAt
		}
	}
	var violations []string
	for _, o := range list {
		for _, r := range runs[o.id] {
			if at, ok := firstTold[pair{o.node, r.Upstream}]; ok && o.sentAt.After(at.Add(drainBound)) {
				violations = append(violations, fmt.Sprintf("went to an upstream that leaves: request %s from %s, %v after the bound", o.id, o.node, o.sentAt.Sub(at.Add(drainBound))))
			}
		}
	}
	return violations
}
