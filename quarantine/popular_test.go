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

// crowd is a load of harmless requests of a few kinds, which keep most of the slots of
// some upstreams busy while these end now and then, each under a request that nobody sent
// before. News of an end or of a run is with all nodes after simNews.
type crowd struct {
	upstreams, kinds int

	index   quarantine.Index
	random  *rand.Rand
	gates   []*crowdGate
	number  int
	sent    int
	blocked int
	alone   int // sent while isolated
}

// crowdGate is what the gate of one upstream knows.
type crowdGate struct {
	answers quarantine.AnswerCounter
	running map[*simRequest]bool
	alone   *simRequest
	back    time.Time
	starts  int
}

const (
	crowdSlots = 4
	crowdRun   = 20 * time.Millisecond
	crowdBack  = 200 * time.Millisecond
	crowdEnds  = 500 * time.Millisecond // between two ends
	crowdLasts = 12 * time.Second
)

// send sends a request of some kind.
func (c *crowd) send(p quarantine.Fingerprint) {
	c.sent++
	standing := c.index.Assess(p).State
	if standing == quarantine.Blocked {
		c.blocked++
		return
	}
	g := c.gates[c.random.IntN(len(c.gates))]
	if standing == quarantine.Isolated {
		c.alone++
		g = c.gates[int(p.Head%uint64(len(c.gates)))]
		if g.alone != nil {
			return
		}
	}
	if time.Now().Before(g.back) || len(g.running) >= crowdSlots {
		return
	}
	r := &simRequest{print: p, ends: time.Now().Add(crowdRun/2 + time.Duration(c.random.Int64N(int64(crowdRun))))}
	if standing == quarantine.Isolated {
		g.alone = r
	}
	g.running[r] = true
}

// step answers what has run.
func (c *crowd) step(g *crowdGate) {
	for r := range g.running {
		if time.Now().Before(r.ends) {
			continue
		}
		delete(g.running, r)
		if g.alone == r {
			g.alone = nil
		}
		g.answers.Add(r.print)
		if c.index.Assess(r.print).Crashes > 0 {
			ran := quarantine.NewCompletionReport(r.print)
			time.AfterFunc(simNews, func() { c.index.Add(ran) })
		}
	}
}

// end ends an upstream under a request that is new.
func (c *crowd) end(i int) {
	g := c.gates[i]
	c.number++
	prints := []quarantine.Fingerprint{quarantine.NewFingerprint("caller", "PUT", "h.example", "/bug").WithBody([]byte(fmt.Sprint(c.number)))}
	for r := range g.running {
		prints = append(prints, r.print)
	}
	var alone quarantine.Fingerprint
	if g.alone != nil {
		alone = g.alone.print
	}
	suspects, alone := g.answers.Suspects(prints, alone)
	clear(g.running)
	g.alone = nil
	g.starts++
	g.back = time.Now().Add(crowdBack)
	report := quarantine.NewCrashReport(fmt.Sprint(i, "/", g.starts), suspects, alone)
	time.AfterFunc(simNews, func() { c.index.Add(report) })
}

// play plays the load once.
func (c *crowd) play() {
	for range c.upstreams {
		c.gates = append(c.gates, &crowdGate{running: make(map[*simRequest]bool)})
	}
	began := time.Now()
	next := time.Second
	for time.Since(began) < crowdLasts {
		for range c.upstreams { // three slots in four are busy
			if c.random.Float64() < 0.15*float64(crowdSlots)/4 {
				c.send(printOf(c.random.IntN(c.kinds)))
			}
		}
		for _, g := range c.gates {
			c.step(g)
		}
		if time.Since(began) >= next {
			next += crowdEnds
			c.end(c.random.IntN(c.upstreams))
		}
		time.Sleep(time.Millisecond)
	}
}

// TestPopularKinds has kinds of requests that upstreams answer all the time at hand when
// these end, twice a second: none of the kinds is ever blocked, and few requests are sent
// alone, at the beginning, before a gate has answered a kind often enough to know it.
func TestPopularKinds(t *testing.T) {
	tests := map[string]struct{ kinds, upstreams, alone int }{
		"one kind, two upstreams":    {kinds: 1, upstreams: 2, alone: 1000},
		"one kind, sixty":            {kinds: 1, upstreams: 60, alone: 1000},
		"four kinds, two":            {kinds: 4, upstreams: 2, alone: 1000},
		"four kinds, six":            {kinds: 4, upstreams: 6, alone: 1000},
		"four kinds, twelve":         {kinds: 4, upstreams: 12, alone: 1000},
		"two hundred kinds, two":     {kinds: 200, upstreams: 2, alone: 100},
		"two hundred kinds, twelve":  {kinds: 200, upstreams: 12, alone: 1000},
		"two hundred kinds, sixty":   {kinds: 200, upstreams: 60, alone: 1000},
		"ten thousand kinds, twelve": {kinds: 10000, upstreams: 12, alone: 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var sent, blocked, alone int
			for seed := range uint64(8) {
				synctest.Test(t, func(t *testing.T) {
					c := &crowd{upstreams: test.upstreams, kinds: test.kinds, random: rand.New(rand.NewPCG(seed, seed))}
					c.play()
					sent += c.sent
					blocked += c.blocked
					alone += c.alone
				})
			}
			t.Logf("%d sent, %d of them alone, %d blocked", sent, alone, blocked)
			qt.Check(t, blocked, qt.Equals, 0)
			qt.Check(t, alone*test.alone <= sent, qt.IsTrue, qt.Commentf("%d of %d", alone, sent))
		})
	}
}

// TestAnswers tells which requests at hand an end is put down to.
func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		play func(a *quarantine.AnswerCounter)
		want bool
		may  bool // whether it is blocked if it was isolated
	}{
		"never answered":              {play: func(*quarantine.AnswerCounter) {}, want: true, may: true},
		"answered once":               {play: func(a *quarantine.AnswerCounter) { answer(a, 1) }, want: true},
		"answered often":              {play: func(a *quarantine.AnswerCounter) { answer(a, 100) }},
		"answered long ago":           {play: func(a *quarantine.AnswerCounter) { answer(a, 100); time.Sleep(20 * time.Second) }, want: true, may: true},
		"answered in the span before": {play: func(a *quarantine.AnswerCounter) { answer(a, 100); time.Sleep(15 * time.Second); answer(a, 1) }},
		"ends one run in ten": {
			play: func(a *quarantine.AnswerCounter) {
				for range 5 {
					answer(a, 10)
					a.Suspects([]quarantine.Fingerprint{printOf(1)}, quarantine.Fingerprint{})
				}
			},
			want: true,
		},
		"at hand at one end for a hundred runs": {
			play: func(a *quarantine.AnswerCounter) {
				for range 5 {
					answer(a, 100)
					a.Suspects([]quarantine.Fingerprint{printOf(1)}, quarantine.Fingerprint{})
				}
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var a quarantine.AnswerCounter
				test.play(&a)
				suspects, blamed := a.Suspects([]quarantine.Fingerprint{printOf(1)}, printOf(1))
				qt.Check(t, len(suspects) == 1, qt.Equals, test.want)
				qt.Check(t, blamed == printOf(1), qt.Equals, test.may)
			})
		})
	}
}

// answer counts a number of answered runs of request 1.
func answer(a *quarantine.AnswerCounter, runs int) {
	for range runs {
		a.Add(printOf(1))
	}
}

// BenchmarkAnswers counts answered runs, one in two of them of a kind that comes often.
func BenchmarkAnswers(b *testing.B) {
	var a quarantine.AnswerCounter
	i := 0
	for b.Loop() {
		i++
		a.Add(quarantine.Fingerprint{Head: uint64(i%2) * uint64(i), Body: 1})
	}
}
