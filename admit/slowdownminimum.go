// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

const (
	// minimumBuckets and bucketLength are the number and length of the buckets of the window
	// of a slowdownMinimum: 1 s in total, several times the length of a slow period and much
	// less than the seconds for which an upstream is cold or overloaded.
	minimumBuckets = 4
	bucketLength   = 250 * time.Millisecond
)

// slowdownMinimum is the minimum slowdown of an upstream over the last second, to which it is
// likely to return soon. An upstream that has just started is slow for seconds, and so is one
// whose instance is overloaded; waiting for these to end gains nothing. With a fixed threshold
// instead, the slow periods of a cold upstream could not be distinguished from its cold start.
type slowdownMinimum struct {
	minima      [minimumBuckets]float64 // of each bucket, 0 if nothing was observed in it
	current     int
	bucketStart time.Time // of the current bucket
}

// observe records a slowdown.
func (m *slowdownMinimum) observe(slowdown float64, now time.Time) {
	m.advance(now)
	if l := m.minima[m.current]; l == 0 || slowdown < l {
		m.minima[m.current] = slowdown
	}
}

// value returns the minimum slowdown, or 1 if none was observed in the window.
func (m *slowdownMinimum) value(now time.Time) float64 {
	m.advance(now)
	var least float64
	for _, l := range m.minima {
		if l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	if least == 0 {
		return 1
	}
	return least
}

// advance discards the buckets that have left the window.
func (m *slowdownMinimum) advance(now time.Time) {
	for range minimumBuckets {
		if now.Sub(m.bucketStart) < bucketLength {
			return
		}
		m.bucketStart = m.bucketStart.Add(bucketLength)
		m.current = (m.current + 1) % minimumBuckets
		m.minima[m.current] = 0
	}
	m.bucketStart = now // all buckets are older than the window
}
