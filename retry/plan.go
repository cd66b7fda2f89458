// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry

import (
	"cmp"
	"time"

	"sassafrasfront.example/verdict"
)

// Plan says which failures are tried again. The exported fields are set before
// the first call.
type Policy struct {
	// MaxTries is the largest number of sendings of one request, the first
	// included.
	MaxAttempts int
	// Budget bounds the tries after failures that cost an upstream work.
	Budget *Budget
	// Part is the part of the budget that may be spent, in (0, 1]. Zero means all.
	BudgetFraction float64
	// Organisation is the one on whose behalf the request is sent, or empty.
	Organisation string
	// Least is the remaining time below which a try is of no use.
	MinRemaining time.Duration
}

// Again returns whether a request that failed with e is sent again, given that
// it was sent tries times and that remaining time is left until its deadline.
// A true result may have taken one try out of the budget.
//
// A request that provably has not reached the upstream's application costs
// nothing there, so it is bounded by MaxTries alone. All others need budget.
func (p Policy) ShouldRetry(e *verdict.Error, idempotent bool, attempts int, remaining time.Duration) bool {
	if !e.MayRepeat(idempotent) || attempts >= p.MaxAttempts || remaining < p.MinRemaining {
		return false
	}
	if !MayHaveReached(e) {
		return true
	}
	return p.TakeFromBudget()
}

// Take takes one try out of the plan's part of the budget, and returns whether there
// was one.
func (p Policy) TakeFromBudget() bool {
	return p.Budget.TakeFor(p.Organisation, cmp.Or(p.BudgetFraction, 1))
}

// PartOf returns the part of the budget that a class may spend, given the rank of its
// priority among the different ones, from 0 for the least urgent, and the part that is
// kept for the most urgent:
//
//	1 - reserve * (1 - rank/(ranks - 1)).
//
// Where upstreams refuse half of all, at random, the budget is not enough to send each
// refused request once more; the reserve has it spent on the most urgent ones first.
func BudgetFraction(rank, ranks int, reserve float64) float64 {
	if ranks < 2 {
		return 1
	}
	return 1 - reserve*(1-float64(rank)/float64(ranks-1))
}

// Reached returns whether a try that failed with e may have reached the
// upstream's application and so cost it something, be it a refusal.
func MayHaveReached(e *verdict.Error) bool {
	return e.Verdict() != verdict.NotRun || e.Cause == verdict.UpstreamRefused || e.Cause == verdict.WrongUpstream
}
