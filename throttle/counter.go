// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package throttle

import "time"

const (
	// bucketLength is the resolution of the times at which requests are written. A request
	// counts for up to a bucketLength longer than a window.
	bucketLength = 50 * time.Millisecond
	bucketCount  = int(Window/bucketLength) + 1
)

// counter counts the requests written in the last window. The zero value has counted none.
type counter struct {
	pending     int // about to be written
	total       int // in all buckets
	counts      [bucketCount]int
	current     int
	bucketStart time.Time // when the current bucket began
}

// add counts a request that is written now.
func (c *counter) add(now time.Time) {
	c.advance(now)
	c.counts[c.current]++
	c.total++
}

// count returns the number of requests that count now, including those about to be written.
func (c *counter) count(now time.Time) int {
	c.advance(now)
	return c.total + c.pending
}

// clear forgets what has been written.
func (c *counter) clear() {
	c.counts = [bucketCount]int{}
	c.total = 0
}

// wait returns the time after which more further requests may be written, if at most limit may
// be written in a window.
func (c *counter) wait(more, limit int, now time.Time) time.Duration {
	over := c.count(now) + more - limit
	if over <= 0 {
		return 0
	}
	remaining := bucketLength - now.Sub(c.bucketStart) // until the current bucket ends
	for i := 1; i <= bucketCount; i++ {
		over -= c.counts[(c.current+i)%bucketCount] // the oldest first
		if over <= 0 {
			return remaining + time.Duration(i-1)*bucketLength
		}
	}
	// The rest has yet to be written.
	rest := time.Duration(float64(over) / float64(max(1, limit)) * float64(Window))
	return remaining + Window + rest
}

// advance clears the buckets that have left the window.
func (c *counter) advance(now time.Time) {
	passed := int(now.Sub(c.bucketStart) / bucketLength)
	if passed <= 0 {
		return
	}
	if passed >= bucketCount {
		c.clear()
		c.bucketStart = now
		return
	}
	for range passed {
		c.current = (c.current + 1) % bucketCount
		c.total -= c.counts[c.current]
		c.counts[c.current] = 0
	}
	c.bucketStart = c.bucketStart.Add(time.Duration(passed) * bucketLength)
}
