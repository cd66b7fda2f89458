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

// steadyService is a service with spare capacity whose upstreams are alike but for slow periods,
// which each has independently of the others: in a quarter of all intervals of 300 ms, a
// request that begins takes four times as long. Each upstream has a node beside it, and all
// nodes send the same fraction of the requests.
type steadyService struct {
	upstreams  int
	perSecond  float64       // of all nodes together
	delay      time.Duration // of a report
	uniform    bool          // whether all upstreams report the same service time
	slowCount  int           // how many upstreams take longer
	slowFactor float64       // how many times longer
}

// spread is how unevenly the requests are spread, and the fraction that ends within a second.
type spread struct{ busiest, inTime float64 }

// simulate sends requests of 240 ms on average for half a minute, three in a hundred of which
// take seven times as long.
func (c steadyService) simulate(t *testing.T) (s spread) {
	const (
		slots     = 14
		length    = 30 * time.Second
		work      = 240 * time.Millisecond
		gain      = 0.1 // weight of one request in the mean that an upstream reports
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

// TestIndividualServiceTimes compares upstreams that report their own service times, as means over
// about their latest ten requests, with upstreams that all report the same one. With their own,
// upstreams that are alike get up to more than twice the mean number of requests, because means of
// so few requests vary and not because reports are old; with the same one, it is at most a third
// more, whatever the delay of reports. Below the load from which requests slow each other down,
// the imbalance makes less than one request in a hundred late, or two if reports are delayed. If
// some upstreams are really slower, more requests are in time with their own service times.
func TestIndividualServiceTimes(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		steadyService
		minGain float64 // least gain from their own service times, in the fraction of requests in time
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
			t.Logf("their own service times %+.3v, the same for all %+.3v", individual, uniform)
			qt.Check(t, individual.inTime >= uniform.inTime+test.minGain, qt.IsTrue)
			if test.slowCount == 0 {
				qt.Check(t, uniform.busiest < 1.4, qt.IsTrue)
			}
		})
	}
}
