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

func TestShare(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		hits, misses int
		wait         time.Duration
		least, most  float64
	}{
		"nothing yet":          {},
		"one hit is no rule":   {hits: 1, least: 0.33, most: 0.34},
		"half of many":         {hits: 50, misses: 50, least: 0.48, most: 0.5},
		"all of many":          {hits: 100, least: 0.98, most: 1},
		"all of many, forgot":  {hits: 100, wait: 10 * time.Second, most: 0.01},
		"half of many, a past": {hits: 5, misses: 5, wait: time.Second, least: 0.3, most: 0.35},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s admit.DecayingRatio
			for range test.hits {
				s.Add(true, now)
			}
			for range test.misses {
				s.Add(false, now)
			}
			got := s.Value(now.Add(test.wait))
			qt.Check(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}
