// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package boottime_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/boottime"
)

// TestNew reads the kernel's clock, which must not go backwards.
func TestNew(t *testing.T) {
	clock, err := boottime.New()
	qt.Assert(t, err, qt.IsNil)
	before := clock()
	qt.Check(t, before > 0, qt.IsTrue)
	qt.Check(t, clock() >= before, qt.IsTrue)
}

// TestMonotonic reads the runtime's clock.
func TestMonotonic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := boottime.Monotonic()
		time.Sleep(time.Hour)
		qt.Check(t, clock(), qt.Equals, time.Hour)
	})
}
