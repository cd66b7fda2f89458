// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLoadProbesByCallRate checks the number of health checks a second that an upstream gets for a
// rate of calls: some for each call, within bounds, so that an upstream in a large fleet that has
// one call a second is not probed more than one with ten.
func TestLoadProbesByCallRate(t *testing.T) {
	tests := map[string]struct {
		before, perSecond float64 // calls a second, for fifteen seconds each
		least, most       float64 // health checks a second
	}{
		"none":               {least: 9, most: 10},
		"one a second":       {perSecond: 1, least: 9, most: 10},
		"four a second":      {perSecond: 4, least: 14, most: 18},
		"many":               {perSecond: 30, least: 24, most: 25},
		"many, and then few": {before: 30, perSecond: 1, least: 9, most: 13},
		"few, and then many": {before: 1, perSecond: 50, least: 22, most: 25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const settling, span = 5 * time.Second, 15 * time.Second
			now := time.Unix(1e9, 0)
			var rate callRate
			var calls float64
			probes := 0
			for _, perSecond := range []float64{test.before, test.perSecond} {
				probes = 0
				for began := now; now.Sub(began) < span; {
					age := rate.allowedLoadAge(uint64(calls), now)
					now = now.Add(age)
					calls += perSecond * age.Seconds()
					if now.Sub(began) > settling {
						probes++
					}
				}
			}
			got := float64(probes-1) / (span - settling).Seconds() // intervals between health checks
			qt.Check(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%.1f a second", got))
		})
	}
}
