// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/route"
)

const (
	// uploadSize is the size of a large body in bytes, which takes 48 ms on a link of 10 Mbit/s.
	uploadSize = 60_000
	// slowLink and fastLink are the bandwidths of instances' links, in bytes per second.
	slowLink = 10e6 / 8
	fastLink = 100e6 / 8
)

// linkedUpstream is an upstream behind a link that transfers one body at a time.
type linkedUpstream struct {
	rate float64
	link chan struct{} // has room while no body is transferred

	mu      sync.Mutex
	backlog int
	running int
}

// serve transfers a body over the link and runs its request.
func (l *linkedUpstream) serve(work time.Duration) (arrived time.Duration) {
	started := time.Now()
	l.add(uploadSize, 0)
	l.link <- struct{}{}
	time.Sleep(time.Duration(uploadSize / l.rate * float64(time.Second)))
	<-l.link
	arrived = time.Since(started)
	l.add(-uploadSize, 1)
	time.Sleep(work)
	l.add(0, -1)
	return arrived
}

func (l *linkedUpstream) add(backlog, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog += backlog
	l.running += running
}

// load returns what the upstream's node reports. If hidden is true, it reports nothing about
// its link.
func (l *linkedUpstream) load(hidden bool) route.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := route.Load{
		Running:     l.running,
		Slots:       14,
		ServiceTime: 280 * time.Millisecond,
	}
	if !hidden {
		r.LinkBandwidth = l.rate
		r.BacklogBytes = l.backlog
	}
	return r
}

// simulateUploads has three entries send uploads to seven upstreams, one of which has a fast
// link, for 20 s, with reports that are up to 50 ms old. It returns the transfer times of the
// bodies, sorted.
func simulateUploads(perSecond float64, hidden bool) (took []time.Duration) {
	upstreams := make([]*linkedUpstream, 7)
	targets := make(map[int]route.Target)
	for i := range upstreams {
		upstreams[i] = &linkedUpstream{rate: slowLink, link: make(chan struct{}, 1)}
		targets[i] = route.Target{Slots: 14}
	}
	upstreams[0].rate = fastLink
	var all sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for entry := range 3 {
		p := &route.Pool[int]{Policy: route.Fastest{}, ExpectedServiceTime: 280 * time.Millisecond}
		p.SetTargets(targets)
		all.Go(func() {
			for time.Since(began) < 20*time.Second {
				for i, u := range upstreams {
					p.Observe(i, u.load(hidden))
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		random := rand.New(rand.NewPCG(5, uint64(entry)))
		all.Go(func() {
			for time.Since(began) < 20*time.Second {
				time.Sleep(time.Duration(3 * random.ExpFloat64() / perSecond * float64(time.Second)))
				assignment, ok := p.PickForBody(uploadSize, nil)
				if !ok {
					panic("no upstream")
				}
				all.Go(func() {
					arrived := upstreams[assignment.Key()].serve(280 * time.Millisecond)
					assignment.Done(route.Succeeded)
					mu.Lock()
					defer mu.Unlock()
					took = append(took, arrived)
				})
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	return took
}

// TestLargeBodiesAvoidBusyLinks has uploads use six tenths of the total bandwidth of seven
// upstreams, one of which has a link ten times as fast as the others. If the bandwidths are
// known, hardly any body waits for others on a slow link; otherwise the slow links fill up.
func TestLargeBodiesAvoidBusyLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 120
		known, hidden := simulateUploads(perSecond, false), simulateUploads(perSecond, true)
		p90 := func(took []time.Duration) time.Duration { return took[len(took)*9/10] }
		t.Logf("nine in ten bodies within %v, and %v with unknown bandwidths", p90(known), p90(hidden))
		qt.Check(t, p90(known) < 150*time.Millisecond, qt.IsTrue)
		qt.Check(t, p90(hidden) > 2*p90(known), qt.IsTrue)
	})
}

// TestTransfer has one row for each reason why a large body is sent to an upstream.
func TestTransfer(t *testing.T) {
	slow := route.Load{Slots: 14, ServiceTime: 280 * time.Millisecond, LinkBandwidth: slowLink}
	busy, fast, unknown, loaded := slow, slow, slow, slow
	busy.BacklogBytes = 100_000
	fast.LinkBandwidth = fastLink
	unknown.LinkBandwidth = 0
	loaded.LinkBandwidth = fastLink
	loaded.Running = 14
	tests := map[string]struct {
		first, second  route.Load
		local          bool // whether the first is beside the entry
		entryBandwidth float64
		body           int64
		want           int // -1 for either
	}{
		"to the fast link":                      {first: fast, second: slow, body: uploadSize, want: 0},
		"past a backlog":                        {first: busy, second: slow, body: uploadSize, want: 1},
		"to the local upstream":                 {first: slow, second: slow, local: true, body: uploadSize, want: 0},
		"not to a full upstream":                {first: loaded, second: slow, body: uploadSize, want: 1},
		"a small body to any":                   {first: fast, second: busy, want: -1},
		"over the entry's own slow link":        {first: fast, second: slow, entryBandwidth: slowLink / 10, body: uploadSize, want: -1},
		"no bandwidth known":                    {first: unknown, second: unknown, body: uploadSize, want: -1},
		"a local one with a busy link":          {first: busy, second: slow, local: true, body: uploadSize, want: 0},
		"an unknown bandwidth before a backlog": {first: unknown, second: busy, body: uploadSize, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &route.Pool[int]{Policy: route.Fastest{}, ExpectedServiceTime: 280 * time.Millisecond, LinkBandwidth: test.entryBandwidth}
			p.SetTargets(map[int]route.Target{0: {Slots: 14, Local: test.local}, 1: {Slots: 14}})
			got := make(map[int]int)
			for range 100 {
				p.Observe(0, test.first)
				p.Observe(1, test.second)
				assignment, ok := p.PickForBody(test.body, nil)
				qt.Assert(t, ok, qt.IsTrue)
				got[assignment.Key()]++
				assignment.Done(route.Unknown)
			}
			switch test.want {
			case -1:
				qt.Check(t, got[0] > 20 && got[1] > 20, qt.IsTrue, qt.Commentf("%v", got))
			default:
				qt.Check(t, got[test.want], qt.Equals, 100)
			}
		})
	}
}
