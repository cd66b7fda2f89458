// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry

import (
	"cmp"
	"time"

	"sassafrasfront.example/verdict"
)

// Policy decides which failed requests are sent again. The exported fields must be set
// before the first call.
type Policy struct {
	// MaxAttempts is the largest number of times that one request is sent, including
	// the first.
	MaxAttempts int
	// Budget bounds the retries after failures that cost an upstream work.
	Budget *Budget
	// BudgetFraction is the fraction of the budget that may be used, in (0, 1]. Zero
	// means all.
	BudgetFraction float64
	// Organisation is the organisation on whose behalf the request is sent, or empty.
	Organisation string
	// MinRemaining is the remaining time below which a retry is of no use.
	MinRemaining time.Duration
}

// ShouldRetry returns whether a request that failed with e is sent again, given the
// number of attempts so far and the time that remains until its deadline. If it returns
// true, it may have taken one extra request out of the budget.
//
// A request that provably has not reached the upstream's application cost nothing there,
// so only MaxAttempts bounds its retries. All others need budget.
func (p Policy) ShouldRetry(e *verdict.Error, idempotent bool, attempts int, remaining time.Duration) bool {
	if !e.MayRepeat(idempotent) || attempts >= p.MaxAttempts || remaining < p.MinRemaining {
		return false
	}
	if !MayHaveReached(e) {
		return true
	}
	return p.TakeFromBudget()
}

// TakeFromBudget takes one extra request out of the policy's fraction of the budget, and
// returns whether there was one.
func (p Policy) TakeFromBudget() bool {
	return p.Budget.TakeFor(p.Organisation, cmp.Or(p.BudgetFraction, 1))
}

// BudgetFraction returns the fraction of the budget that a class may use, given the rank of
// its priority among the different ones, where 0 is the least urgent, and the fraction that
// is reserved for the most urgent:
//
//	1 - reserve * (1 - rank/(ranks - 1)).
//
// Where upstreams refuse half of all requests at random, the budget does not suffice to send
// each refused request once more. The reserve has it used for the most urgent ones first.
func BudgetFraction(rank, ranks int, reserve float64) float64 {
	if ranks < 2 {
		return 1
	}
	return 1 - reserve*(1-float64(rank)/float64(ranks-1))
}

// MayHaveReached returns whether an attempt that failed with e may have reached the
// upstream's application, and so cost it something even if it was refused.
func MayHaveReached(e *verdict.Error) bool {
	return e.Verdict() != verdict.NotRun || e.Cause == verdict.UpstreamRefused || e.Cause == verdict.WrongUpstream
}
