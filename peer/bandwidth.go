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
func (m *bandwidthMeter) observe(n int, busy bool, now time.Time) {
	if !busy {
		m.sampleStart = time.Time{}
		return
	}
	if m.sampleStart.IsZero() {
		m.sampleStart = now
		m.sampled = 0
		return
	}
	m.sampled += n
	elapsed := now.Sub(m.sampleStart)
	if m.sampled < sampleBytes || elapsed <= 0 {
		return
	}
	measured := float64(m.sampled) / elapsed.Seconds()
	if m.bytesPerSecond == 0 {
		m.bytesPerSecond = measured
	}
	m.bytesPerSecond += bandwidthGain * (measured - m.bytesPerSecond)
	m.sampleStart = now
	m.sampled = 0
}
