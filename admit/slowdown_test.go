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

// TestServiceTimeExcludesSlowdown checks that requests that start while the upstream is slow do not
// change the reported service time, because routing multiplies it by the current slowdown.
func TestServiceTimeExcludesSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g admit.Gate
		g.SetLimits(admit.Limits{Slots: 4})
		run := func(took time.Duration) {
			ticket := g.Enter("", time.Time{})
			qt.Assert(t, ticket.Err() == nil, qt.IsTrue)
			time.Sleep(took)
			ticket.Release(true)
		}
		g.ObserveSlowdown(1)
		run(50 * time.Millisecond)
		for range 20 {
			g.ObserveSlowdown(4)
			run(200 * time.Millisecond)
		}
		qt.Check(t, g.Report().ServiceTime, qt.Equals, 50*time.Millisecond)
		qt.Check(t, g.Report().Slowdown, qt.Equals, 4.0)
	})
}
