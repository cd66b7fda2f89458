// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/quarantine"
)

// popularLoad simulates harmless requests of a few kinds, which keep most of the slots of some
// upstreams busy, while the upstreams crash now and then, each because of a request that was not sent
// before. Reports reach all nodes after simReportDelay.
type popularLoad struct {
	upstreams, kinds int

	index     quarantine.Index
	random    *rand.Rand
	gates     []*simGate
	lastFatal int
	sent      int
	blocked   int
	isolated  int // sent while isolated
}

// simGate is the state of the gate of one upstream.
type simGate struct {
	responses quarantine.ResponseCounter
	running   map[*simRequest]bool
	isolated  *simRequest
	backAt    time.Time
	starts    int
}

const (
	popularSlots         = 4
	popularRunTime       = 20 * time.Millisecond
	popularRestartTime   = 200 * time.Millisecond
	popularCrashInterval = 500 * time.Millisecond // between two crashes
	popularDuration      = 12 * time.Second
)

// send sends a request of some kind.
func (l *popularLoad) send(p quarantine.Fingerprint) {
	l.sent++
	state := l.index.Assess(p).State
	if state == quarantine.Blocked {
		l.blocked++
		return
	}
	g := l.gates[l.random.IntN(len(l.gates))]
	if state == quarantine.Isolated {
		l.isolated++
		g = l.gates[int(p.Head%uint64(len(l.gates)))]
		if g.isolated != nil {
			return
		}
	}
	if time.Now().Before(g.backAt) || len(g.running) >= popularSlots {
		return
	}
	r := &simRequest{fingerprint: p, endsAt: time.Now().Add(popularRunTime/2 + time.Duration(l.random.Int64N(int64(popularRunTime))))}
	if state == quarantine.Isolated {
		g.isolated = r
	}
	g.running[r] = true
}

// step completes the requests that have run.
func (l *popularLoad) step(g *simGate) {
	for r := range g.running {
		if time.Now().Before(r.endsAt) {
			continue
		}
		delete(g.running, r)
		if g.isolated == r {
			g.isolated = nil
		}
		g.responses.Add(r.fingerprint)
		if l.index.Assess(r.fingerprint).Crashes > 0 {
			report := quarantine.NewCompletionReport(r.fingerprint)
			time.AfterFunc(simReportDelay, func() { l.index.Add(report) })
		}
	}
}

// crash crashes an upstream because of a new request.
func (l *popularLoad) crash(i int) {
	g := l.gates[i]
	l.lastFatal++
	fingerprints := []quarantine.Fingerprint{quarantine.NewFingerprint("caller", "PUT", "h.example", "/bug").WithBody([]byte(fmt.Sprint(l.lastFatal)))}
	for r := range g.running {
		fingerprints = append(fingerprints, r.fingerprint)
	}
	var isolated quarantine.Fingerprint
	if g.isolated != nil {
		isolated = g.isolated.fingerprint
	}
	suspects, isolated := g.responses.Suspects(fingerprints, isolated)
	clear(g.running)
	g.isolated = nil
	g.starts++
	g.backAt = time.Now().Add(popularRestartTime)
	report := quarantine.NewCrashReport(fmt.Sprint(i, "/", g.starts), suspects, isolated)
	time.AfterFunc(simReportDelay, func() { l.index.Add(report) })
}

// run runs the simulation.
func (l *popularLoad) run() {
	for range l.upstreams {
		l.gates = append(l.gates, &simGate{running: make(map[*simRequest]bool)})
	}
	began := time.Now()
	next := time.Second
	for time.Since(began) < popularDuration {
		for range l.upstreams { // three slots in four are busy
			if l.random.Float64() < 0.15*float64(popularSlots)/4 {
				l.send(fingerprintOf(l.random.IntN(l.kinds)))
			}
		}
		for _, g := range l.gates {
			l.step(g)
		}
		if time.Since(began) >= next {
			next += popularCrashInterval
			l.crash(l.random.IntN(l.upstreams))
		}
		time.Sleep(time.Millisecond)
	}
}

// TestPopularKinds has kinds of requests that upstreams answer all the time in flight when upstreams
// crash, twice a second. No kind may be blocked, and only few requests may be isolated, at the
// beginning, before a gate has counted enough responses of a kind.
func TestPopularKinds(t *testing.T) {
	tests := map[string]struct{ kinds, upstreams, isolatedOneIn int }{
		"one kind, two upstreams":    {kinds: 1, upstreams: 2, isolatedOneIn: 1000},
		"one kind, sixty":            {kinds: 1, upstreams: 60, isolatedOneIn: 1000},
		"four kinds, two":            {kinds: 4, upstreams: 2, isolatedOneIn: 1000},
		"four kinds, six":            {kinds: 4, upstreams: 6, isolatedOneIn: 1000},
		"four kinds, twelve":         {kinds: 4, upstreams: 12, isolatedOneIn: 1000},
		"two hundred kinds, two":     {kinds: 200, upstreams: 2, isolatedOneIn: 100},
		"two hundred kinds, twelve":  {kinds: 200, upstreams: 12, isolatedOneIn: 1000},
		"two hundred kinds, sixty":   {kinds: 200, upstreams: 60, isolatedOneIn: 1000},
		"ten thousand kinds, twelve": {kinds: 10000, upstreams: 12, isolatedOneIn: 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sent, blocked, isolated int
			for seed := range uint64(8) {
				synctest.Test(t, func(t *testing.T) {
					l := &popularLoad{upstreams: test.upstreams, kinds: test.kinds, random: rand.New(rand.NewPCG(seed, seed))}
					l.run()
					sent += l.sent
					blocked += l.blocked
					isolated += l.isolated
				})
			}
			t.Logf("%d sent, %d of them isolated, %d blocked", sent, isolated, blocked)
			qt.Check(t, blocked, qt.Equals, 0)
			qt.Check(t, isolated*test.isolatedOneIn <= sent, qt.IsTrue, qt.Commentf("%d of %d", isolated, sent))
		})
	}
}

// TestResponseCounter checks which requests in flight are suspected for a crash.
func TestResponseCounter(t *testing.T) {
	tests := map[string]struct {
		simulate  func(a *quarantine.ResponseCounter)
		suspected bool
		blocked   bool // whether it is blocked if it was isolated
	}{
		"never answered":    {simulate: func(*quarantine.ResponseCounter) {}, suspected: true, blocked: true},
		"answered once":     {simulate: func(a *quarantine.ResponseCounter) { addResponses(a, 1) }, suspected: true},
		"answered often":    {simulate: func(a *quarantine.ResponseCounter) { addResponses(a, 100) }},
		"answered long ago": {simulate: func(a *quarantine.ResponseCounter) { addResponses(a, 100); time.Sleep(20 * time.Second) }, suspected: true, blocked: true},
		"answered in the previous window": {simulate: func(a *quarantine.ResponseCounter) {
			addResponses(a, 100)
			time.Sleep(15 * time.Second)
			addResponses(a, 1)
		}},
		"crashes one run in ten": {
			simulate: func(a *quarantine.ResponseCounter) {
				for range 5 {
					addResponses(a, 10)
					a.Suspects([]quarantine.Fingerprint{fingerprintOf(1)}, quarantine.Fingerprint{})
				}
			},
			suspected: true,
		},
		"in flight at one crash per hundred runs": {
			simulate: func(a *quarantine.ResponseCounter) {
				for range 5 {
					addResponses(a, 100)
					a.Suspects([]quarantine.Fingerprint{fingerprintOf(1)}, quarantine.Fingerprint{})
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var a quarantine.ResponseCounter
				test.simulate(&a)
				suspects, toBlock := a.Suspects([]quarantine.Fingerprint{fingerprintOf(1)}, fingerprintOf(1))
				qt.Check(t, len(suspects) == 1, qt.Equals, test.suspected)
				qt.Check(t, toBlock == fingerprintOf(1), qt.Equals, test.blocked)
			})
		})
	}
}

// addResponses counts a number of answered runs of request 1.
func addResponses(a *quarantine.ResponseCounter, runs int) {
	for range runs {
		a.Add(fingerprintOf(1))
	}
}

// BenchmarkResponseCounter counts answered runs, half of them of one frequent request.
func BenchmarkResponseCounter(b *testing.B) {
	var a quarantine.ResponseCounter
	i := 0
	for b.Loop() {
		i++
		a.Add(quarantine.Fingerprint{Head: uint64(i%2) * uint64(i), Body: 1})
	}
}
