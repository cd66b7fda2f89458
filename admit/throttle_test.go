// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/admit"
)

// TestThrottle plays ten seconds of requests, one each 20 ms, that fail and whose
// calls are refused in the given shares, and has them end well in two seconds
// more.
func TestThrottle(t *testing.T) {
	tests := map[string]struct {
		failed, refused float64
		least, most     int // of the last 100 requests of the ten seconds
	}{
		"all well":                   {0, 0, 100, 100},
		"calls refused":              {0.5, 0.5, 28, 33},
		"calls refused now and then": {0.05, 0.05, 100, 100},
		"failing for another reason": {0.5, 0, 100, 100},
		"calls of others refused":    {0, 0.5, 100, 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h admit.Throttle
			now := time.Now()
			play := func(n int, failed, refused float64) (let int) {
				for i := range n {
					now = now.Add(20 * time.Millisecond)
					if h.Admit(refused, now) {
						let++
						h.Ran(float64(i%100) < 100*failed, now)
					}
				}
				return let
			}
			play(400, test.failed, test.refused)
			let := play(100, test.failed, test.refused)
			qt.Check(t, let >= test.least && let <= test.most, qt.IsTrue, qt.Commentf("%d", let))
			play(200, 0, 0)
			qt.Check(t, play(100, 0, 0), qt.Equals, 100)
		})
	}
}

func TestShareFades(t *testing.T) {
	var s admit.Share
	now := time.Now()
	share, events := s.Value(now)
	qt.Check(t, share, qt.Equals, 0.0)
	qt.Check(t, events, qt.Equals, 0.0)
	s.Add(true, now)
	s.Add(false, now)
	share, events = s.Value(now.Add(time.Second))
	qt.Check(t, share, qt.Equals, 0.5)
	qt.Check(t, events > 0.73 && events < 0.74, qt.IsTrue, qt.Commentf("%v", events))
}
