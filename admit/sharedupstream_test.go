// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
)

// sender is the load of one organisation in one class.
type sender struct {
	organisation, class string
	perSecond           float64
	work                time.Duration // mean; a third of it more or less
	retries             int           // how often it retries a refused request at once
}

// sharedUpstream is an upstream that organisations share. Arrivals are Poisson with a fixed seed.
type sharedUpstream struct {
	limits  admit.Limits
	senders []sender
	length  time.Duration
}

// outcome counts the requests of a load by their outcome.
type outcome struct {
	offered, ran, useful float64 // useful are those that ended within their objective
}

// served returns the fraction of the requests that ran.
func (f outcome) served() float64 { return f.ran / f.offered }

// inTime returns the fraction of the requests that ended within their objective.
func (f outcome) inTime() float64 { return f.useful / f.offered }

// String implements fmt.Stringer.
func (f outcome) String() string {
	return fmt.Sprintf("%.2f in time, %.2f served", f.inTime(), f.served())
}

// add returns the sum of the two outcomes.
func (f outcome) add(o outcome) outcome {
	return outcome{offered: f.offered + o.offered, ran: f.ran + o.ran, useful: f.useful + o.useful}
}

// simulate sends the load to a gate, with or without the organisations' names, and returns the
// outcome of each organisation.
func (r sharedUpstream) simulate(named bool) map[string]outcome {
	var g admit.Gate
	g.SetLimits(r.limits)
	objective := make(map[string]time.Duration)
	for _, c := range r.limits.Classes {
		objective[c.Name] = c.Objective
	}
	var mu sync.Mutex
	outcomes := make(map[string]outcome)
	var all sync.WaitGroup
	for i, s := range r.senders {
		name := s.organisation
		if !named {
			name = ""
		}
		request := func(work time.Duration) {
			arrived := time.Now()
			f := outcome{offered: 1}
			for range s.retries + 1 {
				t := g.EnterFor(name, s.class, arrived.Add(10*time.Second))
				if t.Wait(context.Background()) != nil {
					continue
				}
				time.Sleep(work)
				t.Release(true)
				f.ran = 1
				if time.Since(arrived) <= objective[s.class] {
					f.useful = 1
				}
				break
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[s.organisation] = outcomes[s.organisation].add(f)
		}
		random := rand.New(rand.NewPCG(3, uint64(i)))
		all.Go(func() {
			for began := time.Now(); ; {
				time.Sleep(time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)))
				if time.Since(began) > r.length {
					return
				}
				work := time.Duration((2 + 2*random.Float64()) / 3 * float64(s.work))
				all.Go(func() { request(work) })
			}
		})
	}
	all.Wait()
	return outcomes
}

// total returns the outcome of all organisations except the named ones.
func total(outcomes map[string]outcome, except ...string) (sum outcome) {
	for name, f := range outcomes {
		if !slices.Contains(except, name) {
			sum = sum.add(f)
		}
	}
	return sum
}

// leastServed returns the organisation with the smallest fraction of served requests, of those with
// at least 40 requests.
func leastServed(outcomes map[string]outcome) (name string, worst outcome) {
	for n, f := range outcomes {
		if f.offered >= 40 && (name == "" || f.served() < worst.served()) {
			name = n
			worst = f
		}
	}
	return name, worst
}

// checkLimits returns the limits of an upstream of 14 slots with requests of one class. With run
// times of 220 ms it can serve 63 a second.
func checkLimits(objective time.Duration) admit.Limits {
	return admit.Limits{
		Slots:         14,
		QueueLength:   16,
		HoldWhileSlow: true,
	}.WithClasses(admit.Class{Name: "check", Weight: 1, MaxShare: 1, Objective: objective})
}

// small returns n organisations that send the given rate together, each the same fraction of it.
func small(n int, perSecond float64, work time.Duration) []sender {
	var list []sender
	for i := range n {
		list = append(list, sender{fmt.Sprintf("small%d", i), "check", perSecond / float64(n), work, 0})
	}
	return list
}

// simulate runs the load r for 40 seconds.
func simulate(t *testing.T, r sharedUpstream, named bool) (outcomes map[string]outcome) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		r.length = 40 * time.Second
		outcomes = r.simulate(named)
	})
	return outcomes
}

// TestOverloadByOneOrganisation has an upstream that can serve 63 requests a second. Twenty
// organisations together send 40 and another one sends four or eight times its usual ten, which
// would be within its rate limit. The others are served as usual and the one in overload gets what
// they leave. Without the names all are refused alike.
func TestOverloadByOneOrganisation(t *testing.T) {
	for name, perSecond := range map[string]float64{"fourfold": 40, "eightfold": 80} {
		t.Run(name, func(t *testing.T) {
			r := sharedUpstream{
				limits:  checkLimits(ms(600)),
				senders: append(small(20, 40, ms(220)), sender{"big", "check", perSecond, ms(220), 0}),
			}
			named, unnamed := simulate(t, r, true), simulate(t, r, false)
			t.Logf("others %v, big %v; without names %v, %v", total(named, "big"), named["big"], total(unnamed, "big"), unnamed["big"])
			qt.Check(t, total(named, "big").inTime() > 0.95, qt.IsTrue)
			qt.Check(t, total(unnamed, "big").inTime() < 0.8, qt.IsTrue)
			qt.Check(t, total(named).served() > total(unnamed).served()-0.02, qt.IsTrue)
			_, worst := leastServed(named)
			qt.Check(t, worst.served() > total(named).served()/4, qt.IsTrue)
		})
	}
}

// TestLongRequestsOfOneOrganisation has an organisation send requests of 550 ms for all slots,
// beside short ones of other organisations in the same class that need a fifth or two fifths of the
// slots. Fairness is by the time that slots are held, not by the number of requests.
func TestLongRequestsOfOneOrganisation(t *testing.T) {
	for name, test := range map[string]struct {
		work      time.Duration
		perSecond float64
	}{
		"beside 55 ms":  {work: ms(55), perSecond: 50},
		"beside 180 ms": {work: ms(180), perSecond: 30},
	} {
		t.Run(name, func(t *testing.T) {
			r := sharedUpstream{
				limits:  checkLimits(time.Second),
				senders: append(small(20, test.perSecond, test.work), sender{"big", "check", 25, ms(550), 0}),
			}
			named, unnamed := simulate(t, r, true), simulate(t, r, false)
			t.Logf("others %v, big %v; without names %v, %v", total(named, "big"), named["big"], total(unnamed, "big"), unnamed["big"])
			qt.Check(t, total(named, "big").inTime() > 0.95, qt.IsTrue)
			qt.Check(t, total(unnamed, "big").inTime() < 0.85, qt.IsTrue)
			qt.Check(t, named["big"].served() > total(named).served()/4, qt.IsTrue)
		})
	}
}

// TestImmediateRetriesOfOneOrganisation has an organisation that needs two thirds of an upstream
// retry each refused request at once, up to twenty times, beside others that need two thirds of it
// and do not retry.
func TestImmediateRetriesOfOneOrganisation(t *testing.T) {
	r := sharedUpstream{
		limits:  checkLimits(ms(600)),
		senders: append(small(20, 40, ms(220)), sender{"big", "check", 40, ms(220), 20}),
	}
	named, unnamed := simulate(t, r, true), simulate(t, r, false)
	t.Logf("others %v, big %v; without names %v, %v", total(named, "big"), named["big"], total(unnamed, "big"), unnamed["big"])
	qt.Check(t, total(named, "big").inTime() > 0.95, qt.IsTrue)
	qt.Check(t, total(unnamed, "big").inTime() < 0.8, qt.IsTrue)
}

// TestThousandsOfOrganisations has five thousand organisations, none of which sends more than about
// a request a minute, send half as much again as the upstream can run. Waiting gains nothing then:
// as many are served as if they were one organisation. If one among them overloads the upstream,
// the others are served before it, but it is not starved.
func TestThousandsOfOrganisations(t *testing.T) {
	t.Run("alone", func(t *testing.T) {
		r := sharedUpstream{
			limits:  checkLimits(ms(600)),
			senders: small(5000, 95, ms(220)),
		}
		named, unnamed := total(simulate(t, r, true)), total(simulate(t, r, false))
		t.Logf("%v; without names %v", named, unnamed)
		qt.Check(t, named.inTime() > 0.6, qt.IsTrue)
		qt.Check(t, named.inTime() > unnamed.inTime()-0.02, qt.IsTrue)
	})
	for name, perSecond := range map[string]float64{"beside 40 a second": 40, "beside 100 a second": 100, "beside 300 a second": 300} {
		t.Run(name, func(t *testing.T) {
			r := sharedUpstream{
				limits:  checkLimits(ms(600)),
				senders: append(small(5000, 55, ms(220)), sender{"big", "check", perSecond, ms(220), 0}),
			}
			named := simulate(t, r, true)
			t.Logf("others %v, big %v, all %v", total(named, "big"), named["big"], total(named))
			qt.Check(t, total(named, "big").inTime() > 0.75, qt.IsTrue)
			qt.Check(t, named["big"].served() > total(named).served()/4, qt.IsTrue)
		})
	}
}

// TestWeightsOfOrganisations has an organisation with ten times the weight of each of forty others
// send a third of a load that is twice what the upstream can run. Its fair share by weight is a
// fifth.
func TestWeightsOfOrganisations(t *testing.T) {
	r := sharedUpstream{
		limits:  checkLimits(ms(600)),
		senders: append(small(40, 80, ms(220)), sender{"big", "check", 40, ms(220), 0}),
	}
	r.limits.Weight = func(organisation string) float64 {
		if organisation == "big" {
			return 10
		}
		return 1
	}
	named := simulate(t, r, true)
	t.Logf("others %v, big %v", total(named, "big"), named["big"])
	_, worst := leastServed(named)
	qt.Check(t, worst.served() > total(named).served()/4, qt.IsTrue)
	qt.Check(t, named["big"].served() > total(named).served()/2, qt.IsTrue)
}

// TestSizesOfOrganisations has 77 organisations whose usual rates fall with their rank, as
// 1/rank^1.2, and whose rate limits are their weights, use four fifths of an upstream. One of them
// multiplies its rate so that the total load is one and a half times the capacity. The others are
// served as usual, including the smallest ones.
func TestSizesOfOrganisations(t *testing.T) {
	const all, usualRate = 77, 50.0
	var sum float64
	for rank := 1; rank <= all; rank++ {
		sum += math.Pow(float64(rank), -1.2)
	}
	rate := make(map[string]float64)
	for rank := 1; rank <= all; rank++ {
		rate[fmt.Sprint(rank)] = usualRate * math.Pow(float64(rank), -1.2) / sum
	}
	for name, test := range map[string]struct {
		overloading string
		factor      float64
	}{
		"largest": {overloading: "1", factor: 4},
		"middle":  {overloading: "4", factor: 10},
	} {
		t.Run(name, func(t *testing.T) {
			r := sharedUpstream{limits: checkLimits(ms(600))}
			r.limits.Weight = func(organisation string) float64 { return 1.6 * rate[organisation] }
			for rank := 1; rank <= all; rank++ {
				name := fmt.Sprint(rank)
				perSecond := rate[name]
				if name == test.overloading {
					perSecond *= test.factor
				}
				r.senders = append(r.senders, sender{name, "check", perSecond, ms(220), 0})
			}
			named, unnamed := simulate(t, r, true), simulate(t, r, false)
			var small outcome
			for rank := all / 2; rank <= all; rank++ {
				small = small.add(named[fmt.Sprint(rank)])
			}
			n, worst := leastServed(named)
			t.Logf("others %v, small %v, overloading %v, least %s %v; without names %v", total(named, test.overloading), small, named[test.overloading], n, worst, total(unnamed, test.overloading))
			qt.Check(t, total(named, test.overloading).inTime() > 0.95, qt.IsTrue)
			qt.Check(t, small.inTime() > 0.95, qt.IsTrue)
			qt.Check(t, worst.served() > total(named).served()/4, qt.IsTrue)
			qt.Check(t, total(unnamed, test.overloading).inTime() < 0.85, qt.IsTrue)
		})
	}
}

// TestRequestsWithoutOrganisation has requests without an organisation, as nested calls are, share a
// class with organisations of which one overloads the upstream. They need a quarter of the upstream,
// which is less than the half that they are entitled to beside any number of organisations.
func TestRequestsWithoutOrganisation(t *testing.T) {
	r := sharedUpstream{
		limits:  checkLimits(ms(600)),
		senders: append(small(20, 25, ms(220)), sender{"", "check", 15, ms(220), 0}, sender{"big", "check", 80, ms(220), 0}),
	}
	named := simulate(t, r, true)
	t.Logf("without %v, others %v, big %v", named[""], total(named, "big", ""), named["big"])
	qt.Check(t, named[""].inTime() > 0.95, qt.IsTrue)
	qt.Check(t, total(named, "big", "").inTime() > 0.95, qt.IsTrue)
	qt.Check(t, named["big"].served() > total(named).served()/4, qt.IsTrue)
}

// mixedLimits returns the limits of an upstream of 14 slots with urgent requests of 180 ms and an
// objective of 500 ms, nested calls of 55 ms and 150 ms, and long requests of 550 ms that can wait,
// each with a lower priority than the one before.
func mixedLimits() admit.Limits {
	return admit.Limits{
		Slots:         14,
		QueueLength:   16,
		HoldWhileSlow: true,
	}.WithClasses(
		admit.Class{Name: "statement", Weight: 1, MaxShare: 1, Priority: -2, Objective: 3 * time.Second},
		admit.Class{Name: "call", Weight: 4, MaxShare: 1, Priority: -1, Objective: ms(150)},
		admit.Class{Name: "refund", Weight: 16, MaxShare: 1, Priority: 0, Objective: ms(500)},
	)
}

// mixed is a load on such an upstream; here each class is an organisation.
func mixed(statements, calls, refunds float64) sharedUpstream {
	return sharedUpstream{
		limits: mixedLimits(),
		senders: []sender{
			{"statement", "statement", statements, ms(550), 0},
			{"call", "call", calls, ms(55), 0},
			{"refund", "refund", refunds, ms(180), 0},
		},
	}
}

// TestUrgentRequestsBesideLongOnes has long requests ask for all slots or twice as many, beside
// urgent ones that need one.
func TestUrgentRequestsBesideLongOnes(t *testing.T) {
	for name, statements := range map[string]float64{"all": 26, "twice": 52} {
		t.Run(name, func(t *testing.T) {
			share := simulate(t, mixed(statements, 0.01, 6), false)
			t.Logf("%v", share)
			qt.Check(t, share["refund"].inTime() > 0.95, qt.IsTrue)
		})
	}
}

// TestUrgentRequestsBesideNestedCalls has nested calls ask for all slots beside the urgent requests.
func TestUrgentRequestsBesideNestedCalls(t *testing.T) {
	share := simulate(t, mixed(6, 260, 6), false)
	t.Logf("%v", share)
	qt.Check(t, share["refund"].inTime() > 0.95, qt.IsTrue)
}

// TestNestedCallsBesideLongRequests has long requests ask for all slots or twice as many, beside
// nested calls. Seven in ten of the runs that make calls need two of them, and fail if one fails; a
// refused call is sent to two more upstreams, under the same load. Of the runs, 95 in 100 must get
// their calls.
func TestNestedCallsBesideLongRequests(t *testing.T) {
	for name, statements := range map[string]float64{"all": 26, "twice": 52} {
		t.Run(name, func(t *testing.T) {
			share := simulate(t, mixed(statements, 12, 2), false)
			lost := 1 - share["call"].inTime()
			answered := 1 - lost*lost*lost
			runs := 0.3 + 0.7*answered*answered
			t.Logf("%v; %.3f of the runs", share, runs)
			qt.Check(t, runs > 0.95, qt.IsTrue)
		})
	}
}
