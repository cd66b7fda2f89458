// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retryafter_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/retry"
	"sassafrasfront.example/retryafter"
)

const (
	nodes      = 40
	gateCount  = 8
	slots      = 14
	objective  = time.Second
	shortRun   = 240 * time.Millisecond // run times, of which the longer one leaves less of the objective
	longRun    = 400 * time.Millisecond
	deadline   = 6 * time.Second
	maxRetries = 2 // retries of a caller before it gives up
	duration   = 20 * time.Second
)

// shortage is a service that lacks capacity, or receives more requests, for a time.
type shortage struct {
	work        time.Duration // mean run time, with a spread of a third
	usual, rush float64       // requests per second, as a fraction of the capacity
	from, until time.Duration // of the rush
	absent      int           // gates that are absent during the rush
	shed        float64       // fraction of the requests that an upstream refuses during the rush though it has room
	slow        float64       // fraction of the time in which a gate is slowed down fourfold, 300 ms at a time
}

// outcome is the result of all requests, as fractions of them.
type outcome struct{ inTime, served, refusals float64 }

// advice determines how long callers wait before they retry: full if all gates were full, given
// the shortest wait expected by one of them, and shed if an upstream refused with room.
type advice struct {
	full func(least time.Duration) time.Duration
	shed func() time.Duration
}

// fixed returns an advice with constant waits.
func fixed(full, shed time.Duration) advice {
	return advice{
		full: func(time.Duration) time.Duration { return full },
		shed: func() time.Duration { return shed },
	}
}

// advised is the advice of the package under test.
var advised = advice{
	full: func(least time.Duration) time.Duration { return retryafter.WhenFull(objective, least) },
	shed: func() time.Duration { return retryafter.WhenShed(objective, 0) },
}

// mean returns the mean outcome of several simulations.
func (s shortage) mean(t *testing.T, advise advice) (o outcome) {
	const runs = 4
	for seed := range uint64(runs) {
		run := s.simulate(t, advise, seed)
		o.inTime += run.inTime / runs
		o.served += run.served / runs
		o.refusals += run.refusals / runs
	}
	return o
}

// simulate returns the outcome if callers retry as advised.
func (s shortage) simulate(t *testing.T, advise advice, seed uint64) (o outcome) {
	synctest.Test(t, func(*testing.T) {
		gates := make([]*admit.Gate, gateCount)
		for i := range gates {
			gates[i] = new(admit.Gate)
			gates[i].SetLimits(admit.Limits{Slots: slots, QueueLength: 16, HoldWhileSlow: true}.WithClasses(admit.Class{Name: "check", Weight: 1, MaxShare: 1, Objective: objective}))
		}
		slowdowns := make([]float64, gateCount)
		budgets := make([]retry.Budget, nodes)
		for i := range budgets {
			budgets[i].SetLimits(0.12, 114/float64(nodes))
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		began := time.Now()
		for i := range gates {
			slowdowns[i] = 1
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			all.Go(func() {
				for s.slow > 0 && time.Since(began) < duration+deadline {
					slowdown := 1.0
					if random.Float64() < s.slow {
						slowdown = 4
					}
					mu.Lock()
					slowdowns[i] = slowdown
					mu.Unlock()
					gates[i].ObserveSlowdown(slowdown)
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		rushing := func() bool { return time.Since(began) >= s.from && time.Since(began) < s.until }
		// dispatch sends a request to some gates in turn until one runs it. If none does, it
		// returns how long the caller waits before it retries.
		dispatch := func(random *rand.Rand, budget *retry.Budget, until time.Time, work time.Duration) (ran bool, after time.Duration) {
			present := gateCount
			if rushing() {
				present -= s.absent
			}
			budget.RecordRequest()
			var shortest time.Duration
			for _, g := range random.Perm(present)[:min(3, present)] {
				ticket := gates[g].Enter("check", until)
				if err := ticket.Wait(context.Background()); err != nil {
					if shortest == 0 || err.RetryAfter < shortest {
						shortest = err.RetryAfter
					}
					continue
				}
				if rushing() && random.Float64() < s.shed {
					ticket.Release(false)
					if !budget.Take() {
						return false, advise.shed()
					}
					continue
				}
				mu.Lock()
				slowdown := slowdowns[g]
				mu.Unlock()
				time.Sleep(time.Duration(slowdown * float64(work)))
				ticket.Release(true)
				return true, 0
			}
			return false, advise.full(shortest)
		}
		var offered float64
		request := func(random *rand.Rand) {
			arrived := time.Now()
			work := time.Duration((2 + 2*random.Float64()) / 3 * float64(s.work))
			budget := &budgets[random.IntN(nodes)]
			var refusals float64
			var served, inTime bool
			for range maxRetries + 1 {
				ran, after := dispatch(random, budget, arrived.Add(deadline), work)
				if ran {
					served = true
					inTime = time.Since(arrived) <= objective
					break
				}
				refusals++
				left := deadline - time.Since(arrived)
				time.Sleep(min(left/3, after))
			}
			mu.Lock()
			defer mu.Unlock()
			offered++
			o.refusals += refusals
			if served {
				o.served++
			}
			if inTime {
				o.inTime++
			}
		}
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, 3))
			capacity := float64(gateCount*slots) / s.work.Seconds()
			for time.Since(began) < duration {
				rate := s.usual * capacity
				if rushing() {
					rate = s.rush * capacity
				}
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				own := rand.New(rand.NewPCG(random.Uint64(), 1))
				all.Go(func() { request(own) })
			}
		})
		all.Wait()
		o.inTime /= offered
		o.served /= offered
		o.refusals /= offered
	})
	return o
}

// seconds returns d seconds.
func seconds(d float64) time.Duration { return time.Duration(d * float64(time.Second)) }

// TestShortages compares callers that retry as advised with callers that retry after 100 ms if all
// gates are full and after a second if an upstream refused with room. With the fixed waits, callers
// that an upstream refused with room retry late enough for the fault to be over, and are all served,
// but late. As advised, some of them are refused for good, and many more are served in time.
func TestShortages(t *testing.T) {
	tests := map[string]struct {
		shortage
		minGain, maxLoss float64 // minimum gain of requests in time, and maximum loss of served requests
		maxExtraRefusals float64 // maximum number of additional refusals per request
	}{
		"a rush of five seconds":         {shortage: shortage{work: shortRun, usual: 0.7, rush: 1.5, from: seconds(5), until: seconds(10)}},
		"a rush of two seconds":          {shortage: shortage{work: shortRun, usual: 0.7, rush: 1.6, from: seconds(5), until: seconds(7)}},
		"half are absent for a second":   {shortage: shortage{work: shortRun, usual: 0.7, rush: 0.7, from: seconds(5), until: seconds(6), absent: 4}},
		"half are absent for three":      {shortage: shortage{work: shortRun, usual: 0.7, rush: 0.7, from: seconds(5), until: seconds(8), absent: 4}},
		"slow periods and a rush":        {shortage: shortage{work: shortRun, usual: 0.45, rush: 0.9, from: seconds(5), until: seconds(9), slow: 0.25}},
		"constant overload":              {shortage: shortage{work: shortRun, usual: 1.3}},
		"half are refused at random":     {shortage: shortage{work: shortRun, usual: 0.7, rush: 0.7, from: seconds(5), until: seconds(13.5), shed: 0.55}, minGain: 0.1, maxLoss: 0.01},
		"half are refused, and a rush":   {shortage: shortage{work: shortRun, usual: 0.7, rush: 1.1, from: seconds(5), until: seconds(13.5), shed: 0.55}, minGain: 0.1, maxLoss: 0.01},
		"long runs, a rush":              {shortage: shortage{work: longRun, usual: 0.45, rush: 1.2, from: seconds(5), until: seconds(10), slow: 0.25}, minGain: -0.005},
		"long runs, a great rush":        {shortage: shortage{work: longRun, usual: 0.45, rush: 1.8, from: seconds(5), until: seconds(9), slow: 0.25}},
		"long runs, half are absent":     {shortage: shortage{work: longRun, usual: 0.45, rush: 0.5, from: seconds(5), until: seconds(7), slow: 0.25, absent: 4}},
		"long runs, half are refused":    {shortage: shortage{work: longRun, usual: 0.45, rush: 0.45, from: seconds(5), until: seconds(13.5), slow: 0.25, shed: 0.55}, minGain: 0.08, maxLoss: 0.025, maxExtraRefusals: 0.03},
		"slow periods":                   {shortage: shortage{work: shortRun, usual: 0.5, slow: 0.25}},
		"half are refused near capacity": {shortage: shortage{work: shortRun, usual: 0.95, rush: 0.95, from: seconds(5), until: seconds(13.5), shed: 0.55}, minGain: 0.1, maxLoss: 0.01},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := test.mean(t, fixed(100*time.Millisecond, time.Second))
			after := test.mean(t, advised)
			t.Logf("fixed %+.3v, advised %+.3v", before, after)
			qt.Check(t, after.inTime >= before.inTime+test.minGain-0.005, qt.IsTrue)
			qt.Check(t, after.served >= before.served-test.maxLoss-0.005, qt.IsTrue)
			qt.Check(t, after.refusals <= before.refusals+test.maxExtraRefusals+0.02, qt.IsTrue)
		})
	}
}

// TestWaits checks that waits follow the objective, differ between callers, and are not shorter
// than what a gate expects or an upstream requests.
func TestWaits(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		wait        func() time.Duration
		least, most time.Duration
	}{
		"full":                    {wait: func() time.Duration { return retryafter.WhenFull(time.Second, 0) }, least: 112 * ms, most: 188 * ms},
		"full, no objective":      {wait: func() time.Duration { return retryafter.WhenFull(0, 0) }, least: 75 * ms, most: 125 * ms},
		"full for long":           {wait: func() time.Duration { return retryafter.WhenFull(time.Second, 800*ms) }, least: 800 * ms, most: 800 * ms},
		"shed":                    {wait: func() time.Duration { return retryafter.WhenShed(time.Second, 0) }, least: 37 * ms, most: 63 * ms},
		"shed, with a time":       {wait: func() time.Duration { return retryafter.WhenShed(time.Second, 2*time.Second) }, least: 2 * time.Second, most: 2 * time.Second},
		"shed, without objective": {wait: func() time.Duration { return retryafter.WhenShed(0, 0) }, least: 75 * ms, most: 125 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seen := make(map[time.Duration]bool)
			for range 100 {
				d := test.wait()
				qt.Check(t, d >= test.least && d <= test.most, qt.IsTrue, qt.Commentf("%v", d))
				seen[d] = true
			}
			qt.Check(t, len(seen) > 50, qt.Equals, test.least != test.most)
		})
	}
}
