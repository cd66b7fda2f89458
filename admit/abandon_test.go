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
)

// TestAbandonedRequests has clients abandon some of their requests, so that new ones arrive while
// the upstream may still run the abandoned ones.
//
// It guards against overfilling an upstream that completes abandoned requests for longer than it
// takes to detect this, and against losing slots of one that drops them.
func TestAbandonedRequests(t *testing.T) {
	const (
		slots  = 8
		work   = 20 * time.Millisecond
		rounds = 500
	)
	tests := map[string]struct {
		completes   bool
		abandoned   int // in each round
		wantRefused int // by the upstream, at most
		wantWaited  int // at the gate, at most
	}{
		"dropped":                   {abandoned: 4},
		"completed":                 {completes: true, abandoned: 4, wantRefused: 2 * slots, wantWaited: rounds * slots},
		"completed, none abandoned": {completes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g admit.Gate
				g.SetLimits(admit.Limits{
					Slots:       slots,
					QueueLength: slots,
					QueueWait:   time.Second,
				})
				warm(&g, 10, work)
				var mu sync.Mutex
				running, refused, waited := 0, 0, 0
				end := func() {
					mu.Lock()
					defer mu.Unlock()
					running--
				}
				send := func(abandon bool) {
					began := time.Now()
					k := g.Enter("", time.Time{})
					if failure := k.Wait(context.Background()); failure != nil {
						t.Errorf("refused by the gate: %v", failure)
						return
					}
					mu.Lock()
					if time.Since(began) > 0 {
						waited++
					}
					if running == slots {
						refused++
						mu.Unlock()
						k.UpstreamRefused()
						k.Release(false)
						return
					}
					running++
					mu.Unlock()
					if !abandon {
						time.Sleep(work)
						end()
						k.Release(true)
						return
					}
					time.Sleep(work / 4)
					if test.completes {
						time.AfterFunc(work-work/4, end)
					} else {
						end()
					}
					k.Abandon()
				}
				random := rand.New(rand.NewPCG(1, 1))
				var all sync.WaitGroup
				for range rounds {
					for range test.abandoned {
						all.Go(func() { send(true) })
					}
					time.Sleep(work/4 + time.Millisecond)
					for range slots - 1 {
						all.Go(func() { send(false) })
					}
					time.Sleep(2*work + time.Duration(random.IntN(10))*time.Millisecond)
				}
				all.Wait()
				qt.Check(t, refused <= test.wantRefused, qt.IsTrue, qt.Commentf("%d refused", refused))
				qt.Check(t, waited <= test.wantWaited, qt.IsTrue, qt.Commentf("%d waited for a slot", waited))
			})
		})
	}
}
