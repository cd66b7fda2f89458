// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
)

// ms returns a number of milliseconds as a duration.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestHoldWhileSlow has one row for each relation between the run time of a request, the present
// slowdown, and the usual length of slow periods. It checks whether a request that arrives when the
// period has the given age waits for its end.
func TestHoldWhileSlow(t *testing.T) {
	tests := map[string]struct {
		work        time.Duration
		slowdown    float64
		slowPeriods []int // lengths of earlier slow periods, in ms
		age         time.Duration
		held        bool
		cold        bool // whether it has been this slow since it was first observed
	}{
		"long work, short periods":             {ms(220), 5, []int{150, 150, 300, 150}, 0, true, false},
		"work shorter than the periods":        {ms(90), 4, []int{300, 300, 600, 300}, 0, false, false},
		"the same, near the end of the period": {ms(90), 4, []int{300, 300, 600, 300}, ms(250), true, false},
		"very short work":                      {ms(36), 4, []int{300, 300, 600, 300}, 0, false, false},
		"nothing known, just slowed":           {ms(90), 4, nil, 0, true, false},
		"nothing known, slow for long":         {ms(90), 4, nil, ms(400), false, false},
		"longer than any known":                {ms(220), 5, []int{150, 150}, ms(2000), false, false},
		"slow since its start":                 {ms(220), 2, nil, 0, false, true},
		"not slow enough":                      {ms(220), 1.5, nil, 0, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g admit.Gate
				g.SetLimits(admit.Limits{
					Slots:         4,
					QueueLength:   4,
					QueueWait:     time.Hour,
					HoldWhileSlow: true,
				})
				warm(&g, 10, test.work)
				if !test.cold {
					g.ObserveSlowdown(1)
				}
				for _, length := range test.slowPeriods {
					g.ObserveSlowdown(test.slowdown)
					time.Sleep(ms(length))
					g.ObserveSlowdown(1)
					time.Sleep(ms(500))
				}
				g.ObserveSlowdown(test.slowdown)
				time.Sleep(test.age)
				k := g.Enter("", time.Time{})
				qt.Check(t, isReady(k), qt.Equals, !test.held)
				qt.Check(t, k.Err() == nil, qt.IsTrue)
				g.ObserveSlowdown(1)
				qt.Check(t, isReady(k), qt.IsTrue, qt.Commentf("it starts once the upstream is fast again"))
			})
		})
	}
}

// TestHeldRequestRefusedIfTooLate has an upstream whose slow periods are longer than the time that
// the objective leaves beside the run.
func TestHeldRequestRefusedIfTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g admit.Gate
		g.SetLimits(admit.Limits{
			Slots:         4,
			QueueLength:   4,
			HoldWhileSlow: true,
		}.WithClasses(admit.Class{Name: "tight", Weight: 1, MaxShare: 1, Objective: ms(400)}))
		warm(&g, 10, ms(220))
		for range 3 {
			g.ObserveSlowdown(5)
			time.Sleep(ms(600))
			g.ObserveSlowdown(1)
			time.Sleep(ms(500))
		}
		g.ObserveSlowdown(5)
		k := g.Enter("tight", time.Time{})
		qt.Assert(t, k.Err() != nil, qt.IsTrue)
		qt.Check(t, k.Err().RetryAfter, qt.Equals, ms(600))
	})
}
