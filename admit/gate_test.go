// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/verdict"
)

var defaultLimits = admit.Limits{
	Slots:       2,
	QueueLength: 4,
	QueueWait:   50 * time.Millisecond,
}

// warm runs n requests of the given duration so that the gate knows its service time.
func warm(g *admit.Gate, n int, d time.Duration) {
	for range n {
		t := g.Enter("", time.Time{})
		time.Sleep(d)
		t.Release(true)
	}
}

func isReady(t *admit.Ticket) bool {
	select {
	case <-t.Ready():
		return true
	default:
		return false
	}
}

func TestEnter(t *testing.T) {
	tests := map[string]struct {
		running  int
		waiting  int
		deadline time.Duration
		want     verdict.Cause
		ready    bool
	}{
		"free slot":               {running: 1, ready: true},
		"waits":                   {running: 2},
		"deadline passed":         {running: 0, deadline: -time.Millisecond, want: verdict.DeadlinePassed, ready: true},
		"queue full":              {running: 2, waiting: 4, want: verdict.Refused, ready: true},
		"would miss its deadline": {running: 2, waiting: 2, deadline: 15 * time.Millisecond, want: verdict.Refused, ready: true},
		"makes its deadline":      {running: 2, waiting: 2, deadline: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var g admit.Gate
				g.SetLimits(defaultLimits)
				warm(&g, 1, 10*time.Millisecond)
				for range test.running + test.waiting {
					g.Enter("", time.Time{})
				}
				var deadline time.Time
				if test.deadline != 0 {
					deadline = time.Now().Add(test.deadline)
				}
				k := g.Enter("", deadline)
				c.Check(isReady(k), qt.Equals, test.ready)
				if test.want == "" {
					c.Check(k.Err() == nil, qt.IsTrue)
					return
				}
				c.Assert(k.Err() != nil, qt.IsTrue)
				c.Check(k.Err().Cause, qt.Equals, test.want)
				c.Check(k.Err().Verdict(), qt.Equals, verdict.NotRun)
				if test.want == verdict.Refused {
					c.Check(k.Err().RetryAfter > 0, qt.IsTrue)
				}
			})
		})
	}
}

func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var g admit.Gate
		g.SetLimits(defaultLimits)
		g.Enter("", time.Time{})
		g.Enter("", time.Time{})
		began := time.Now()
		err := g.Enter("", time.Time{}).Wait(context.Background())
		c.Assert(err != nil, qt.IsTrue)
		c.Check(err.Cause, qt.Equals, verdict.Refused)
		c.Check(time.Since(began), qt.Equals, defaultLimits.QueueWait)
	})
}

// TestStandingQueueRefusesAtOnce offers twice what the upstream can run. While the queue is new,
// requests wait for up to the configured time. Once it stands, those that are queued wait for a few
// milliseconds, and the others are refused at once.
func TestStandingQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var g admit.Gate
		l := defaultLimits.WithSlots(10)
		l.QueueLength = 100
		g.SetLimits(l)
		const service = 20 * time.Millisecond
		warm(&g, 5, service)
		var mu sync.Mutex
		var all sync.WaitGroup
		var late, useful int
		var longest time.Duration
		began := time.Now()
		for i := range 2000 { // one each millisecond
			time.Sleep(time.Millisecond)
			all.Go(func() {
				k := g.Enter("", time.Time{})
				immediate := isReady(k)
				err := k.Wait(context.Background())
				mu.Lock()
				if err != nil && !immediate && i > 1000 {
					late++
				}
				if err == nil && i > 1000 {
					longest = max(longest, k.Waited())
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(service)
				k.Release(true)
				mu.Lock()
				useful++
				mu.Unlock()
			})
		}
		ran := time.Since(began)
		all.Wait()
		c.Check(late, qt.Equals, 0, qt.Commentf("refused after waiting"))
		c.Check(longest <= 20*time.Millisecond, qt.IsTrue, qt.Commentf("waited %v", longest))
		c.Check(float64(useful) >= 0.95*ran.Seconds()*500, qt.IsTrue, qt.Commentf("%d useful", useful))
	})
}

func TestDrainRefusesWaitingAndSignalsIdle(t *testing.T) {
	c := qt.New(t)
	var g admit.Gate
	g.SetLimits(defaultLimits.WithSlots(1))
	first := g.Enter("", time.Time{})
	second := g.Enter("", time.Time{})
	idle := g.Drain()
	c.Check(second.Err().Cause, qt.Equals, verdict.Draining)
	c.Check(g.Enter("", time.Time{}).Err().Cause, qt.Equals, verdict.Draining)
	select {
	case <-idle:
		t.Fatal("idle while a request runs")
	default:
	}
	first.Release(true)
	<-idle
	g.Resume()
	c.Check(g.Enter("", time.Time{}).Err() == nil, qt.IsTrue)
}

func TestClassesShareByWeight(t *testing.T) {
	c := qt.New(t)
	var g admit.Gate
	g.SetLimits(admit.Limits{
		Slots:       1,
		QueueLength: 100,
		QueueWait:   time.Hour,
	}.WithClasses(
		admit.Class{Name: "interactive", Weight: 3, MaxShare: 1, Priority: 1},
		admit.Class{Name: "batch", Weight: 1, MaxShare: 1},
	))
	current := g.Enter("batch", time.Time{})
	var tickets []*admit.Ticket
	var classes []string
	for range 20 {
		for _, class := range []string{"batch", "interactive"} {
			tickets = append(tickets, g.Enter(class, time.Time{}))
			classes = append(classes, class)
		}
	}
	counts := make(map[string]int)
	done := make(map[*admit.Ticket]bool)
	for range 20 {
		current.Release(true)
		for i, k := range tickets {
			if isReady(k) && !done[k] {
				done[k] = true
				counts[classes[i]]++
				current = k
			}
		}
	}
	// The batch request that ran first counts as well: 16 to 5 of 21 runs.
	c.Check(counts["interactive"], qt.Equals, 16)
	c.Check(counts["batch"], qt.Equals, 4)
}

func TestShareIsCappedAndLowestPriorityIsShed(t *testing.T) {
	c := qt.New(t)
	var g admit.Gate
	g.SetLimits(admit.Limits{
		Slots:       4,
		QueueLength: 1,
		QueueWait:   time.Hour,
	}.WithClasses(
		admit.Class{Name: "interactive", Weight: 1, MaxShare: 1, Priority: 1},
		admit.Class{Name: "batch", Weight: 1, MaxShare: 0.5},
	))
	g.Enter("batch", time.Time{})
	g.Enter("batch", time.Time{})
	third := g.Enter("batch", time.Time{})
	c.Check(isReady(third), qt.IsFalse, qt.Commentf("the cap of 2 is kept with 2 slots free"))
	c.Check(isReady(g.Enter("interactive", time.Time{})), qt.IsTrue)
	c.Check(isReady(g.Enter("interactive", time.Time{})), qt.IsTrue)
	waits := g.Enter("interactive", time.Time{})
	c.Check(waits.Err() == nil, qt.IsTrue)
	c.Check(third.Err().Cause, qt.Equals, verdict.Refused)
	c.Check(g.Enter("batch", time.Time{}).Err().Cause, qt.Equals, verdict.Refused)
}

func TestAdaptiveLimitFollowsASlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var g admit.Gate
		l := defaultLimits.WithSlots(20)
		l.Adaptive = true
		g.SetLimits(l)
		warm(&g, 200, 10*time.Millisecond)
		c.Check(g.Report().Allowed, qt.Equals, 20)
		warm(&g, 200, 100*time.Millisecond)
		c.Check(g.Report().Allowed < 20, qt.IsTrue)
		c.Check(g.Report().Allowed >= 5, qt.IsTrue)
		warm(&g, 1000, 10*time.Millisecond)
		c.Check(g.Report().Allowed, qt.Equals, 20)
	})
}

func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var g admit.Gate
		l := defaultLimits.WithSlots(20)
		l.SlowStart = 10 * time.Second
		g.SetLimits(l)
		c.Check(g.Report().Allowed, qt.Equals, 5)
		time.Sleep(5 * time.Second)
		c.Check(g.Report().Allowed, qt.Equals, 12)
		time.Sleep(5 * time.Second)
		c.Check(g.Report().Allowed, qt.Equals, 20)
		g.Restart()
		c.Check(g.Report().Allowed, qt.Equals, 5)
	})
}

// TestServiceTimeGrowsWithoutResponses checks that the reported service time grows while no request
// completes.
func TestServiceTimeGrowsWithoutResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g admit.Gate
		g.SetLimits(defaultLimits)
		warm(&g, 10, 10*time.Millisecond)
		g.Enter("", time.Time{})
		time.Sleep(300 * time.Millisecond)
		qt.Check(t, g.Report().ServiceTime, qt.Equals, 300*time.Millisecond)
	})
}

func TestReleaseTwicePanics(t *testing.T) {
	var g admit.Gate
	g.SetLimits(defaultLimits)
	k := g.Enter("", time.Time{})
	k.Release(true)
	qt.Check(t, func() { k.Release(true) }, qt.PanicMatches, "admit: release .*")
}

// TestGateProperties applies random operations to a gate and compares it with a separate count: the
// slots are never exceeded, each request ends once, and a revoked request never runs.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g admit.Gate
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		g.SetLimits(admit.Limits{
			Slots:       slots,
			QueueLength: rapid.IntRange(0, 5).Draw(t, "queue"),
			QueueWait:   time.Hour,
		}.WithClasses(
			admit.Class{Name: "a", Weight: 2, MaxShare: 1, Priority: 1},
			admit.Class{Name: "b", Weight: 1, MaxShare: 0.5},
		))
		var open []*admit.Ticket
		revoked := make(map[*admit.Ticket]bool)
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				open = append(open, g.Enter(rapid.SampledFrom([]string{"a", "b", "?"}).Draw(t, "class"), time.Time{}))
			},
			"release": func(t *rapid.T) {
				for i, k := range open {
					if isReady(k) && k.Err() == nil {
						k.Release(true)
						open = append(open[:i:i], open[i+1:]...)
						return
					}
				}
			},
			"revoke": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				k := rapid.SampledFrom(open).Draw(t, "ticket")
				wasReady := isReady(k)
				if k.Revoke() {
					revoked[k] = true
				}
				if wasReady && revoked[k] && k.Err().Cause != verdict.Revoked {
					t.Fatal("a request both ended and was revoked")
				}
			},
			"": func(t *rapid.T) {
				var running, waiting int
				for _, k := range open {
					switch {
					case !isReady(k):
						waiting++
					case k.Err() == nil:
						running++
						if revoked[k] {
							t.Fatal("a revoked request runs")
						}
					}
				}
				r := g.Report()
				if running > slots || running != r.Running || waiting != r.Waiting {
					t.Fatalf("%d running and %d waiting of %d slots, but the gate reports %+v", running, waiting, slots, r)
				}
			},
		})
	})
}

func BenchmarkEnterRelease(b *testing.B) {
	var g admit.Gate
	g.SetLimits(defaultLimits)
	for b.Loop() {
		g.Enter("", time.Time{}).Release(true)
	}
}

// TestStandingQueueOfOneClass has a class of low priority ask for twice the capacity for two
// seconds, and one of high priority for a tenth of it. The queue of the low one stands, but
// requests of the high one still wait for their turns.
func TestStandingQueueOfOneClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g admit.Gate
		l := defaultLimits.WithSlots(10).WithClasses(
			admit.Class{Name: "low", Weight: 1, MaxShare: 1, MaxWait: 30 * time.Millisecond},
			admit.Class{Name: "high", Weight: 16, MaxShare: 1, Priority: 1, MaxWait: 60 * time.Millisecond},
		)
		l.QueueLength = 100
		g.SetLimits(l)
		const service = 100 * time.Millisecond
		warm(&g, 5, service)
		var mu sync.Mutex
		var all sync.WaitGroup
		refused := make(map[string]int)
		for i := range 400 {
			time.Sleep(5 * time.Millisecond)
			class := "low"
			if i%20 == 0 {
				class = "high"
			}
			all.Go(func() {
				k := g.Enter(class, time.Time{})
				if k.Wait(context.Background()) != nil {
					mu.Lock()
					refused[class]++
					mu.Unlock()
					return
				}
				qt.Check(t, k.Waited() <= 60*time.Millisecond, qt.IsTrue)
				time.Sleep(service)
				k.Release(true)
			})
		}
		all.Wait()
		qt.Check(t, refused["high"], qt.Equals, 0)
		qt.Check(t, refused["low"] > 150, qt.IsTrue, qt.Commentf("%d", refused["low"]))
	})
}

// TestRestartResetsState restarts an upstream after it was slow and failed: its report then equals
// that of a new one.
func TestRestartResetsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g, fresh admit.Gate
		g.SetLimits(defaultLimits)
		warm(&g, 20, 40*time.Millisecond)
		for range 5 {
			g.ObserveSlowdown(1)
			time.Sleep(100 * time.Millisecond)
			g.ObserveSlowdown(4)
			time.Sleep(300 * time.Millisecond)
			g.RecordResult(true)
		}
		qt.Check(t, g.Report().FailureRatio > 0.3, qt.IsTrue)
		g.Restart()
		fresh.SetLimits(defaultLimits)
		qt.Check(t, g.Report(), qt.DeepEquals, fresh.Report())
		qt.Check(t, g.SlowedWithin(time.Hour), qt.IsFalse)
	})
}

// TestWaitEndsBeforeTheDeadline has a request wait behind one that hangs, which the gate expected
// to end in time. It is refused when its remaining time is no longer enough for its run, and not
// at its deadline.
func TestWaitEndsBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const run, remaining = 50 * time.Millisecond, 300 * time.Millisecond
		var g admit.Gate
		l := defaultLimits.WithSlots(1)
		l.QueueWait = time.Second
		g.SetLimits(l)
		warm(&g, 20, run)
		hanging := g.Enter("", time.Time{})
		qt.Assert(t, hanging.Wait(context.Background()) == nil, qt.IsTrue)
		began := time.Now()
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(remaining))
		defer cancel()
		failure := g.Enter("", began.Add(remaining)).Wait(ctx)
		qt.Assert(t, failure, qt.IsNotNil)
		qt.Check(t, failure.Cause, qt.Equals, verdict.Refused)
		waited := time.Since(began)
		qt.Check(t, waited >= remaining/2 && waited <= remaining-run, qt.IsTrue, qt.Commentf("%v", waited))
	})
}
