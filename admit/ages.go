// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

// ages sums up running requests, to tell their mean age at the usual speed: the age of
// each is divided by the slowdown that it began with, which holds for all of its run.
// With n requests that began at b with a slowdown of k it is, at the time t,
//
//	(t sum(1/k) - sum(b/k)) / n.
//
// An upstream that has begun to hang is so found by what runs there, before anything
// ends (TestHangingUpstreamThatTellsItsSpeed). The zero value holds none.
type ages struct {
	count   int
	inverse float64 // sum of 1/k
	began   float64 // sum of b/k, in seconds
}

// add takes in a request that began at the given time with the given slowdown.
func (a *ages) add(began time.Duration, slowdown float64) {
	a.count++
	a.inverse += 1 / slowdown
	a.began += began.Seconds() / slowdown
}

// remove takes out a request that was added so.
func (a *ages) remove(began time.Duration, slowdown float64) {
	a.count--
	a.inverse -= 1 / slowdown
	a.began -= began.Seconds() / slowdown
	if a.count == 0 {
		*a = ages{} // and no rounding is left
	}
}

// mean returns the mean age at the given time. There is at least one request.
func (a *ages) mean(now time.Duration) time.Duration {
	seconds := (now.Seconds()*a.inverse - a.began) / float64(a.count)
	return time.Duration(max(0, seconds) * float64(time.Second))
}
