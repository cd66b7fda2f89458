// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"maps"
	"slices"
	"time"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/routes"
)

const (
	// budgetSafety is the part of the budget for repeated sendings that is used:
	// calls that a repeated request makes count as repeated too, and the nodes'
	// counts of each other differ for a while.
	budgetSafety = 0.6
	// hedgePart is the part of that which goes to requests that are slow rather
	// than failed.
	hedgePart = 0.5
	// mostTries bounds the sendings of a request. Refusals by gates reach no
	// upstream, and each costs one exchange between nodes.
	mostTries = 5
	// zoneCost is what routing gives to another availability zone. It is several
	// times the delay between zones, as the bytes are paid for; an upstream that is
	// slowed down fourfold costs a request of 40 ms or more over 100 ms.
	zoneCost = 12 * time.Millisecond
	// waitPart is the part of a route's latency objective for which its requests
	// wait at a gate at most: a caller that is refused by then may still be served
	// within the objective when it comes back. queueWait holds for routes without
	// an objective, queueLength is the most that wait.
	waitPart = 0.25
	// servicePart is the part of the least latency objective that a request is
	// expected to take before any has ended. Operators set objectives at two to
	// five times the usual service time.
	servicePart = 0.25
	queueWait   = 60 * time.Millisecond
	queueLength = 16
	// slotShare is the part of an upstream's slots that is used. Requests that
	// began with more than eight of eleven slots taken were measured to run 1.7
	// times as long (109 ms against 63 ms), so that more of them end with eight.
	slotShare = 0.8
	// priorityWeight is how many times the slots of the next lower priority a
	// priority gets while requests of both wait.
	priorityWeight = 4.0
)

// template returns what holds for a service of a table of routes.
func (n *Node) template(t *routes.Table, service string, nodes int) operator.Service {
	fixed := false
	s := n.live()
	o := operator.Service{
		Classes:     classes(t, service),
		Policy:      "fastest",
		ZoneCost:    operator.Duration(zoneCost),
		ServiceTime: operator.Duration(expectedService(t, service)),
		Queue: operator.Queue{
			Length:    queueLength,
			SlotShare: slotShare,
			Wait:      operator.Duration(queueWait),
			Adaptive:  &fixed,
		},
		Retry: operator.Retry{
			MaxTries: mostTries,
			OnError:  true,
			Window:   operator.Duration(s.RetryWindow),
			Share:    (1 - hedgePart) * budgetSafety * s.RetryRatio,
			Burst:    (1 - hedgePart) * budgetSafety * s.RetrySlack / float64(nodes),
		},
		Hedge: operator.Hedge{
			Share: hedgePart * budgetSafety * s.RetryRatio,
			Burst: hedgePart * budgetSafety * s.RetrySlack / float64(nodes),
		},
	}
	return o.WithDefaults()
}

// classes returns a class for each priority of the routes that lead to the
// service. The lowest number is the highest priority.
func classes(t *routes.Table, service string) []operator.Class {
	objectives := objectivesOf(t, service)
	priorities := slices.Collect(maps.Keys(objectives))
	slices.Sort(priorities)
	slices.Reverse(priorities)
	weight := 1.0
	var list []operator.Class
	for _, p := range priorities {
		list = append(list, operator.Class{
			Name:     caller.ClassOf(p),
			Weight:   weight,
			MaxShare: 1,
			Priority: -p,
			Wait:     operator.Duration(waitPart * float64(objectives[p])),
		})
		weight *= priorityWeight
	}
	return list
}

// objectivesOf returns the least latency objective of the routes to a service, by
// priority. It is 0 where no route of a priority has one.
func objectivesOf(t *routes.Table, service string) map[int]time.Duration {
	least := make(map[int]time.Duration)
	for _, r := range t.Routes {
		if !slices.ContainsFunc(r.Parts, func(p routes.Part) bool { return p.Service == service }) {
			continue
		}
		if o := least[r.Priority]; o == 0 || r.Objective > 0 && r.Objective < o {
			least[r.Priority] = r.Objective
		}
	}
	return least
}

// expectedService returns what a request to a service is expected to take, by the
// objectives of its routes.
func expectedService(t *routes.Table, service string) time.Duration {
	var least time.Duration
	for _, o := range objectivesOf(t, service) {
		if least == 0 || o > 0 && o < least {
			least = o
		}
	}
	return time.Duration(servicePart * float64(least))
}
