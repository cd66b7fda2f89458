// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPublishLimiter has members change all the time, as while many nodes start. A snapshot takes
// longer with more members of a service. The time spent on snapshots must stay bounded, and
// none may be delayed for long.
func TestPublishLimiter(t *testing.T) {
	const tick = 50 * time.Millisecond
	tests := map[string]struct {
		cost  time.Duration // of one snapshot
		most  float64       // fraction of the time
		least int           // snapshots in ten seconds
	}{
		"12 members":                      {cost: 30 * time.Microsecond, most: 0.001, least: 200},
		"1000 members":                    {cost: 2 * time.Millisecond, most: 0.05, least: 190},
		"1000 members, a sixth of a core": {cost: 12 * time.Millisecond, most: 0.05, least: 35},
		"6000 members, a sixth of a core": {cost: 72 * time.Millisecond, most: 0.08, least: 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p publishLimiter
			var spent time.Duration
			snapshots := 0
			start := time.Unix(1e9, 0)
			for now := start; now.Sub(start) < 10*time.Second; now = now.Add(tick) {
				if !p.allow(now) {
					continue
				}
				p.record(now, now.Add(test.cost))
				spent += test.cost
				snapshots++
			}
			qt.Check(t, spent.Seconds()/10 <= test.most, qt.IsTrue, qt.Commentf("%v", spent))
			qt.Check(t, snapshots >= test.least, qt.IsTrue, qt.Commentf("%d", snapshots))
		})
	}
}
