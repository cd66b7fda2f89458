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

func TestDecayingRatio(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		hits, misses    int
		wait            time.Duration
		atLeast, atMost float64
	}{
		"nothing yet":                  {},
		"one hit":                      {hits: 1, atLeast: 0.33, atMost: 0.34},
		"half of many":                 {hits: 50, misses: 50, atLeast: 0.48, atMost: 0.5},
		"all of many":                  {hits: 100, atLeast: 0.98, atMost: 1},
		"all of many, decayed":         {hits: 100, wait: 10 * time.Second, atMost: 0.01},
		"half of some, partly decayed": {hits: 5, misses: 5, wait: time.Second, atLeast: 0.3, atMost: 0.35},
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
			qt.Check(t, got >= test.atLeast && got <= test.atMost, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}
