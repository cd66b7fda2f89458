// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/quarantine"
)

// The load of TestHarmlessRequests is a service of six upstreams, 60% of whose slots are busy with
// reads that take 160 ms, like the services on which the limits are based.
const (
	simUpstreams    = 6
	simSlots        = 14
	simRunTime      = 160 * time.Millisecond
	simRate         = 300 // reads per second
	simRestartTime  = 3500 * time.Millisecond
	simStep         = 5 * time.Millisecond
	simReportDelay  = 100 * time.Millisecond // until a report has reached all nodes
	simFatalRunTime = 50 * time.Millisecond
	simDuration     = 12 * time.Second
)

// simUpstream is a simulated upstream.
type simUpstream struct {
	starts   int
	backAt   time.Time
	running  []*simRequest
	isolated *simRequest
}

// simRequest is a read, or the fatal request.
type simRequest struct {
	fingerprint quarantine.Fingerprint
	fatal       bool
	endsAt      time.Time
	attempts    int
}

// simLoad holds the parameters of a simulation.
type simLoad struct {
	interval time.Duration // between arrivals of the fatal request
	copies   int           // of the fatal request that arrive at once
	crashAll bool          // whether all upstreams crash then, for another reason
	hot      float64       // fraction of the reads that are the same
}

// sim is a simulation.
type sim struct {
	simLoad

	index     quarantine.Index
	random    *rand.Rand
	upstreams [simUpstreams]simUpstream
	lastRead  int

	reads, isolated, blocked int // number of reads, and how often one was isolated or blocked
	refused                  int // reads that could not run in isolation though there was capacity
	fatalCrashes             int
}

// send sends a request to an upstream that is available, as nodes do.
func (s *sim) send(r *simRequest) {
	r.attempts++
	state := s.index.Assess(r.fingerprint).State
	if !r.fatal && state == quarantine.Isolated {
		s.isolated++
	}
	if state == quarantine.Blocked {
		if !r.fatal {
			s.blocked++
		}
		return
	}
	order := s.random.Perm(simUpstreams)
	if state == quarantine.Isolated {
		order = rand.New(rand.NewPCG(r.fingerprint.Head, 0)).Perm(simUpstreams)
	}
	for _, i := range order {
		u := &s.upstreams[i]
		if time.Now().Before(u.backAt) {
			if state == quarantine.Isolated && time.Until(u.backAt) > simRestartTime-simReportDelay {
				break // only the node beside it has detected the crash yet
			}
			continue
		}
		if state == quarantine.Isolated && (u.isolated != nil || len(u.running) >= simSlots) {
			break
		}
		if len(u.running) >= simSlots {
			continue
		}
		if state == quarantine.Isolated {
			u.isolated = r
		}
		r.endsAt = time.Now().Add(simRunTime/2 + time.Duration(s.random.Int64N(int64(simRunTime))))
		if r.fatal {
			r.endsAt = time.Now().Add(simFatalRunTime)
		}
		u.running = append(u.running, r)
		return
	}
	if !r.fatal && state == quarantine.Isolated && s.hasCapacity() {
		s.refused++
	}
}

// hasCapacity returns whether an upstream would run a request that is not suspected.
func (s *sim) hasCapacity() bool {
	return slices.ContainsFunc(s.upstreams[:], func(u simUpstream) bool {
		return !time.Now().Before(u.backAt) && len(u.running) < simSlots
	})
}

// step completes the requests of an upstream that end now.
func (s *sim) step(i int) {
	u := &s.upstreams[i]
	var going []*simRequest
	fatal := false
	for _, r := range u.running {
		if time.Now().Before(r.endsAt) {
			going = append(going, r)
			continue
		}
		if r.fatal {
			fatal = true
			break
		}
		if r == u.isolated {
			u.isolated = nil
		}
		if s.index.Assess(r.fingerprint).Crashes > 0 {
			s.index.Add(quarantine.NewCompletionReport(r.fingerprint))
		}
	}
	if !fatal {
		u.running = going
		return
	}
	s.fatalCrashes++
	s.crash(i)
}

// crash crashes an upstream, which starts again after simRestartTime. The requests that it had are
// retried.
func (s *sim) crash(i int) {
	u := &s.upstreams[i]
	lost := u.running
	u.starts++
	u.backAt = time.Now().Add(simRestartTime)
	isolated := u.isolated
	u.running, u.isolated = nil, nil
	var fingerprints []quarantine.Fingerprint
	for _, r := range lost {
		fingerprints = append(fingerprints, r.fingerprint)
	}
	var isolatedFingerprint quarantine.Fingerprint
	if isolated != nil {
		isolatedFingerprint = isolated.fingerprint
	}
	report := quarantine.NewCrashReport(fmt.Sprintf("%d/%d", i, u.starts), fingerprints, isolatedFingerprint)
	time.AfterFunc(simReportDelay, func() { s.index.Add(report) })
	for _, r := range lost {
		if r.attempts < 3 && s.index.Assess(r.fingerprint).State < quarantine.Isolated {
			s.send(r)
		}
	}
}

// read sends a read: a unique one, or the one that many callers send.
func (s *sim) read() {
	s.reads++
	s.lastRead++
	p := fingerprintOf(s.lastRead)
	if s.random.Float64() < s.hot {
		p = fingerprintOf(0)
	}
	s.send(&simRequest{fingerprint: p})
}

// run runs the simulation, in which the fatal request arrives periodically.
func (s *sim) run() {
	fatal := quarantine.NewFingerprint("caller", "GET", "h.example", "/fatal").WithBody(nil)
	began := time.Now()
	for next := s.interval; time.Since(began) < simDuration; time.Sleep(simStep) {
		for range simRate * int(simStep/time.Millisecond) / 1000 {
			s.read()
		}
		if s.random.Float64() < 0.5 {
			s.read()
		}
		if time.Since(began) >= next {
			next += s.interval
			if s.crashAll {
				for i := range s.upstreams {
					s.crash(i)
				}
			}
			for range s.copies {
				s.send(&simRequest{fingerprint: fatal, fatal: true})
			}
		}
		for i := range s.upstreams {
			s.step(i)
		}
	}
}

// TestHarmlessRequests simulates a request that arrives again and again and crashes each upstream that
// begins to run it, among 300 reads per second that are lost with the upstreams and retried. In the
// last cases all upstreams crash at once for another reason. A frequent fatal request crashes all six
// upstreams before any report has arrived, and three more. No read may be blocked for it, even if one
// read in ten is the same. A read that was in flight at two crashes is refused while another copy of
// it runs in isolation, for the duration of one run. This may affect one read in a thousand, and more
// only if all upstreams crash at once and many reads are the same.
func TestHarmlessRequests(t *testing.T) {
	tests := map[string]struct {
		load         simLoad
		maxCrashes   int // maximum number of upstreams that it crashes
		refusedOneIn int // at most one read in so many is refused
	}{
		"one in 150 ms":                   {load: simLoad{interval: 150 * time.Millisecond, copies: 1}, maxCrashes: 6, refusedOneIn: 1000},
		"one in 50 ms":                    {load: simLoad{interval: 50 * time.Millisecond, copies: 1}, maxCrashes: 9, refusedOneIn: 1000},
		"three at once":                   {load: simLoad{interval: 700 * time.Millisecond, copies: 3}, maxCrashes: 7, refusedOneIn: 1000},
		"ten at once":                     {load: simLoad{interval: 700 * time.Millisecond, copies: 10}, maxCrashes: 9, refusedOneIn: 1000},
		"one in 150 ms, a hot read":       {load: simLoad{interval: 150 * time.Millisecond, copies: 1, hot: 0.1}, maxCrashes: 6, refusedOneIn: 1000},
		"one in 50 ms, a hot read":        {load: simLoad{interval: 50 * time.Millisecond, copies: 1, hot: 0.1}, maxCrashes: 9, refusedOneIn: 1000},
		"all crash at once":               {load: simLoad{interval: 4 * time.Second, crashAll: true}, refusedOneIn: 1000},
		"all crash at once, a hot read":   {load: simLoad{interval: 4 * time.Second, crashAll: true, hot: 0.1}, refusedOneIn: 300},
		"all crash at once, one hot read": {load: simLoad{interval: 4 * time.Second, crashAll: true, hot: 1}, refusedOneIn: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var reads, isolated, blocked, refused, crashes int
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					s := &sim{simLoad: test.load, random: rand.New(rand.NewPCG(seed, seed))}
					s.run()
					reads += s.reads
					isolated += s.isolated
					blocked += s.blocked
					refused += s.refused
					crashes = max(crashes, s.fatalCrashes)
				})
			}
			t.Logf("%d reads, %d isolated, %d refused for it, %d blocked; at most %d upstreams crashed", reads, isolated, refused, blocked, crashes)
			qt.Check(t, crashes <= test.maxCrashes, qt.IsTrue, qt.Commentf("%d", crashes))
			qt.Check(t, blocked, qt.Equals, 0)
			qt.Check(t, refused*test.refusedOneIn < reads, qt.IsTrue, qt.Commentf("%d of %d", refused, reads))
		})
	}
}
