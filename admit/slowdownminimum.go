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
// instead, the slow periods of a cold upstream could not be told from its being cold.
type slowdownMinimum struct {
	minima      [minimumBuckets]float64 // of each bucket, 0 if nothing was observed in it
	current     int
	bucketStart time.Time // of the current bucket
}

// observe records a slowdown.
func (p *slowdownMinimum) observe(slowdown float64, now time.Time) {
	p.advance(now)
	if l := p.minima[p.current]; l == 0 || slowdown < l {
		p.minima[p.current] = slowdown
	}
}

// value returns the minimum slowdown, or 1 if none was observed in the window.
func (p *slowdownMinimum) value(now time.Time) float64 {
	p.advance(now)
	var least float64
	for _, l := range p.minima {
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
func (p *slowdownMinimum) advance(now time.Time) {
	for range minimumBuckets {
		if now.Sub(p.bucketStart) < bucketLength {
			return
		}
		p.bucketStart = p.bucketStart.Add(bucketLength)
		p.current = (p.current + 1) % minimumBuckets
		p.minima[p.current] = 0
	}
	p.bucketStart = now // all buckets are older than the window
}
