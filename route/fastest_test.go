// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/route"
)

// TestFastest has one row for each reason to prefer an upstream.
func TestFastest(t *testing.T) {
	load := func(running int, slowdown float64) route.Load {
		return route.Load{Running: running, Slots: 8, ServiceTime: 60 * time.Millisecond, Slowdown: slowdown}
	}
	failing := func(l route.Load, share float64) route.Load {
		l.FailureRatio = share
		return l
	}
	tests := map[string]struct {
		a, b route.Load
		want string
	}{
		"the fast one":                      {load(5, 1), load(0, 4), "a"},
		"the less loaded one":               {load(1, 1), load(4, 1), "a"},
		"the slow one, when the fast waits": {load(18, 1), load(0, 4), "b"},
		"the one that fails nothing":        {failing(load(5, 1), 0), failing(load(0, 1), 0.5), "a"},
		"a slow one before one that fails":  {load(0, 2), failing(load(0, 1), 0.5), "a"},
		"the fast one, when it waits a bit": {load(9, 1), load(0, 4), "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &route.Pool[string]{Policy: route.Fastest{}}
			p.SetTargets(map[string]route.Target{"a": {Slots: 8}, "b": {Slots: 8}})
			p.Observe("a", test.a)
			p.Observe("b", test.b)
			assignment, ok := p.Pick(nil)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, assignment.Key(), qt.Equals, test.want)
		})
	}
}
