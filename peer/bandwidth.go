// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "time"

const (
	// sampleBytes is the number of bytes that make one bandwidth sample.
	sampleBytes = 64 << 10
	// bandwidthGain is the weight of a new sample in the moving average.
	bandwidthGain = 0.2
)

// bandwidthMeter measures the bandwidth of a link while it is saturated, as a moving average.
// It starts with the configured bandwidth.
type bandwidthMeter struct {
	bytesPerSecond float64   // 0 if it is not known
	sampleStart    time.Time // start of the present sample, or zero
	sampled        int       // bytes that have arrived since
}

// observe records that n bytes have arrived at the given time. The link is busy if as many
// bytes as allowed were in flight until then.
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
