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

// fingerprintOf returns the fingerprint of the request with the given number.
func fingerprintOf(i int) quarantine.Fingerprint {
	return quarantine.NewFingerprint("caller", "GET", "h.example", fmt.Sprint("/", i)).WithBody(nil)
}

// TestInFlight checks which requests are suspected when an upstream crashes.
func TestInFlight(t *testing.T) {
	tests := map[string]struct {
		simulate func(r *quarantine.InFlight, begin func(i int) *quarantine.Run)
		want     []int
	}{
		"in flight, the last begun first": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) { begin(1); begin(2) },
			want:     []int{2, 1},
		},
		"answered": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) { begin(1).End(); begin(2) },
			want:     []int{2},
		},
		"connection lost a moment ago": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) {
				u := begin(1)
				u.Abandon()
				u.End()
				begin(2).End()
			},
			want: []int{1},
		},
		"abandoned long before the last response": {
			simulate: func(_ *quarantine.InFlight, begin func(i int) *quarantine.Run) {
				begin(1).Abandon()
				time.Sleep(3 * time.Second)
				begin(2).End()
			},
		},
		"abandoned long ago, no response since": {
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
		"each crash has its own requests": {
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

// TestIsolatedInFlight checks which request is reported as isolated when an upstream crashes.
func TestIsolatedInFlight(t *testing.T) {
	tests := map[string]struct {
		isolated  []int // of three requests
		abandoned int   // how many of those are abandoned
		want      int
	}{
		"none":                            {},
		"one":                             {isolated: []int{2}, want: 2},
		"one, abandoned":                  {isolated: []int{2}, abandoned: 1, want: 2},
		"one, abandoned, and another":     {isolated: []int{1, 2}, abandoned: 1},
		"the same, abandoned and retried": {isolated: []int{2, 2}, abandoned: 1},
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
