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

// TestAbandonedLoads has callers that send their requests to two upstreams and abandon the
// slower sending, all at the same moments, so that new requests come while the upstream may
// still run the abandoned ones.
//
// An upstream that finishes abandoned requests must not be overfilled by them for longer
// than it takes to learn so, and one that drops them must not lose any of its slots.
func TestAbandonedRequests(t *testing.T) {
	const (
		slots  = 8
		work   = 20 * time.Millisecond
		rounds = 500
	)
	tests := map[string]struct {
		completes   bool
		abandoned   int // in each turn
		wantRefused int // by the upstream, at most
		wantWaited  int // at the gate, at most
	}{
		"dropped":                {abandoned: 4},
		"finished":               {completes: true, abandoned: 4, wantRefused: 2 * slots, wantWaited: rounds * slots},
		"finished, none is left": {completes: true},
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
