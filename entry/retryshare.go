// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/retry"
)

// urgency is what orders classes for the budget for retries.
type urgency struct {
	priority  int
	objective time.Duration
}

// compare orders by the priority and then by the objective, the least urgent first. Of one
// priority, those with a short objective can't be refused and come back within it, as the
// calls inside a run, whose callers don't come back at all.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), cmp.Compare(o.objective, u.objective))
}

// urgencyOf returns the urgency of a class. One without an objective can wait.
func urgencyOf(c operator.Class) urgency {
	objective := c.Objective.Std()
	if objective == 0 {
		objective = math.MaxInt64
	}
	return urgency{
		priority:  c.Priority,
		objective: objective,
	}
}

// retryParts returns the part of the budget for retries that each class may spend, by
// the rank of its urgency among the others'.
func retryShares(config operator.Service) map[string]float64 {
	var ranks []urgency
	for _, c := range config.Classes {
		ranks = append(ranks, urgencyOf(c))
	}
	slices.SortFunc(ranks, urgency.compare)
	ranks = slices.Compact(ranks)
	parts := make(map[string]float64, len(config.Classes))
	for _, c := range config.Classes {
		parts[c.Name] = retry.BudgetFraction(slices.Index(ranks, urgencyOf(c)), len(ranks), config.Retry.Reserve)
	}
	return parts
}
