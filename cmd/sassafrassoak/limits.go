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

// faultLimit makes an upstream advertise a limit in its responses for a time, and faultLeave makes
// one state in its responses that it is leaving, without announcing it.
const (
	faultLimit = "limit"
	faultLeave = "leaveInAnswers"
)

const (
	// limitWindow is the window over which an upstream's arrivals are counted, limitOverage the
	// permitted multiple of its limit, and limitSlack the number of requests permitted beyond that.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// limitPropagation is the time within which all nodes have received a response that
	// advertises a new limit, as each node sends requests continuously.
	limitPropagation = time.Second
)

// limitChoices are the limits that upstreams advertise, in requests per second.
var limitChoices = []float64{0, 0.5, 2, 8}

// drawLimits returns the limits and the leave of a seed, from a random stream of their own.
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

// limitSpan is a period during which an upstream advertised a limit.
type limitSpan struct {
	from, to time.Time
	limit    float64
}

// advertiseLimit makes the upstream beside a node advertise a limit for a duration, after any
// earlier call for that upstream has ended.
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

// checkLimits finds upstreams that received more requests than the limit they advertised permits.
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
				violations = append(violations, fmt.Sprintf("limit exceeded: the upstream of %s advertised %g requests per second for %v and received %d requests in %v; %.0f allowed", n.name, s.limit, s.to.Sub(s.from).Round(time.Millisecond), count, limitWindow, bound))
			}
		}
	}
	return violations
}

// maxInWindow returns the largest number of arrivals in any window of the span, and the number
// that is permitted.
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

// checkLeaving finds requests that ran at a leaving upstream more than drainBound after their
// entry had received a response stating that the upstream is leaving.
func checkLeaving(list []outcome, runs map[string][]platformtest.Run) []string {
	type pair struct{ node, upstream string }
	firstReceived := make(map[pair]time.Time)
	for _, o := range list {
		if o.leavingUpstream == "" {
			continue
		}
		p := pair{o.node, o.leavingUpstream}
		if at, ok := firstReceived[p]; !ok || o.endedAt.Before(at) {
			firstReceived[p] = o.endedAt
		}
	}
	var violations []string
	for _, o := range list {
		for _, r := range runs[o.id] {
			if at, ok := firstReceived[pair{o.node, r.Upstream}]; ok && o.sentAt.After(at.Add(drainBound)) {
				violations = append(violations, fmt.Sprintf("sent to a leaving upstream: request %s from %s, %v after the bound", o.id, o.node, o.sentAt.Sub(at.Add(drainBound))))
			}
		}
	}
	return violations
}
