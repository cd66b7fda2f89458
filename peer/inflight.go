// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"slices"
	"sync"
	"time"
)

// quantumBytes is the largest number of body bytes that a call is granted at a time while
// others wait for credit. A link of 10 Mbit/s carries them in 13 ms.
const quantumBytes = 16 << 10

// maxFlowBytes is the largest number of body bytes that one call has in flight under an
// inFlightLimiter, once some have arrived: enough to saturate a link despite the latency
// between zones. Until then the limit is lower, as a sender may have credit and wait for its
// caller: one quantum, or two if no other call wants credit or has bytes in flight.
const maxFlowBytes = 3 * quantumBytes

// creditTimeout is how long granted bytes may be in flight before they count as not sent:
// their sender waits for its caller, and the link is idle. It is several times what a link
// takes for all bytes that may be in flight.
const creditTimeout = 150 * time.Millisecond

// inFlightLimiter bounds the body bytes in flight from all peers together to this node, so
// that they don't fill the queue of its link. A connection with a small message behind such a
// queue looks silent, and its calls are lost.
//
// Credit is granted in the order of the requests for it (first come, first served), so that
// the arrival time of a body can be predicted, and bodies arrive sooner than if they shared
// the link: of ten that are sent at once and take 50 ms each, all arrive after 500 ms if they
// share it, and after 275 ms on average one by one. This is receiver-driven flow control as
// in B. Montazeri et al., Homa: a receiver-driven low-latency transport protocol, 2018.
// doi:10.1145/3230543.3230564. Unlike there, the shortest body doesn't go first: long bodies
// that were accepted would be overtaken until they miss their deadlines. A nil
// inFlightLimiter limits nothing.
type inFlightLimiter struct {
	limit int // bytes that may be in flight

	mu            sync.Mutex
	available     int         // bytes that may be granted now
	waiting       []*bodyFlow // flows that want bytes, in the order of their requests
	active        []*bodyFlow // flows that have bytes in flight
	dispatchTimer *time.Timer // dispatches after creditTimeout, or nil before its first use
	bandwidth     bandwidthMeter
}

// bodyFlow is the state of one call's body in an inFlightLimiter.
type bodyFlow struct {
	// grant allows the sender n more bytes. It is set before the first use.
	grant func(n int)

	// The limiter's mutex guards the following fields.
	wanted, inFlight int       // bytes
	lastActivity     time.Time // when it was last granted bytes, or some arrived
	started          bool      // whether any bytes have arrived
	expired          bool      // whether its granted bytes count as not sent
	closed           bool
}

// newInFlightLimiter returns a limiter of the given number of bytes for a link with the given
// bandwidth in bytes per second, or nil if the number is 0.
func newInFlightLimiter(bytes int, linkBandwidth float64) *inFlightLimiter {
	if bytes == 0 {
		return nil
	}
	limit := max(bytes, quantumBytes)
	return &inFlightLimiter{
		limit:     limit,
		available: limit,
		bandwidth: bandwidthMeter{
			bytesPerSecond: linkBandwidth,
		},
	}
}

// request requests credit for n more bytes of a flow.
func (l *inFlightLimiter) request(f *bodyFlow, n int) {
	if l == nil {
		f.grant(n)
		return
	}
	l.mu.Lock()
	if !f.closed && n > 0 {
		if f.wanted == 0 {
			l.waiting = append(l.waiting, f)
		}
		f.wanted += n
	}
	l.dispatch()
}

// received records that n bytes of a flow have arrived.
func (l *inFlightLimiter) received(f *bodyFlow, n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	f.lastActivity = time.Now()
	f.expired = false
	f.started = true
	l.bandwidth.observe(n, l.available < quantumBytes, f.lastActivity)
	l.release(f, n)
	l.dispatch()
}

// close records that no more bytes of a flow will arrive.
func (l *inFlightLimiter) close(f *bodyFlow) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.release(f, f.inFlight)
	l.removeWaiting(f)
	f.closed = true
	l.dispatch()
}

// release records that n bytes of a flow are no longer in flight. The lock is held.
func (l *inFlightLimiter) release(f *bodyFlow, n int) {
	n = min(n, f.inFlight)
	f.inFlight -= n
	l.available += n
	if f.inFlight > 0 {
		return
	}
	if i := slices.Index(l.active, f); i >= 0 {
		l.active = slices.Delete(l.active, i, i+1)
	}
}

// expire treats granted bytes as not sent after creditTimeout, and returns whether there were
// any. The lock is held.
func (l *inFlightLimiter) expire() (found bool) {
	now := time.Now()
	for _, d := range slices.Clone(l.active) {
		if now.Sub(d.lastActivity) >= creditTimeout {
			d.expired = true
			l.release(d, d.inFlight)
			found = true
		}
	}
	return found
}

// dispatchLater dispatches after creditTimeout, in case nothing arrives until then. The lock
// is held.
func (l *inFlightLimiter) dispatchLater() {
	if l.dispatchTimer != nil {
		l.dispatchTimer.Reset(creditTimeout)
		return
	}
	l.dispatchTimer = time.AfterFunc(creditTimeout, func() {
		l.mu.Lock()
		l.dispatch()
	})
}

// removeWaiting removes a flow from those that wait for credit. The lock is held.
func (l *inFlightLimiter) removeWaiting(f *bodyFlow) {
	f.wanted = 0
	if i := slices.Index(l.waiting, f); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// dispatch grants the available bytes to the next flows, and unlocks.
func (l *inFlightLimiter) dispatch() {
	type grant struct {
		to *bodyFlow
		n  int
	}
	var grants []grant
	for {
		d := l.nextFlow()
		if d == nil {
			break
		}
		n := min(d.wanted, quantumBytes)
		if n > l.available {
			if l.expire() {
				continue
			}
			l.dispatchLater()
			break
		}
		if d.inFlight == 0 {
			l.active = append(l.active, d)
		}
		d.lastActivity = time.Now()
		d.wanted -= n
		d.inFlight += n
		l.available -= n
		grants = append(grants, grant{
			to: d,
			n:  n,
		})
		if d.wanted == 0 {
			l.removeWaiting(d)
		}
	}
	l.mu.Unlock()
	for _, g := range grants {
		g.to.grant(g.n)
	}
}

// nextFlow returns the flow that is granted credit next, or nil: the first one whose sender is
// not known to wait for its caller, if there is any. The lock is held.
func (l *inFlightLimiter) nextFlow() *bodyFlow {
	var best *bodyFlow
	for _, d := range l.waiting {
		if d.inFlight+min(d.wanted, quantumBytes) > l.flowLimit(d) {
			continue
		}
		if best == nil || best.expired && !d.expired {
			best = d
		}
	}
	return best
}

// flowLimit returns how many bytes a flow may have in flight. The lock is held.
func (l *inFlightLimiter) flowLimit(f *bodyFlow) int {
	others := len(l.waiting) > 1 || slices.ContainsFunc(l.active, func(o *bodyFlow) bool { return o != f })
	switch {
	case f.started:
		return maxFlowBytes
	case others:
		return quantumBytes
	}
	return 2 * quantumBytes
}

// expectedTransferTime returns the time until n more bytes arrive behind all that are in
// flight or wanted, or 0 if that is not known.
func (l *inFlightLimiter) expectedTransferTime(n int64) time.Duration {
	bandwidth, backlog := l.load()
	if bandwidth <= 0 {
		return 0
	}
	return time.Duration((float64(backlog) + float64(n)) / bandwidth * float64(time.Second))
}

// load returns the bandwidth of the saturated link in bytes per second, or 0 if that is not
// known, and the number of bytes in flight or wanted.
func (l *inFlightLimiter) load() (bandwidth float64, backlog int) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	backlog = l.limit - l.available
	for _, d := range l.waiting {
		backlog += d.wanted
	}
	return l.bandwidth.bytesPerSecond, backlog
}
