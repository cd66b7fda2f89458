// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultWindow is the window of a Budget whose Window is zero.
	DefaultWindow = 10 * time.Second
	// windowBuckets is the number of buckets that a window is divided into. Requests leave
	// the window a bucket at a time.
	windowBuckets = 10
)

// Budget bounds extra requests, such as retries, to a fraction of the ordinary ones. In
// each Window there are at most
//
//	Share * (ordinary requests in the window) + Burst
//
// extra ones. The fractional part of this bound is allowed with the corresponding
// probability: where many processes have a small part each of a common budget, some of
// them send one extra request and the others none. The zero value allows none. The
// exported fields must be set before the first call. The methods may be called from any
// goroutine.
type Budget struct {
	// Share is the number of extra requests per ordinary one, such as 0.1.
	Share float64
	// Burst is the number of extra requests beyond that.
	Burst float64
	// Window is the time over which both apply. Zero means DefaultWindow.
	Window time.Duration

	mu          sync.Mutex
	buckets     [windowBuckets]bucket
	current     int       // the bucket that is counted in
	bucketStart time.Time // when the current bucket began
	threshold   float64   // in [0, 1), drawn again with each extra request
	accounts    accounts
}

// bucket counts the requests in one part of the window.
type bucket struct {
	ordinary, extra int
}

// SetLimits sets Share and Burst. Extra requests already taken still count.
func (b *Budget) SetLimits(share, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Share = share
	b.Burst = burst
}

// RecordRequest records one ordinary request.
func (b *Budget) RecordRequest() { b.RecordRequestFor("") }

// RecordRequestFor records one ordinary request of an organisation. The empty name stands
// for none.
func (b *Budget) RecordRequestFor(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	b.buckets[b.current].ordinary++
	b.accounts.get(organisation).buckets[b.current].ordinary++
}

// Take takes one extra request out of the budget, and returns whether there
// was one.
func (b *Budget) Take() bool { return b.TakeWithin(1) }

// TakeWithin is Take, but uses up no more than the given fraction of the budget, in (0, 1].
// The rest is left to those that may use a larger fraction.
func (b *Budget) TakeWithin(fraction float64) bool { return b.TakeFor("", fraction) }

// TakeFor is TakeWithin for an organisation. One that has used up what its own requests
// added leaves part of the rest to the others.
func (b *Budget) TakeFor(organisation string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(time.Now())
	account := b.accounts.get(organisation)
	if organisation != "" && account.overdrawn(b.Share) {
		fraction *= sharedFraction
	}
	all := sumOf(&b.buckets)
	if float64(all.extra)+b.threshold >= fraction*(b.Share*float64(all.ordinary)+b.Burst) {
		return false
	}
	b.buckets[b.current].extra++
	account.buckets[b.current].extra++
	b.threshold = rand.Float64()
	return true
}

// advance clears the buckets that have left the window. The lock is held.
func (b *Budget) advance(now time.Time) {
	window := b.Window
	if window == 0 {
		window = DefaultWindow
	}
	length := window / windowBuckets
	if b.bucketStart.IsZero() {
		b.bucketStart = now
		b.threshold = rand.Float64()
	}
	for range windowBuckets {
		if now.Sub(b.bucketStart) < length {
			return
		}
		b.bucketStart = b.bucketStart.Add(length)
		b.current = (b.current + 1) % windowBuckets
		b.buckets[b.current] = bucket{}
		b.accounts.clearBucket(b.current)
	}
	b.bucketStart = now // the whole window is over
}
