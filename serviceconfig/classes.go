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

// classKey identifies a class of a service. Requests of one priority may run for 55 ms or for
// 260 ms; their latency objectives show which can wait.
type classKey struct {
	priority  int // lower numbers are more urgent
	objective time.Duration
}

// classKeys returns the classes of the routes that lead to a service, with their own priorities
// and those of organisations. The least urgent comes first: the one with the longest objective
// of those with the same priority. Classes for priorities of organisations are left out once
// there are operator.MaxClasses; the requests of these organisations then have the priorities of
// their routes.
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

// keyedObjectives adds the classes of the routes that lead to a service, and returns the sorted
// objectives of those routes whose requests may have an organisation's priority.
func keyedObjectives(t *routes.Table, service string, add func(priority int, objective time.Duration)) []time.Duration {
	var keyed []time.Duration
	for _, r := range t.Routes {
		if !slices.ContainsFunc(r.Services, func(p routes.WeightedService) bool { return p.Service == service }) {
			continue
		}
		add(r.Priority, r.Objective)
		if t.KeysRequired && !r.Public {
			keyed = append(keyed, r.Objective)
		}
	}
	slices.Sort(keyed)
	return slices.Compact(keyed)
}

// organisationPriorities returns the sorted priorities that organisations have in place of those
// of their routes.
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

// classes returns the classes of the routes that lead to a service.
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
			Name:      caller.ClassName(k.priority, k.objective),
			Weight:    weight,
			MaxShare:  1,
			Priority:  -k.priority,
			Objective: operator.Duration(k.objective),
		})
	}
	return list
}

// expectedServiceTime returns the expected service time of requests to a service, based on the
// latency objectives of its routes.
func expectedServiceTime(t *routes.Table, service string) time.Duration {
	var shortest time.Duration
	for _, k := range classKeys(t, service) {
		if shortest == 0 || k.objective > 0 && k.objective < shortest {
			shortest = k.objective
		}
	}
	return time.Duration(serviceTimeFraction * float64(shortest))
}
