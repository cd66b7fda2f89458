// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/retry"
	"sassafrasfront.example/verdict"
)

// simulateCalls simulates a service whose upstreams refuse 0.55 of their requests without running
// them, for ten seconds, as in TestRefusalsOfHalf. Six in ten of its requests are calls made by
// requests of another service, two each, both of which have to be answered; nobody retries them.
// The callers of the others retry twice. Each request may be sent five times. It returns the
// fraction that is answered of the calling requests and of the others, given the fraction of the
// budget that each may use.
func simulateCalls(callFraction, otherFraction float64, seed uint64) (calling, others float64) {
	const (
		nodes       = 50
		refused     = 0.55
		seconds     = 10
		maxAttempts = 5
	)
	random := rand.New(rand.NewPCG(seed, seed))
	failure := verdict.New(verdict.UpstreamRefused, nil)
	var all, good [2]float64
	for range nodes {
		budget := &retry.Budget{Share: 0.12, Burst: 60.0 / nodes}
		// answered sends a request that may use the given fraction of the budget.
		answered := func(fraction float64) bool {
			policy := retry.Policy{MaxAttempts: maxAttempts, Budget: budget, BudgetFraction: fraction}
			budget.RecordRequest()
			for n := 1; ; n++ {
				if random.Float64() >= refused {
					return true
				}
				if !policy.ShouldRetry(failure, false, n, time.Second) {
					return false
				}
			}
		}
		for range 5 * seconds {
			time.Sleep(200 * time.Millisecond)
			if random.Float64() < 0.3/(0.3+0.4) {
				all[0]++
				both := true
				for range 2 {
					both = both && answered(callFraction)
				}
				if both {
					good[0]++
				}
				continue
			}
			all[1]++
			for range 3 {
				if answered(otherFraction) {
					good[1]++
					break
				}
			}
		}
	}
	return good[0] / all[0], good[1] / all[1]
}

// TestRefusedCalls checks that with half of the budget reserved for calls, more requests are
// answered in total, and fewer of the calling requests run in vain.
func TestRefusedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			callingShare = 0.3 / (0.3 + 0.4)
			seeds        = 40
		)
		mean := func(otherFraction float64) (calling, others float64) {
			for seed := range uint64(seeds) {
				c, o := simulateCalls(1, otherFraction, seed)
				calling += c / seeds
				others += o / seeds
			}
			return calling, others
		}
		evenCalling, evenOthers := mean(1)
		calling, others := mean(retry.BudgetFraction(0, 2, 0.5))
		t.Logf("calling %.3f, others %.3f; with an undivided budget %.3f, %.3f", calling, others, evenCalling, evenOthers)
		all := callingShare*calling + (1-callingShare)*others
		even := callingShare*evenCalling + (1-callingShare)*evenOthers
		t.Logf("all %.3f; with an undivided budget %.3f", all, even)
		qt.Check(t, all > even, qt.IsTrue)
		qt.Check(t, calling > evenCalling+0.05, qt.IsTrue)
	})
}
