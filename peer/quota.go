// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"slices"
	"sync"
	"time"
)

// quantum is the most body bytes that a call is allowed at a time while others
// wait for theirs. A link of 10 Mbit/s carries them in 13 ms.
const quantumBytes = 16 << 10

// mostUnderWay is the most body bytes that one call has under way while it is under a
// quota, once some have arrived: enough to keep a link busy over the delay between zones.
// Until then it is less, as a sender may have credit and wait for its caller: a quantum, or
// two if no other call wants or has any.
const maxFlowBytes = 3 * quantumBytes

// overdue is how long bytes may be under way before they count as not sent: their sender
// waits for its caller, and the link is idle. It is several times what a link takes for all
// that may be under way.
const creditTimeout = 150 * time.Millisecond

// quota bounds the body bytes that all peers together may have under way to this
// node, so that they don't stand in the queue of its link. There, each connection
// looks silent that has a small message behind them, and its calls are lost.
//
// The call that asked first goes first, so that it is known when a body will be there, and
// bodies are there sooner than if they shared the link: of ten that come at once and take
// 50 ms each, all are there after 500 ms if they share it, and after 275 ms on average one
// by one. It is receiver-driven flow control as in B. Montazeri et al., Homa: a
// receiver-driven low-latency transport protocol, 2018. doi:10.1145/3230543.3230564. Unlike
// there, the shortest doesn't go first: long bodies that were accepted would be overtaken
// until they are late. A nil quota bounds nothing.
type inFlightLimiter struct {
	limit int // bytes that may be under way

	mu            sync.Mutex
	available     int         // bytes that may be given now
	waiting       []*bodyFlow // that want bytes, the one that asked first comes first
	active        []*bodyFlow // that have bytes under way
	dispatchTimer *time.Timer // has what is free given again, or nil before its first use
	bandwidth     bandwidthMeter
}

// demand is the part of a quota that one call has and wants.
type bodyFlow struct {
	// give allows the sender n more bytes. It is set before the first use.
	grant func(n int)

	// The quota's mutex guards what follows.
	wanted, inFlight int       // bytes
	lastActivity     time.Time // when it was last given bytes, or some arrived
	started          bool      // whether any bytes have arrived
	expired          bool      // whether what it was given is overdue
	closed           bool
}

// newQuota returns a quota of the given number of bytes on a link that is said to carry so
// many a second, or nil if the number is 0.
func newInFlightLimiter(bytes int, rate float64) *inFlightLimiter {
	if bytes == 0 {
		return nil
	}
	limit := max(bytes, quantumBytes)
	return &inFlightLimiter{
		limit:     limit,
		available: limit,
		bandwidth: bandwidthMeter{
			bytesPerSecond: rate,
		},
	}
}

// ask asks for n more bytes for a call.
func (q *inFlightLimiter) request(d *bodyFlow, n int) {
	if q == nil {
		d.grant(n)
		return
	}
	q.mu.Lock()
	if !d.closed && n > 0 {
		if d.wanted == 0 {
			q.waiting = append(q.waiting, d)
		}
		d.wanted += n
	}
	q.dispatch()
}

// arrived takes in that n bytes of a call have come.
func (q *inFlightLimiter) received(d *bodyFlow, n int) {
	if q == nil {
		return
	}
	q.mu.Lock()
	d.lastActivity = time.Now()
	d.expired = false
	d.started = true
	q.bandwidth.observe(n, q.available < quantumBytes, d.lastActivity)
	q.release(d, n)
	q.dispatch()
}

// leave takes in that no more bytes of a call come.
func (q *inFlightLimiter) close(d *bodyFlow) {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.release(d, d.inFlight)
	q.removeWaiting(d)
	d.closed = true
	q.dispatch()
}

// settle takes in that n bytes of a call are not under way any more. The lock is held.
func (q *inFlightLimiter) release(d *bodyFlow, n int) {
	n = min(n, d.inFlight)
	d.inFlight -= n
	q.available += n
	if d.inFlight > 0 {
		return
	}
	if i := slices.Index(q.active, d); i >= 0 {
		q.active = slices.Delete(q.active, i, i+1)
	}
}

// writeOff takes bytes that are overdue for not sent, and returns whether there were any.
// The lock is held.
func (q *inFlightLimiter) expire() (found bool) {
	now := time.Now()
	for _, d := range slices.Clone(q.active) {
		if now.Sub(d.lastActivity) >= creditTimeout {
			d.expired = true
			q.release(d, d.inFlight)
			found = true
		}
	}
	return found
}

// dealAgain has what is free given again later, for the case that nothing arrives until
// then. The lock is held.
func (q *inFlightLimiter) dispatchLater() {
	if q.dispatchTimer != nil {
		q.dispatchTimer.Reset(creditTimeout)
		return
	}
	q.dispatchTimer = time.AfterFunc(creditTimeout, func() {
		q.mu.Lock()
		q.dispatch()
	})
}

// drop takes a call out of those that want bytes. The lock is held.
func (q *inFlightLimiter) removeWaiting(d *bodyFlow) {
	d.wanted = 0
	if i := slices.Index(q.waiting, d); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// deal gives what is free to the calls whose turn it is, and unlocks.
func (q *inFlightLimiter) dispatch() {
	type grant struct {
		to *bodyFlow
		n  int
	}
	var grants []grant
	for {
		d := q.nextFlow()
		if d == nil {
			break
		}
		n := min(d.wanted, quantumBytes)
		if n > q.available {
			if q.expire() {
				continue
			}
			q.dispatchLater()
			break
		}
		if d.inFlight == 0 {
			q.active = append(q.active, d)
		}
		d.lastActivity = time.Now()
		d.wanted -= n
		d.inFlight += n
		q.available -= n
		grants = append(grants, grant{
			to: d,
			n:  n,
		})
		if d.wanted == 0 {
			q.removeWaiting(d)
		}
	}
	q.mu.Unlock()
	for _, g := range grants {
		g.to.grant(g.n)
	}
}

// next returns the call that gets bytes next, or nil: the first one whose sender is not known
// to wait for its caller, if there is any. The lock is held.
func (q *inFlightLimiter) nextFlow() *bodyFlow {
	var best *bodyFlow
	for _, d := range q.waiting {
		if d.inFlight+min(d.wanted, quantumBytes) > q.flowLimit(d) {
			continue
		}
		if best == nil || best.expired && !d.expired {
			best = d
		}
	}
	return best
}

// bound returns how many bytes a call may have under way. The lock is held.
func (q *inFlightLimiter) flowLimit(d *bodyFlow) int {
	others := len(q.waiting) > 1 || slices.ContainsFunc(q.active, func(o *bodyFlow) bool { return o != d })
	switch {
	case d.started:
		return maxFlowBytes
	case others:
		return quantumBytes
	}
	return 2 * quantumBytes
}

// coming returns how long n more bytes take to arrive behind all that are under way or
// wanted, or 0 if that is not known.
func (q *inFlightLimiter) expectedTransferTime(n int64) time.Duration {
	rate, backlog := q.load()
	if rate <= 0 {
		return 0
	}
	return time.Duration((float64(backlog) + float64(n)) / rate * float64(time.Second))
}

// inflow returns how many bytes a second arrive while the link has enough to carry, 0 if
// that is not known, and how many are under way or wanted.
func (q *inFlightLimiter) load() (rate float64, backlog int) {
	if q == nil {
		return 0, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	backlog = q.limit - q.available
	for _, d := range q.waiting {
		backlog += d.wanted
	}
	return q.bandwidth.bytesPerSecond, backlog
}
