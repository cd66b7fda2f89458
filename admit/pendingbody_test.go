// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/verdict"
)

// bodyTime is how long one body takes on the link of the upstream's instance: 60 KB at 10 Mbit/s.
const bodyTime = 48 * time.Millisecond

// uploads is an upstream with 14 slots on a slow link. It gets uploads, whose bodies cross the
// link one after the other, and short calls without a body.
type uploads struct {
	// perSecond is the rate of uploads, which run for 280 ms and have an objective of 1.2 s,
	// and calls that of calls, which run for 70 ms and have one of 250 ms.
	perSecond, calls float64
	// slotFirst is whether an upload gets its slot before its body is requested.
	slotFirst bool
	// linkUnknown is whether the gate knows nothing about the link.
	linkUnknown bool

	gate admit.Gate
	link chan struct{} // not full while no body crosses

	mu             sync.Mutex
	queued         int // bodies that cross the link or wait for it
	offered        map[string]int
	inTime         map[string]int
	refused        int
	longestRefusal time.Duration // longest time from arrival to refusal
	late           int           // uploads that were accepted and ended late
}

// cross simulates the transfer of a body over the link.
func (u *uploads) cross() {
	u.mu.Lock()
	u.queued++
	u.mu.Unlock()
	u.link <- struct{}{}
	time.Sleep(bodyTime)
	<-u.link
	u.mu.Lock()
	u.queued--
	u.mu.Unlock()
}

// expectedBodyTime returns how long a body takes that is sent now.
func (u *uploads) expectedBodyTime() time.Duration {
	if u.linkUnknown {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.queued+1) * bodyTime
}

// admit gets a slot for an upload once its body has arrived.
func (u *uploads) admit() (*admit.Ticket, *verdict.Error) {
	ctx := context.Background()
	if u.slotFirst {
		k := u.gate.Enter("upload", time.Time{})
		err := k.Wait(ctx)
		if err == nil {
			u.cross()
		}
		return k, err
	}
	k := u.gate.EnterPendingBody("", "upload", time.Time{}, u.expectedBodyTime())
	if err := k.Err(); err != nil {
		return k, err
	}
	u.cross()
	k.BodyArrived()
	return k, k.Wait(ctx)
}

// request handles one request.
func (u *uploads) request(class string, work, objective time.Duration) {
	arrived := time.Now()
	var k *admit.Ticket
	var err *verdict.Error
	if class == "upload" {
		k, err = u.admit()
	} else {
		k = u.gate.Enter(class, time.Time{})
		err = k.Wait(context.Background())
	}
	decided := time.Since(arrived)
	if err == nil {
		time.Sleep(work)
		k.Release(true)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.offered[class]++
	switch took := time.Since(arrived); {
	case err != nil && class == "upload":
		u.refused++
		u.longestRefusal = max(u.longestRefusal, decided)
	case err != nil:
	case took <= objective:
		u.inTime[class]++
	case class == "upload":
		u.late++
	}
}

// simulate sends the load for 30 s and returns the fraction of each class that ended within its
// objective.
func (u *uploads) simulate() map[string]float64 {
	u.link = make(chan struct{}, 1)
	u.offered = make(map[string]int)
	u.inTime = make(map[string]int)
	u.gate.SetLimits(admit.Limits{
		Slots:       14,
		QueueLength: 16,
	}.WithClasses(
		admit.Class{Name: "upload", Weight: 1, MaxShare: 1, Objective: ms(1200)},
		admit.Class{Name: "call", Weight: 1, MaxShare: 1, Objective: ms(250)},
	))
	var all sync.WaitGroup
	send := func(class string, perSecond float64, work, objective time.Duration) {
		random := rand.New(rand.NewPCG(3, uint64(work)))
		all.Go(func() {
			for began := time.Now(); time.Since(began) < 30*time.Second; {
				time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				varied := time.Duration((2 + 2*random.Float64()) / 3 * float64(work))
				all.Go(func() { u.request(class, varied, objective) })
			}
		})
	}
	send("upload", u.perSecond, ms(280), ms(1200))
	send("call", u.calls, ms(70), ms(250))
	all.Wait()
	share := make(map[string]float64)
	for class, n := range u.offered {
		share[class] = float64(u.inTime[class]) / float64(n)
	}
	return share
}

// TestNoSlotHeldWhileBodyArrives guards against slots held by requests whose bodies are still
// arriving. Uploads take nine tenths of a slow link, and uploads and calls together nine tenths of
// the slots. A body then waits for the link for longer than it takes to cross it; if its request
// holds a slot meanwhile, the slots are full of waiting requests.
func TestNoSlotHeldWhileBodyArrives(t *testing.T) {
	simulate := func(slotFirst bool) (share map[string]float64) {
		synctest.Test(t, func(*testing.T) {
			u := &uploads{perSecond: 18.5, calls: 105, slotFirst: slotFirst}
			share = u.simulate()
		})
		return share
	}
	slot, body := simulate(true), simulate(false)
	t.Logf("in time: %v with the slot first, %v with the body first", slot, body)
	qt.Check(t, body["call"] > 0.9, qt.IsTrue)
	qt.Check(t, body["upload"] > 0.9, qt.IsTrue)
	qt.Check(t, slot["call"] < body["call"]-0.1, qt.IsTrue)
}

// TestUploadOverloadOnSlowLink sends uploads at one and a half times the capacity of the link. Those
// whose bodies would arrive too late are refused at once, and the others end in time. If the gate
// knows nothing about the link, nearly all are accepted and late.
func TestUploadOverloadOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &uploads{perSecond: 31, calls: 20}
		share := u.simulate()
		unknown := &uploads{perSecond: 31, calls: 20, linkUnknown: true}
		unknownShare := unknown.simulate()
		t.Logf("in time: %v, and %v with nothing known of the link", share, unknownShare)
		qt.Check(t, share["upload"] > 0.6, qt.IsTrue) // the link can carry 0.67
		qt.Check(t, share["call"] > 0.95, qt.IsTrue)
		qt.Check(t, u.longestRefusal < ms(50), qt.IsTrue, qt.Commentf("refused after %v", u.longestRefusal))
		qt.Check(t, u.late < u.offered["upload"]/50, qt.IsTrue, qt.Commentf("%d late", u.late))
		qt.Check(t, unknownShare["upload"] < 0.3, qt.IsTrue)
	})
}

// TestPendingBody has one row for each event that may happen before the body of a request arrives.
func TestPendingBody(t *testing.T) {
	tests := map[string]struct {
		meanwhile func(g *admit.Gate, k *admit.Ticket)
		want      verdict.Cause
	}{
		"nothing":   {meanwhile: func(*admit.Gate, *admit.Ticket) {}},
		"revoked":   {meanwhile: func(_ *admit.Gate, k *admit.Ticket) { k.Revoke() }, want: verdict.Revoked},
		"drained":   {meanwhile: func(g *admit.Gate, _ *admit.Ticket) { g.Drain() }, want: verdict.Draining},
		"no limits": {meanwhile: func(g *admit.Gate, _ *admit.Ticket) { g.SetLimits(admit.Limits{}) }, want: verdict.NoUpstream},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var g admit.Gate
			g.SetLimits(admit.Limits{Slots: 1, QueueLength: 1})
			k := g.EnterPendingBody("", "", time.Time{}, 0)
			qt.Check(t, g.Report().Waiting, qt.Equals, 1)
			qt.Check(t, g.Report().Running, qt.Equals, 0)
			test.meanwhile(&g, k)
			k.BodyArrived()
			err := k.Wait(context.Background())
			qt.Check(t, g.Report().Waiting, qt.Equals, 0)
			if test.want != "" {
				qt.Assert(t, err != nil, qt.IsTrue)
				qt.Check(t, err.Cause, qt.Equals, test.want)
				return
			}
			qt.Assert(t, err == nil, qt.IsTrue)
			k.Release(true)
		})
	}
}

// TestPendingBodyOfRemovedClass removes the class of a request while its body arrives. The request
// then takes a free slot, as a waiting one would.
func TestPendingBodyOfRemovedClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g admit.Gate
		limits := admit.Limits{Slots: 2, QueueLength: 4, QueueWait: time.Second}
		g.SetLimits(limits.WithClasses(admit.Class{Name: "goes", Weight: 1, MaxShare: 1}, admit.Class{Name: "stays", Weight: 1, MaxShare: 1}))
		pending := g.EnterPendingBody("", "goes", time.Time{}, 0)
		g.SetLimits(limits.WithClasses(admit.Class{Name: "stays", Weight: 1, MaxShare: 1}))
		pending.BodyArrived()
		qt.Assert(t, pending.Wait(t.Context()) == nil, qt.IsTrue)
		qt.Check(t, pending.Waited(), qt.Equals, time.Duration(0))
		pending.Release(true)
	})
}
