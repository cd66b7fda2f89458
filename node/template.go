// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"cmp"
	"slices"
	"time"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/settings"
)

const (
	// budgetSafety is the part of the budget for repeated sendings that is used:
	// calls that a repeated request makes count as repeated too, and the nodes'
	// counts of each other differ for a while.
	budgetSafety = 0.6
	// hedgePart is the part of that which may be spent on requests that are slow rather
	// than failed, and retryReserve the part that is kept for the failed ones of the
	// most urgent class.
	hedgePart    = 0.5
	retryReserve = 0.5
	// mostTries bounds the sendings of a request. Refusals by gates reach no
	// upstream, and each costs one exchange between nodes.
	mostTries = 5
	// zoneCost is what routing gives to another availability zone. It is several
	// times the delay between zones, as the bytes are paid for, and far less than a run
	// at an upstream that is slowed down.
	zoneCost = 12 * time.Millisecond
	// crossing is what sending to another availability zone costs besides, in usual
	// service times: bytes between zones are paid for. An upstream in the zone is passed
	// over that is slowed down by a half or more, or nearly full, and no other.
	crossing = 0.5
	// servicePart is the part of the least latency objective that a request is
	// expected to take before any has ended. Operators set objectives at two to
	// five times the usual service time.
	servicePart = 0.25
	// queueWait is how long requests of routes without an objective wait, queueLength
	// the most requests that wait.
	queueWait   = 60 * time.Millisecond
	queueLength = 16
	// slotShare is the part of an upstream's slots that is used. Runs at an upstream
	// that is nearly full take so much longer that more of them end with fewer at once.
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
		Crossing:    crossing,
		ServiceTime: operator.Duration(expectedService(t, service)),
		Queue: operator.Queue{
			Length:    queueLength,
			SlotShare: slotShare,
			Wait:      operator.Duration(queueWait),
			Hold:      true,
			Adaptive:  &fixed,
		},
		Cold: coldOf(t, service, s),
		Retry: operator.Retry{
			MaxTries: mostTries,
			OnError:  true,
			Window:   operator.Duration(s.RetryWindow),
			Share:    budgetSafety * s.RetryRatio,
			Burst:    budgetSafety * s.RetrySlack / float64(nodes),
			Reserve:  retryReserve,
		},
		Hedge: operator.Hedge{
			Part: hedgePart,
		},
	}
	return o.WithDefaults()
}

const (
	// coldReserve is the number of requests by which the last check before an upstream
	// stays below the bound in any second: this one's clock and the upstream's tell a second
	// apart by some milliseconds.
	coldReserve = 1
	// coldHeldPart is the part of the slack that admission leaves to requests which are held
	// up before they are sent, and may come in the next second with that one's. The last
	// look before an upstream keeps the bound in any case: more is left to it at the cost
	// of requests that are refused after they were admitted.
	coldHeldPart = 0.25
)

// coldOf returns the bounds on requests to cold upstreams of a service.
func coldOf(t *routes.Table, service string, s settings.Settings) operator.Cold {
	c, ok := t.Service(service)
	if !ok || c.ColdPerSecond == 0 {
		return operator.Cold{}
	}
	pace := s.ColdRatio * c.ColdPerSecond
	most := max(1, int(pace+s.ColdSlack)-coldReserve)
	return operator.Cold{
		Pace:  max(1, min(most, int(pace+(1-coldHeldPart)*s.ColdSlack))),
		Most:  most,
		Lasts: operator.Duration(c.ColdStart),
	}
}

// kind is what tells the classes of a service apart. Requests of one priority may
// run for 55 ms or for 260 ms; their objectives say which can wait.
type kind struct {
	priority  int // the lowest number goes first
	objective time.Duration
}

// kinds returns the kinds of the routes that lead to a service, with their own priorities
// and those of organisations, the least urgent first: of those with the same priority, the
// one with the longest objective. Those that an operator's service may not have any more
// are left out; such requests have their routes' priority.
func kinds(t *routes.Table, service string) []kind {
	var list []kind
	add := func(priority int, objective time.Duration) {
		k := kind{
			priority:  priority,
			objective: objective,
		}
		if !slices.Contains(list, k) {
			list = append(list, k)
		}
	}
	keyed := keyedObjectives(t, service, add)
	for _, p := range organisationPriorities(t) {
		for _, objective := range keyed {
			if len(list) < operator.MaxClasses {
				add(p, objective)
			}
		}
	}
	slices.SortFunc(list, func(a, b kind) int {
		return cmp.Or(-cmp.Compare(a.priority, b.priority), -cmp.Compare(a.objective, b.objective))
	})
	return list
}

// keyedObjectives adds the kinds of the routes that lead to a service, and returns the
// objectives of those whose requests may take an organisation's priority, in order.
func keyedObjectives(t *routes.Table, service string, add func(priority int, objective time.Duration)) []time.Duration {
	var keyed []time.Duration
	for _, r := range t.Routes {
		if !slices.ContainsFunc(r.Parts, func(p routes.Part) bool { return p.Service == service }) {
			continue
		}
		add(r.Priority, r.Objective)
		if t.Keyed && !r.Public {
			keyed = append(keyed, r.Objective)
		}
	}
	slices.Sort(keyed)
	return slices.Compact(keyed)
}

// organisationPriorities returns the priorities that organisations have in place of their
// routes', in order.
func organisationPriorities(t *routes.Table) []int {
	var list []int
	for _, o := range t.Organisations {
		if o.Priority != nil {
			list = append(list, *o.Priority)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// classes returns a class for each kind of the routes that lead to the service.
func classes(t *routes.Table, service string) []operator.Class {
	weight := 1.0
	var list []operator.Class
	var before kind
	for i, k := range kinds(t, service) {
		if i > 0 && k.priority != before.priority {
			weight *= priorityWeight
		}
		before = k
		list = append(list, operator.Class{
			Name:      caller.ClassOf(k.priority, k.objective),
			Weight:    weight,
			MaxShare:  1,
			Priority:  -k.priority,
			Objective: operator.Duration(k.objective),
		})
	}
	return list
}

// expectedService returns what a request to a service is expected to take, by the
// objectives of its routes.
func expectedService(t *routes.Table, service string) time.Duration {
	var least time.Duration
	for _, k := range kinds(t, service) {
		if least == 0 || k.objective > 0 && k.objective < least {
			least = k.objective
		}
	}
	return time.Duration(servicePart * float64(least))
}
