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

// urgency is the order of classes for the retry budget.
type urgency struct {
	priority  int
	objective time.Duration
}

// compare orders by priority and then by objective, the least urgent first. Within a priority,
// requests with a short objective are more urgent: their callers cannot retry within the objective
// after a refusal, and the callers of requests made within a run, which have such objectives, do not
// retry at all.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), cmp.Compare(o.objective, u.objective))
}

// urgencyOf returns the urgency of a class. A class without an objective is the least urgent.
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

// retryShares returns the share of the retry budget that each class may spend, by
// the rank of its urgency among the classes.
func retryShares(config operator.Service) map[string]float64 {
	var ranks []urgency
	for _, c := range config.Classes {
		ranks = append(ranks, urgencyOf(c))
	}
	slices.SortFunc(ranks, urgency.compare)
	ranks = slices.Compact(ranks)
	shares := make(map[string]float64, len(config.Classes))
	for _, c := range config.Classes {
		shares[c.Name] = retry.BudgetFraction(slices.Index(ranks, urgencyOf(c)), len(ranks), config.Retry.ReservedFraction)
	}
	return shares
}
