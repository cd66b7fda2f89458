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

// TestRefusalsOfHalf simulates a service whose upstreams refuse 0.55 of their requests without
// running them, for ten seconds. Its requests have three priorities: 0.14 are the most urgent,
// 0.15 are in between, and 0.71 are the calls of another service's requests. Each may be sent
// twice. Fifty nodes send five requests a second each, and may together send again 0.12 of the
// requests and 60 more in ten seconds. If the most urgent requests count three and those in
// between two, and calls come in pairs that count one if both are answered, a reserve of 0.5 to
// 0.9 gains a tenth over none.
func TestRefusalsOfHalf(t *testing.T) {
	const (
		nodes   = 50
		refused = 0.55
		seconds = 10
	)
	shares := []float64{0.71, 0.15, 0.14}
	simulate := func(reserve float64, seed uint64) (answered [3]float64) {
		random := rand.New(rand.NewPCG(seed, seed))
		var all, good [3]int
		failure := verdict.New(verdict.UpstreamRefused, nil)
		for range nodes {
			budget := &retry.Budget{Share: 0.12, Burst: 60.0 / nodes}
			for range 5 * seconds {
				time.Sleep(200 * time.Millisecond)
				rank, x := 0, random.Float64()
				for x >= shares[rank] {
					x -= shares[rank]
					rank++
				}
				policy := retry.Policy{MaxAttempts: 2, Budget: budget, BudgetFraction: retry.BudgetFraction(rank, len(shares), reserve)}
				budget.RecordRequest()
				all[rank]++
				served := random.Float64() >= refused
				if !served && policy.ShouldRetry(failure, false, 1, time.Second) {
					served = random.Float64() >= refused
				}
				if served {
					good[rank]++
				}
			}
		}
		for i := range answered {
			answered[i] = float64(good[i]) / float64(all[i])
		}
		return answered
	}
	mean := func(reserve float64) (answered [3]float64) {
		const seeds = 20
		for seed := range uint64(seeds) {
			for i, a := range simulate(reserve, seed) {
				answered[i] += a / seeds
			}
		}
		return answered
	}
	synctest.Test(t, func(t *testing.T) {
		even, reserved := mean(0), mean(0.5)
		t.Logf("even %.3f, reserved %.3f", even, reserved)
		qt.Check(t, reserved[2] > even[2]+0.1, qt.IsTrue)
		qt.Check(t, reserved[1] > even[1]-0.01, qt.IsTrue)
		qt.Check(t, reserved[0] > even[0]-0.07, qt.IsTrue)
	})
}
