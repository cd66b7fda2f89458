// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package serviceconfig

import (
	"cmp"
	"slices"
	"time"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/routes"
)

// kind is what tells the classes of a service apart. Requests of one priority may
// run for 55 ms or for 260 ms; their objectives say which can wait.
type classKey struct {
	priority  int // the lowest number goes first
	objective time.Duration
}

// kinds returns the kinds of the routes that lead to a service, with their own priorities
// and those of organisations, the least urgent first: of those with the same priority, the
// one with the longest objective. Those that an operator's service may not have any more
// are left out; such requests have their routes' priority.
func classKeys(t *routes.Table, service string) []classKey {
	var list []classKey
	add := func(priority int, objective time.Duration) {
		k := classKey{
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
	slices.SortFunc(list, func(a, b classKey) int {
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
	var previous classKey
	for i, k := range classKeys(t, service) {
		if i > 0 && k.priority != previous.priority {
			weight *= priorityWeight
		}
		previous = k
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
func expectedServiceTime(t *routes.Table, service string) time.Duration {
	var shortest time.Duration
	for _, k := range classKeys(t, service) {
		if shortest == 0 || k.objective > 0 && k.objective < shortest {
			shortest = k.objective
		}
	}
	return time.Duration(serviceTimeFraction * float64(shortest))
}
