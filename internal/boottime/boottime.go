// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a moment that is the same as long as the process runs.
type Clock func() time.Duration

// New returns the kernel's CLOCK_BOOTTIME. If there is none, it returns the runtime's
// clock and the reason.
func New() (Clock, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Monotonic(), err
	}
	return readBootTime, nil
}

// now reads CLOCK_BOOTTIME, which does not fail once it has been read.
func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Steady returns the runtime's clock, which tests pause and advance.
func Monotonic() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
