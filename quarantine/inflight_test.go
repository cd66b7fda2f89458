// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/quarantine"
)

// print returns the fingerprint of a request with the given number.
func fingerprintOf(i int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("caller", "GET", "h.example", fmt.Sprint("/", i)).WithBody(nil)
}

// TestRunning tells which requests an upstream may have ended under.
func TestInFlight(t *testing.T) {
	tests := map[string]struct {
		simulate func(r *quarantine.InFlight, begin func(i int) *quarantine.Run)
		want     []int
	}{
		"in flight, the last begun first": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) { begin(1); begin(2) },
			want:     []int{2, 1},
		},
		"one that was answered is none": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) { begin(1).End(); begin(2) },
			want:     []int{2},
		},
		"one whose connection was lost a moment ago": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) {
				u := begin(1)
				u.Abandon()
				u.End()
				begin(2).End()
			},
			want: []int{1},
		},
		"one that was given up long before the last sign of life is none": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) {
				begin(1).Abandon()
				time.Sleep(3 * time.Second)
				begin(2).End()
			},
		},
		"one that was lost long ago, and no sign of life since": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) {
				begin(1).Abandon()
				time.Sleep(time.Minute)
			},
			want: []int{1},
		},
		"the same twice": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) { begin(1); begin(1) },
			want:     []int{1},
		},
		"each end has its own": {
			simulate: func(r *quarantine.InFlight, begin func(i int) *quarantine.Run) {
				u := begin(1)
				r.Take()
				u.Abandon()
				begin(2)
			},
			want: []int{2},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r quarantine.InFlight
				test.simulate(&r, func(i int) *quarantine.Run {
					time.Sleep(time.Millisecond)
					return r.Begin(func() quarantine.Fingerprint { return fingerprintOf(i) }, false)
				})
				var want []quarantine.Fingerprint
				for _, i := range test.want {
					want = append(want, fingerprintOf(i))
				}
				got, _ := r.Take()
				qt.Check(t, got, qt.DeepEquals, want)
				got, _ = r.Take()
				qt.Check(t, got, qt.HasLen, 0)
			})
		})
	}
}

func TestInFlightIsBounded(t *testing.T) {
	var r quarantine.InFlight
	for i := range 1000 {
		u := r.Begin(func() quarantine.Fingerprint { return fingerprintOf(i) }, false)
		if i%2 == 0 {
			u.Abandon()
		}
	}
	got, _ := r.Take()
	qt.Check(t, got, qt.HasLen, quarantine.MaxSuspects)
}

// TestAlone tells which request was isolated when an upstream ended.
func TestIsolatedInFlight(t *testing.T) {
	tests := map[string]struct {
		isolated  []int // of three requests
		abandoned int   // how many of those before they ended
		want      int
	}{
		"none":                        {},
		"one":                         {isolated: []int{2}, want: 2},
		"one that was given up":       {isolated: []int{2}, abandoned: 1, want: 2},
		"one given up, and another":   {isolated: []int{1, 2}, abandoned: 1},
		"the same, given up and anew": {isolated: []int{2, 2}, abandoned: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r quarantine.InFlight
			r.Begin(func() quarantine.Fingerprint { return fingerprintOf(0) }, false)
			for i, n := range test.isolated {
				u := r.Begin(func() quarantine.Fingerprint { return fingerprintOf(n) }, true)
				if i < test.abandoned {
					u.Abandon()
				}
			}
			_, isolated := r.Take()
			var want quarantine.Fingerprint
			if test.want > 0 {
				want = fingerprintOf(test.want)
			}
			qt.Check(t, isolated, qt.Equals, want)
		})
	}
}
