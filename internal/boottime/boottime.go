// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a moment that is fixed for the lifetime of the process.
type Clock func() time.Duration

// New returns the kernel's CLOCK_BOOTTIME. If it is not available, New returns the runtime's
// monotonic clock and the error.
func New() (Clock, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Monotonic(), err
	}
	return readBootTime, nil
}

// readBootTime reads CLOCK_BOOTTIME, which does not fail once it has been read.
func readBootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Monotonic returns the runtime's monotonic clock, which tests can stop and advance.
func Monotonic() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
