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
	// DefaultWindow is the time over which a Budget is kept to if it does not say.
	DefaultWindow = 10 * time.Second
	// windowParts is the number of parts that a window is counted in. Requests and
	// takings are forgotten a part at a time.
	windowBuckets = 10
)

// Budget bounds extra requests to a share of the ordinary ones. In each Window
// there are at most
//
//	Share * (ordinary requests in the window) + Burst
//
// extra ones. The part of this beyond a whole number is allowed with that
// probability: where many processes have a small part each of what all may spend
// together, some of them spend one and the others none. The zero value allows
// none. The exported fields are set before the first call. The methods may be
// called from any goroutine.
type Budget struct {
	// Share is the number of extra requests per ordinary one, such as 0.1.
	Share float64
	// Burst is the number of extra requests beyond that.
	Burst float64
	// Window is the time over which both hold. Zero means DefaultWindow.
	Window time.Duration

	mu          sync.Mutex
	buckets     [windowBuckets]bucket
	current     int       // the part that is counted in
	bucketStart time.Time // of the current part
	threshold   float64   // in [0, 1), drawn anew with each taking
	accounts    accounts
}

// part counts the requests in one part of the window.
type bucket struct {
	ordinary, extra int
}

// Adjust sets Share and Burst. What was spent stays spent.
func (b *Budget) Adjust(share, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Share = share
	b.Burst = burst
}

// Earn records one ordinary request.
func (b *Budget) RecordRequest() { b.RecordRequestFor("") }

// EarnFor records one ordinary request of an organisation. The empty name stands for none.
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

// TakePart takes one extra request as Take does, if no more than the given part of
// the budget is spent, in (0, 1]. The rest is left to those who may spend a larger
// part.
func (b *Budget) TakeWithin(fraction float64) bool { return b.TakeFor("", fraction) }

// TakeFor takes one extra request of an organisation as TakePart does. One that has spent
// what its own requests have earned leaves a part of the rest to the others.
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

// advance forgets the parts that are out of the window. The lock is held.
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
