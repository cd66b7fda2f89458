// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/retry"
	"sassafrasfront.example/verdict"
)

// answeredFraction simulates a node for a minute. Twenty organisations send two requests a
// second each, one in ten of which fails at the first upstream. Another organisation sends the
// given number, which all fail at each upstream because of abuse or of its own fault. It
// returns the fraction of the twenty organisations' requests that get a response
// from the first or the second upstream. If named is false, the budget does not know the
// organisations.
func answeredFraction(t *testing.T, perSecond int, named bool) (share float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		budget := &retry.Budget{Share: 0.12, Burst: 2}
		failure := verdict.New(verdict.UpstreamRefused, nil)
		nameOf := func(organisation string) string {
			if !named {
				return ""
			}
			return organisation
		}
		shouldRetry := func(organisation string) bool {
			policy := retry.Policy{MaxAttempts: 2, Budget: budget, Organisation: organisation}
			return policy.ShouldRetry(failure, true, 1, time.Second)
		}
		var good, all float64
		for range 60 * 40 {
			time.Sleep(25 * time.Millisecond)
			for range perSecond / 40 {
				budget.RecordRequestFor(nameOf("big"))
				shouldRetry(nameOf("big"))
			}
			small := nameOf(fmt.Sprintf("small%d", random.IntN(20)))
			budget.RecordRequestFor(small)
			all++
			if random.Float64() >= 0.1 || shouldRetry(small) {
				good++
			}
		}
		share = good / all
	})
	return share
}

// TestBudgetOfOneOrganisation checks that an organisation whose requests all fail leaves the
// retry budget to the others, whose failed requests are then answered by another upstream.
func TestBudgetOfOneOrganisation(t *testing.T) {
	for _, perSecond := range []int{40, 120, 400} {
		named, unnamed := answeredFraction(t, perSecond, true), answeredFraction(t, perSecond, false)
		t.Logf("%d requests a second: fraction of the others answered %.3f, without names %.3f", perSecond, named, unnamed)
		qt.Check(t, named > 0.99, qt.IsTrue)
		qt.Check(t, unnamed < 0.95, qt.IsTrue)
	}
}

// TestHalfOfBudget checks that an organisation without requests can use only half of a budget.
// Another one can then use one extra request, and requests without an organisation the rest.
func TestHalfOfBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &retry.Budget{Share: 0.1, Burst: 20}
		taken := func(organisation string) (n int) {
			for budget.TakeFor(organisation, 1) {
				n++
			}
			return n
		}
		qt.Check(t, taken("a") <= 10, qt.IsTrue)
		qt.Check(t, taken("b") >= 1, qt.IsTrue)
		qt.Check(t, taken("") >= 8, qt.IsTrue)
	})
}
