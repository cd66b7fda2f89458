// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

const (
	// paceParts and pacePart are the number and length of the parts in which the
	// window of a pace is counted: 1 s together, several times the length of a slow
	// spell and well under the seconds for which an upstream is cold or overcome.
	minimumBuckets = 4
	bucketLength   = 250 * time.Millisecond
)

// pace is the least slowdown of an upstream over the last second: the one to which
// it is likely to return soon. An upstream that has just started is slow for
// seconds, and so is one whose instance is overcome; nothing is gained by waiting
// for these to end. By a fixed bound in its place a cold upstream's spells could not be
// told from its being cold.
type slowdownMinimum struct {
	minima      [minimumBuckets]float64 // of each part, 0 if nothing was observed in it
	current     int
	bucketStart time.Time // of the current part
}

// observe takes in a slowdown.
func (p *slowdownMinimum) observe(slowdown float64, now time.Time) {
	p.advance(now)
	if l := p.minima[p.current]; l == 0 || slowdown < l {
		p.minima[p.current] = slowdown
	}
}

// value returns the pace, or 1 if nothing was observed.
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

// advance forgets the parts that are out of the window.
func (p *slowdownMinimum) advance(now time.Time) {
	for range minimumBuckets {
		if now.Sub(p.bucketStart) < bucketLength {
			return
		}
		p.bucketStart = p.bucketStart.Add(bucketLength)
		p.current = (p.current + 1) % minimumBuckets
		p.minima[p.current] = 0
	}
	p.bucketStart = now // the whole window is over
}
