// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "time"

const (
	// speedSample is how many bytes make one measurement of a link's speed.
	speedSample = 64 << 10
	// speedGain is the weight of one measurement.
	speedGain = 0.2
)

// speed measures how many bytes a second a link carries, over the times in which it has
// enough to carry. It begins with what it is said to carry.
type speed struct {
	rate   float64   // bytes per second, 0 if it is not known
	since  time.Time // the beginning of the present measurement, or zero
	sample int       // bytes that have arrived since
}

// arrived takes in that n bytes have come at the given time, and whether as many as may be
// were under way until then.
func (s *speed) arrived(n int, busy bool, now time.Time) {
	if !busy {
		s.since = time.Time{}
		return
	}
	if s.since.IsZero() {
		s.since = now
		s.sample = 0
		return
	}
	s.sample += n
	took := now.Sub(s.since)
	if s.sample < speedSample || took <= 0 {
		return
	}
	measured := float64(s.sample) / took.Seconds()
	if s.rate == 0 {
		s.rate = measured
	}
	s.rate += speedGain * (measured - s.rate)
	s.since = now
	s.sample = 0
}
