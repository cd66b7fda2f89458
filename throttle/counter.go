// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package throttle

import "time"

const (
	// part is the unit in which times of writing are kept. A request counts for up to a part
	// longer than a window.
	bucketLength = 50 * time.Millisecond
	bucketCount  = int(Window/bucketLength) + 1
)

// counter counts the requests written in the last window. The zero value has counted none.
type counter struct {
	pending     int // about to be written
	total       int // in all parts
	counts      [bucketCount]int
	current     int
	bucketStart time.Time // of the current part
}

// add counts a request that is written now.
func (c *counter) add(now time.Time) {
	c.advance(now)
	c.counts[c.current]++
	c.total++
}

// count returns the number of requests that count now.
func (c *counter) count(now time.Time) int {
	c.advance(now)
	return c.total + c.pending
}

// clear forgets what has been written.
func (c *counter) clear() {
	c.counts = [bucketCount]int{}
	c.total = 0
}

// room returns after how long so many more may be written, if a window may have so many at
// most.
func (c *counter) wait(more, limit int, now time.Time) time.Duration {
	over := c.count(now) + more - limit
	if over <= 0 {
		return 0
	}
	remaining := bucketLength - now.Sub(c.bucketStart) // of the current part
	for i := 1; i <= bucketCount; i++ {
		over -= c.counts[(c.current+i)%bucketCount] // the oldest first
		if over <= 0 {
			return remaining + time.Duration(i-1)*bucketLength
		}
	}
	// What is open, or comes before, has yet to be written.
	rest := time.Duration(float64(over) / float64(max(1, limit)) * float64(Window))
	return remaining + Window + rest
}

// advance forgets the parts that are out of the window.
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
