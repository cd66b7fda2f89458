// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
)

// flow is the load of one class.
type flow struct {
	class     string
	perSecond float64
	work      time.Duration // mean; a third of it more or less
}

// speedPattern describes how an upstream's speed changes: in each step it is slow with the given
// probability.
type speedPattern struct {
	step            time.Duration
	slowProbability float64
	slowdown        float64
	minSlowdown     float64 // the slowdown outside the slow periods
}

// load is an upstream and the requests sent to it.
type load struct {
	limits      admit.Limits
	flows       []flow
	slowPeriods speedPattern
	length      time.Duration
}

// simulate sends the load to a gate and returns, for each class, the fraction of requests that end
// within the class's objective. Arrivals are Poisson with a fixed seed. An upstream runs a request at
// the speed at which it started.
func (l load) simulate() map[string]float64 {
	var g admit.Gate
	g.SetLimits(l.limits)
	objective := make(map[string]time.Duration)
	for _, c := range l.limits.Classes {
		objective[c.Name] = c.Objective
	}
	var mu sync.Mutex
	slowdown := 1.0
	now := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return slowdown
	}
	offered := make(map[string]float64)
	served := make(map[string]float64)
	var all sync.WaitGroup
	all.Go(func() {
		random := rand.New(rand.NewPCG(1, 1))
		for began := time.Now(); l.slowPeriods.step > 0 && time.Since(began) < l.length; time.Sleep(l.slowPeriods.step) {
			k := l.slowPeriods.minSlowdown
			if random.Float64() < l.slowPeriods.slowProbability {
				k *= l.slowPeriods.slowdown
			}
			mu.Lock()
			slowdown = k
			mu.Unlock()
			g.ObserveSlowdown(k)
		}
		mu.Lock()
		slowdown = 1
		mu.Unlock()
		g.ObserveSlowdown(1)
	})
	for i, f := range l.flows {
		random := rand.New(rand.NewPCG(2, uint64(i)))
		all.Go(func() {
			for began := time.Now(); time.Since(began) < l.length; {
				time.Sleep(time.Duration(random.ExpFloat64() / f.perSecond * float64(time.Second)))
				work := time.Duration((2 + 2*random.Float64()) / 3 * float64(f.work))
				all.Go(func() {
					arrived := time.Now()
					k := g.Enter(f.class, time.Time{})
					ran := k.Wait(context.Background()) == nil
					if ran {
						time.Sleep(time.Duration(now() * float64(work)))
						k.Release(true)
					}
					mu.Lock()
					defer mu.Unlock()
					offered[f.class]++
					if ran && time.Since(arrived) <= objective[f.class] {
						served[f.class]++
					}
				})
			}
		})
	}
	all.Wait()
	for class, n := range offered {
		served[class] /= n
	}
	return served
}

// simulateChecks returns the fraction of requests of 220 ms that end within their objective at an
// upstream of 14 slots. For a quarter of the time, 150 ms at a time, it takes five times its minimum
// slowdown.
func simulateChecks(hold bool, objective time.Duration, perSecond, minSlowdown float64) float64 {
	return load{
		limits: admit.Limits{
			Slots:         14,
			QueueLength:   16,
			HoldWhileSlow: hold,
		}.WithClasses(admit.Class{Name: "check", Weight: 1, MaxShare: 1, Objective: objective}),
		flows:       []flow{{"check", perSecond, ms(220)}},
		slowPeriods: speedPattern{ms(150), 0.25, 5, minSlowdown},
		length:      60 * time.Second,
	}.simulate()["check"]
}

// TestShortSlowPeriods has an upstream that is slowed down fivefold for a quarter of the time, 150 ms
// at a time. Its load is three quarters of what it could run if it were never slow, in requests of
// 220 ms with an objective of 600 ms. Those that start in a slow period take 1.1 s, and hold their
// slots for as long.
func TestShortSlowPeriods(t *testing.T) {
	simulate := func(hold bool) (share float64) {
		synctest.Test(t, func(*testing.T) {
			share = simulateChecks(hold, ms(600), 48, 1)
		})
		return share
	}
	held, started := simulate(true), simulate(false)
	t.Logf("within the objective: %.3f held, %.3f not", held, started)
	qt.Check(t, held > 0.85, qt.IsTrue)
	qt.Check(t, started < 0.7, qt.IsTrue)
}

// TestSlowPeriodsOfColdUpstream has the same upstream while it is cold and runs everything at half
// its speed, as after a power loss, under three quarters of what it can run then. Its slow periods
// are those in which it is slower still.
func TestSlowPeriodsOfColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := simulateChecks(true, ms(900), 24, 2)
		t.Logf("within the objective: %.3f", share)
		qt.Check(t, share > 0.8, qt.IsTrue)
	})
}

// TestLongRequestsOfLowPriorityClass has the only upstream left of three, with 14 slots, under a load
// of 19 slots: 13.6 by reads of 880 ms with a low priority, 3 by uploads of 260 ms, and 2.3 by
// nested calls of 55 ms from requests that already run at other upstreams. The low class gets what
// the others leave.
func TestLongRequestsOfLowPriorityClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := load{
			limits: admit.Limits{
				Slots:         14,
				QueueLength:   16,
				HoldWhileSlow: true,
			}.WithClasses(
				admit.Class{Name: "read", Weight: 1, MaxShare: 1, Objective: 2 * time.Second},
				admit.Class{Name: "upload", Weight: 4, MaxShare: 1, Priority: 1, Objective: ms(800)},
				admit.Class{Name: "call", Weight: 4, MaxShare: 1, Priority: 1, Objective: ms(150)},
			),
			flows: []flow{
				{"read", 15.5, ms(880)},
				{"upload", 11.6, ms(260)},
				{"call", 42, ms(55)},
			},
			length: 60 * time.Second,
		}.simulate()
		t.Logf("within their objectives: %v", share)
		qt.Check(t, share["upload"] > 0.9, qt.IsTrue)
		qt.Check(t, share["call"] > 0.75, qt.IsTrue)
		qt.Check(t, share["read"] > 0.4, qt.IsTrue)
	})
}
