// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/route"
)

// calm is a service with room to spare whose upstreams are alike but for the slow spells that
// each has at times of its own: a quarter of the time, 300 ms at a time, a request that begins
// takes four times as long. Each has a node beside it, which sends the same part of the
// requests.
type steadyService struct {
	upstreams  int
	perSecond  float64       // of all nodes together
	delay      time.Duration // of a report
	uniform    bool          // whether nodes are told the same service time of all upstreams
	slowCount  int           // how many upstreams take longer
	slowFactor float64       // how many times longer
}

// shares are how unevenly the requests are spread, and how many end within a second.
type spread struct{ busiest, inTime float64 }

// play sends requests of 240 ms in the mean for half a minute, of which three in a hundred
// take seven times as long.
func (c steadyService) simulate(t *testing.T) (s spread) {
	const (
		slots     = 14
		length    = 30 * time.Second
		work      = 240 * time.Millisecond
		gain      = 0.1 // of one request in the mean that an upstream tells
		objective = time.Second
	)
	synctest.Test(t, func(*testing.T) {
		type upstream struct {
			running, received int
			slowdown, mean    float64
		}
		var mu sync.Mutex
		var all sync.WaitGroup
		began := time.Now()
		list := make([]upstream, c.upstreams)
		pools := make([]route.Pool[int], c.upstreams)
		report := func(i int) route.Load {
			u := &list[i]
			l := route.Load{Running: u.running, Slots: slots, ServiceTime: time.Duration(u.mean * float64(work)), Slowdown: u.slowdown}
			if c.uniform {
				l.ServiceTime = work
			}
			return l
		}
		targets := make(map[int]route.Target)
		for i := range list {
			list[i] = upstream{slowdown: 1, mean: 1}
			targets[i] = route.Target{Slots: slots}
		}
		for i := range pools {
			pools[i] = route.Pool[int]{Policy: route.Fastest{}, ExpectedServiceTime: work}
			pools[i].SetTargets(targets)
		}
		for i := range list {
			random := rand.New(rand.NewPCG(5, uint64(i)))
			all.Go(func() {
				time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
				for time.Since(began) < length {
					mu.Lock()
					list[i].slowdown = 1
					if random.Float64() < 0.25 {
						list[i].slowdown = 4
					}
					l := report(i)
					mu.Unlock()
					time.Sleep(c.delay)
					for k := range pools {
						pools[k].Observe(i, l)
					}
					time.Sleep(300*time.Millisecond - c.delay)
				}
			})
		}
		var requests, inTime float64
		request := func(node int, factor float64) {
			assignment, _ := pools[node].Pick(nil)
			i := assignment.Key()
			if i < c.slowCount {
				factor *= c.slowFactor
			}
			arrived := time.Now()
			mu.Lock()
			list[i].running++
			list[i].received++
			slowdown := list[i].slowdown
			mu.Unlock()
			time.Sleep(time.Duration(slowdown * factor * float64(work)))
			mu.Lock()
			list[i].running--
			list[i].mean += gain * (factor - list[i].mean)
			l := report(i)
			requests++
			if time.Since(arrived) <= objective {
				inTime++
			}
			mu.Unlock()
			time.Sleep(c.delay)
			assignment.Done(route.Succeeded)
			pools[node].Observe(i, l)
		}
		all.Go(func() {
			random := rand.New(rand.NewPCG(6, 6))
			for time.Since(began) < length {
				time.Sleep(time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second)))
				factor := math.Exp(0.3*random.NormFloat64()-0.045) / 1.18
				if random.Float64() < 0.03 {
					factor *= 7
				}
				node := random.IntN(c.upstreams)
				all.Go(func() { request(node, factor) })
			}
		})
		all.Wait()
		var got []int
		var sum int
		for _, u := range list {
			got = append(got, u.received)
			sum += u.received
		}
		s.busiest = float64(slices.Max(got)) * float64(len(got)) / float64(sum)
		s.inTime = inTime / requests
	})
	return s
}

// TestShares compares what each upstream tells of its service time, the mean over its latest
// ten requests or so, with the same for all. Alike upstreams get up to more than twice the
// mean of the requests either way that the means of so few requests happen to fall, not as
// reports are old: with the same service time for all it is a third more at most, whatever
// the delay. Below the load from which requests slow each other down that costs callers less
// than one request in a hundred, or two where reports are late; and where some upstreams are
// truly slower, going by what they tell serves more.
func TestIndividualServiceTimes(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		steadyService
		minGain float64 // least gain of going by what upstreams tell, in requests in time
	}{
		"alike":                    {steadyService: steadyService{upstreams: 11, perSecond: 80, delay: 5 * ms}, minGain: -0.01},
		"alike, more load":         {steadyService: steadyService{upstreams: 11, perSecond: 160, delay: 5 * ms}, minGain: -0.01},
		"alike, reports are late":  {steadyService: steadyService{upstreams: 11, perSecond: 160, delay: 50 * ms}, minGain: -0.02},
		"some take twice as long":  {steadyService: steadyService{upstreams: 11, perSecond: 160, delay: 5 * ms, slowCount: 5, slowFactor: 2}, minGain: -0.01},
		"a few take five times":    {steadyService: steadyService{upstreams: 11, perSecond: 80, delay: 5 * ms, slowCount: 3, slowFactor: 5}, minGain: 0.02},
		"a few, and more load":     {steadyService: steadyService{upstreams: 11, perSecond: 240, delay: 5 * ms, slowCount: 3, slowFactor: 5}, minGain: 0.02},
		"a few, reports are late":  {steadyService: steadyService{upstreams: 11, perSecond: 160, delay: 50 * ms, slowCount: 3, slowFactor: 5}, minGain: 0.02},
		"alike, three fifths full": {steadyService: steadyService{upstreams: 11, perSecond: 240, delay: 5 * ms}, minGain: -0.01},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			individual := test.simulate(t)
			test.uniform = true
			uniform := test.simulate(t)
			t.Logf("told %+.3v, the same for all %+.3v", individual, uniform)
			qt.Check(t, individual.inTime >= uniform.inTime+test.minGain, qt.IsTrue)
			if test.slowCount == 0 {
				qt.Check(t, uniform.busiest < 1.4, qt.IsTrue)
			}
		})
	}
}
