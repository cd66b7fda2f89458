// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "time"

const (
	// speedSample is how many bytes make one measurement of a link's speed.
	sampleBytes = 64 << 10
	// speedGain is the weight of one measurement.
	bandwidthGain = 0.2
)

// speed measures how many bytes a second a link carries, over the times in which it has
// enough to carry. It begins with what it is said to carry.
type bandwidthMeter struct {
	bytesPerSecond float64   // bytes per second, 0 if it is not known
	sampleStart    time.Time // the beginning of the present measurement, or zero
	sampled        int       // bytes that have arrived since
}

// arrived takes in that n bytes have come at the given time, and whether as many as may be
// were under way until then.
func (s *bandwidthMeter) observe(n int, busy bool, now time.Time) {
	if !busy {
		s.sampleStart = time.Time{}
		return
	}
	if s.sampleStart.IsZero() {
		s.sampleStart = now
		s.sampled = 0
		return
	}
	s.sampled += n
	took := now.Sub(s.sampleStart)
	if s.sampled < sampleBytes || took <= 0 {
		return
	}
	measured := float64(s.sampled) / took.Seconds()
	if s.bytesPerSecond == 0 {
		s.bytesPerSecond = measured
	}
	s.bytesPerSecond += bandwidthGain * (measured - s.bytesPerSecond)
	s.sampleStart = now
	s.sampled = 0
}
