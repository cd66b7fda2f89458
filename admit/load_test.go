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

// flow is the requests of one class.
type flow struct {
	class     string
	perSecond float64
	work      time.Duration // mean; a third of it more or less
}

// spellsOf says how an upstream's speed changes: in each step it is slow with the
// given probability.
type slowPeriodsOf struct {
	step        time.Duration
	share       float64
	slowdown    float64
	minSlowdown float64 // the slowdown beside the spells
}

// load is an upstream and what comes to it.
type load struct {
	limits      admit.Limits
	flows       []flow
	slowPeriods slowPeriodsOf
	length      time.Duration
}

// play sends the load to a gate and returns, for each class, the share of requests
// that end within the class's objective. Arrivals are Poisson with a fixed seed. An
// upstream works on a request with the speed at which it began.
func (l load) play() map[string]float64 {
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
			if random.Float64() < l.slowPeriods.share {
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

// checks returns the share of requests of 220 ms that end within their objective at
// an upstream of 14 slots. For a quarter of the time, 150 ms at a time, it takes five
// times as long as its pace.
func playChecks(hold bool, objective time.Duration, perSecond, minSlowdown float64) float64 {
	return load{
		limits: admit.Limits{
			Slots:         14,
			QueueLength:   16,
			HoldWhileSlow: hold,
		}.WithClasses(admit.Class{Name: "check", Weight: 1, MaxShare: 1, Objective: objective}),
		flows:       []flow{{"check", perSecond, ms(220)}},
		slowPeriods: slowPeriodsOf{ms(150), 0.25, 5, minSlowdown},
		length:      60 * time.Second,
	}.play()["check"]
}

// TestShortSlowSpells is an upstream that is slowed down fivefold for a quarter of
// the time, 150 ms at a time, under three quarters of the load that it could run were
// it never slow, in requests of 220 ms with an objective of 600 ms. Those that start
// in a spell take 1.1 s, and their slots with them.
func TestShortSlowPeriods(t *testing.T) {
	play := func(hold bool) (share float64) {
		synctest.Test(t, func(*testing.T) {
			share = playChecks(hold, ms(600), 48, 1)
		})
		return share
	}
	held, started := play(true), play(false)
	t.Logf("within the objective: %.3f held, %.3f not", held, started)
	qt.Check(t, held > 0.85, qt.IsTrue)
	qt.Check(t, started < 0.7, qt.IsTrue)
}

// TestSlowSpellsOfAColdUpstream is the same upstream while it is cold and runs all
// at half its speed, as after a loss of power, under three quarters of what it can
// run then. Its slow spells are those in which it is slower still.
func TestSlowPeriodsOfColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := playChecks(true, ms(900), 24, 2)
		t.Logf("within the objective: %.3f", share)
		qt.Check(t, share > 0.8, qt.IsTrue)
	})
}

// TestLongRequestsOfALowClass is the one upstream that is left of three, with 14
// slots, which is asked for 19 of them: 13.6 by reads of 880 ms with a low priority,
// 3 by uploads of 260 ms and 2.3 by the calls of requests that already run at other
// upstreams, of 55 ms. The low class gets what the others leave.
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
		}.play()
		t.Logf("within their objectives: %v", share)
		qt.Check(t, share["upload"] > 0.9, qt.IsTrue)
		qt.Check(t, share["call"] > 0.75, qt.IsTrue)
		qt.Check(t, share["read"] > 0.4, qt.IsTrue)
	})
}
