// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route_test

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/route"
)

// The load of TestZonesInAntiphase: upstreams run 14 requests of 240 ms concurrently, and each
// zone has five entries.
const (
	entriesPerZone   = 5
	slotsPerUpstream = 14
	meanRunTime      = 240 * time.Millisecond
	zoneDelay        = 4400 * time.Microsecond // between zones, one way
	simulatedTime    = 30 * time.Second
)

// queueingUpstream is an upstream that queues the requests beyond its slots.
type queueingUpstream struct {
	zone  int
	slots chan struct{}

	mu      sync.Mutex
	present int // running or queued
}

// run runs a request once a slot is free.
func (u *queueingUpstream) run(work time.Duration) {
	u.add(1)
	u.slots <- struct{}{}
	time.Sleep(work)
	<-u.slots
	u.add(-1)
}

func (u *queueingUpstream) add(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.present += n
}

func (u *queueingUpstream) load() route.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	return route.Load{
		Running:     min(u.present, slotsPerUpstream),
		Waiting:     max(0, u.present-slotsPerUpstream),
		Slots:       slotsPerUpstream,
		ServiceTime: meanRunTime,
	}
}

// zonesResult is the result of simulateZones.
type zonesResult struct {
	crossed          float64       // fraction of the requests that crossed zones
	late             float64       // fraction that took over a second
	longestImbalance time.Duration // longest time that an upstream was over its slots while another was half empty
}

// simulateZones has the request rate of each zone rise and fall by 0.55 of its mean every 15 s,
// with a phase of its own, where the mean needs the given fraction of all slots. The list says
// how many upstreams each zone has. Reports reach an entry 5 to 100 ms after they were made.
func simulateZones(utilisation float64, zones []int) zonesResult {
	var upstreams []*queueingUpstream
	for zone, n := range zones {
		for range n {
			upstreams = append(upstreams, &queueingUpstream{
				zone:  zone,
				slots: make(chan struct{}, slotsPerUpstream),
			})
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var sent, crossed, late float64
	began := time.Now()
	running := func() bool { return time.Since(began) < simulatedTime }
	perEntry := utilisation * float64(len(upstreams)*slotsPerUpstream) / meanRunTime.Seconds() / float64(len(zones)*entriesPerZone)
	for entry := range len(zones) * entriesPerZone {
		zone := entry / entriesPerZone
		random := rand.New(rand.NewPCG(7, uint64(entry)))
		p := &route.Pool[int]{Policy: route.Fastest{}, ExpectedServiceTime: meanRunTime}
		p.SetTargets(zoneTargets(zone, random, upstreams))
		reports := rand.New(rand.NewPCG(8, uint64(entry)))
		all.Go(func() {
			for running() {
				for i, u := range upstreams {
					l := u.load()
					age := 5*time.Millisecond + time.Duration(reports.Int64N(int64(95*time.Millisecond)))
					time.AfterFunc(age, func() { p.Observe(i, l) })
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		all.Go(func() {
			for running() {
				angle := 2 * math.Pi * (time.Since(began).Seconds()/15 + float64(zone)/float64(len(zones)))
				rate := perEntry * (1 + 0.55*math.Sin(angle))
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				work := time.Duration((2 + 2*random.Float64()) / 3 * float64(meanRunTime))
				assignment, ok := p.Pick(nil)
				if !ok {
					panic("no upstream")
				}
				u := upstreams[assignment.Key()]
				all.Go(func() {
					arrived := time.Now()
					if u.zone != zone {
						time.Sleep(2 * zoneDelay)
					}
					u.run(work)
					assignment.Done(route.Succeeded)
					mu.Lock()
					defer mu.Unlock()
					sent++
					if u.zone != zone {
						crossed++
					}
					if time.Since(arrived) > time.Second {
						late++
					}
				})
			}
		})
	}
	var longest time.Duration
	all.Go(func() {
		since := make([]time.Time, len(upstreams)) // when each was last not over its slots while another was half empty
		for running() {
			time.Sleep(10 * time.Millisecond)
			least := math.MaxInt
			for _, u := range upstreams {
				least = min(least, u.load().Running)
			}
			for i, u := range upstreams {
				if u.load().Waiting == 0 || 2*least > slotsPerUpstream || since[i].IsZero() {
					since[i] = time.Now()
				}
				longest = max(longest, time.Since(since[i]))
			}
		}
	})
	all.Wait()
	time.Sleep(time.Second) // reports in transit
	return zonesResult{
		crossed:          crossed / sent,
		late:             late / sent,
		longestImbalance: longest,
	}
}

// zoneTargets returns the upstreams as an entry of a zone sees them: six in its zone and two
// elsewhere are regular, and the others are spare.
func zoneTargets(zone int, random *rand.Rand, upstreams []*queueingUpstream) map[int]route.Target {
	targets := make(map[int]route.Target)
	near, far := 6, 2
	for _, i := range random.Perm(len(upstreams)) {
		t := route.Target{Slots: slotsPerUpstream}
		left := &near
		if upstreams[i].zone != zone {
			t.Distance = 12 * time.Millisecond
			t.ZoneCrossingCost = 0.5
			left = &far
		}
		t.Spare = *left == 0
		*left = max(0, *left-1)
		targets[i] = t
	}
	return targets
}

// TestZonesInAntiphase has the request rates of three zones rise and fall with different phases,
// so that the peak of a zone exceeds what its upstreams run while the other zones have free slots.
// No upstream may be over its slots for a second while another is half empty, and hardly any
// request may cross zones while each zone has free slots at any moment.
func TestZonesInAntiphase(t *testing.T) {
	tests := map[string]struct {
		zones       []int
		utilisation float64
		maxCrossed  float64 // largest fraction that may cross zones
	}{
		"thirty upstreams, room in each zone":   {zones: []int{10, 10, 10}, utilisation: 0.5, maxCrossed: 0.05},
		"thirty upstreams, peaks exceed a zone": {zones: []int{10, 10, 10}, utilisation: 0.75, maxCrossed: 0.5},
		"thirty upstreams, nearly full":         {zones: []int{10, 10, 10}, utilisation: 0.85, maxCrossed: 0.5},
		"seven upstreams, peaks exceed a zone":  {zones: []int{3, 2, 2}, utilisation: 0.75, maxCrossed: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := simulateZones(test.utilisation, test.zones)
				t.Logf("%+v", p)
				qt.Check(t, p.longestImbalance < time.Second, qt.IsTrue)
				qt.Check(t, p.late < 0.01, qt.IsTrue)
				qt.Check(t, p.crossed < test.maxCrossed, qt.IsTrue)
			})
		})
	}
}
