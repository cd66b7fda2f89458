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

	"sassafrasfront.example/admit"
	"sassafrasfront.example/verdict"
)

// The load in the tests of cold upstreams: 13 slots of which ten are used, run times of 60 ms to
// 330 ms that double while the upstream is cold, and a capacity of 15 requests a second then, with
// 22 a second allowed. A warm upstream gets about 28 a second, and half as many again in a burst.
const (
	coldSlots    = 10
	coldRate     = 22
	coldDuration = 3 * time.Second
)

// coldLoad is a load on one upstream and its results.
type coldLoad struct {
	gate *admit.Gate
	run  time.Duration // of each, warm

	mu                 sync.Mutex
	cold               bool
	starts             []time.Time
	served, refused    int
	longestRefusal     time.Duration // time from arrival to refusal
	shortestRetryAfter time.Duration
}

// turnCold makes the upstream cold.
func (l *coldLoad) turnCold() {
	l.gate.ColdLimiter.SetRemaining(coldDuration)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold = true
}

// started records that a request starts, and returns how long it runs.
func (l *coldLoad) started() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, time.Now())
	if l.cold {
		return 2 * l.run
	}
	return l.run
}

// ended records the end of a request, or its refusal.
func (l *coldLoad) ended(arrived time.Time, err *verdict.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.served++
		return
	}
	l.refused++
	l.longestRefusal = max(l.longestRefusal, time.Since(arrived))
	l.shortestRetryAfter = min(l.shortestRetryAfter, err.RetryAfter)
}

// newColdLoad returns a load on an upstream that has been running for a while.
func newColdLoad(run time.Duration) *coldLoad {
	g := new(admit.Gate)
	g.SetLimits(admit.Limits{Slots: coldSlots, QueueLength: 16, QueueWait: 60 * time.Millisecond})
	g.ColdLimiter.SetLimit(coldRate)
	time.Sleep(2 * time.Second)
	return &coldLoad{gate: g, run: run, shortestRetryAfter: time.Hour}
}

// send sends a request whose deadline is the given time away.
func (l *coldLoad) send(remaining time.Duration) {
	arrived := time.Now()
	t := l.gate.Enter("", arrived.Add(remaining))
	err := t.Wait(context.Background())
	if err == nil {
		time.Sleep(l.started())
		t.Release(true)
	}
	l.ended(arrived, err)
}

// sendFor sends requests at a constant rate for the given time.
func (l *coldLoad) sendFor(perSecond int, d time.Duration) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(time.Second / time.Duration(perSecond)) {
		go l.send(800 * time.Millisecond)
	}
}

// whileCold returns the starts while the upstream was cold, beginning at the given time.
func (l *coldLoad) whileCold(from time.Time) (in []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.starts {
		if !at.Before(from) && at.Sub(from) < coldDuration {
			in = append(in, at)
		}
	}
	return in
}

// maxPerSecond returns the largest number of starts in any second of that time.
func (l *coldLoad) maxPerSecond(from time.Time) (most int) {
	in := l.whileCold(from)
	for i, first := range in {
		n := 0
		for _, at := range in[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestUpstreamBecomesCold makes an upstream cold under load, as after an evacuation or when it
// loses its caches. The requests of the last second count, and no second from then on has more
// than the limit. Excess requests are refused within the time that requests wait there, with a
// retry delay, and the upstream serves as many as it can.
func TestUpstreamBecomesCold(t *testing.T) {
	tests := map[string]struct {
		run       time.Duration
		perSecond int
	}{
		"short runs":            {run: 63 * time.Millisecond, perSecond: 28},
		"short runs in a burst": {run: 63 * time.Millisecond, perSecond: 60},
		"long runs":             {run: 250 * time.Millisecond, perSecond: 28},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newColdLoad(test.run)
				l.sendFor(test.perSecond, 2*time.Second)
				l.turnCold()
				becameCold := time.Now()
				l.sendFor(test.perSecond, coldDuration-time.Millisecond)
				time.Sleep(5 * time.Second)
				during := len(l.whileCold(becameCold))
				t.Logf("%d started while cold, %d refused, longest refusal %v, shortest retry delay %v", during, l.refused, l.longestRefusal, l.shortestRetryAfter)
				qt.Check(t, l.maxPerSecond(becameCold) <= coldRate, qt.IsTrue, qt.Commentf("%d", l.maxPerSecond(becameCold)))
				qt.Check(t, during >= 15*3, qt.IsTrue, qt.Commentf("%d: it can serve 15 a second", during))
				qt.Check(t, l.longestRefusal <= 60*time.Millisecond, qt.IsTrue)
				qt.Check(t, l.refused == 0 || l.shortestRetryAfter > 0, qt.IsTrue)
			})
		})
	}
}

// TestZoneRecoversCold makes the upstreams of a zone recover at the same time, each cold and with
// no earlier requests, while the full load of the service is offered to them: each of them is
// filled at the rate that it can serve, from its first second on.
func TestZoneRecoversCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var zone []*coldLoad
		for range 20 {
			zone = append(zone, newColdLoad(100*time.Millisecond))
		}
		for _, l := range zone {
			l.gate.ColdLimiter.Reset()
			l.turnCold()
		}
		recovered := time.Now()
		for i := range 2999 { // until they are warm
			go zone[i%len(zone)].send(800 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		for _, l := range zone {
			qt.Check(t, l.maxPerSecond(recovered) <= coldRate, qt.IsTrue, qt.Commentf("%d", l.maxPerSecond(recovered)))
			qt.Check(t, l.served >= 15*3, qt.IsTrue, qt.Commentf("%d", l.served))
		}
	})
}
