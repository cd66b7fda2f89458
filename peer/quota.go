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
const quantum = 16 << 10

// mostUnderWay is the most body bytes that one call has under way while it is under a
// quota, once some have arrived: enough to keep a link busy over the delay between zones.
// Until then it is less, as a sender may have credit and wait for its caller: a quantum, or
// two if no other call wants or has any.
const mostUnderWay = 3 * quantum

// overdue is how long bytes may be under way before they count as not sent: their sender
// waits for its caller, and the link is idle. It is several times what a link takes for all
// that may be under way.
const overdue = 150 * time.Millisecond

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
type quota struct {
	most int // bytes that may be under way

	mu      sync.Mutex
	free    int         // bytes that may be given now
	demands []*demand   // that want bytes, the one that asked first comes first
	sent    []*demand   // that have bytes under way
	again   *time.Timer // has what is free given again, or nil before its first use
	speed   speed
}

// demand is the part of a quota that one call has and wants.
type demand struct {
	// give allows the sender n more bytes. It is set before the first use.
	give func(n int)

	// The quota's mutex guards what follows.
	want, underWay int       // bytes
	heard          time.Time // when it was last given bytes, or some arrived
	begun          bool      // whether any bytes have arrived
	late           bool      // whether what it was given is overdue
	left           bool
}

// newQuota returns a quota of the given number of bytes on a link that is said to carry so
// many a second, or nil if the number is 0.
func newQuota(bytes int, rate float64) *quota {
	if bytes == 0 {
		return nil
	}
	most := max(bytes, quantum)
	return &quota{
		most: most,
		free: most,
		speed: speed{
			rate: rate,
		},
	}
}

// ask asks for n more bytes for a call.
func (q *quota) ask(d *demand, n int) {
	if q == nil {
		d.give(n)
		return
	}
	q.mu.Lock()
	if !d.left && n > 0 {
		if d.want == 0 {
			q.demands = append(q.demands, d)
		}
		d.want += n
	}
	q.deal()
}

// arrived takes in that n bytes of a call have come.
func (q *quota) arrived(d *demand, n int) {
	if q == nil {
		return
	}
	q.mu.Lock()
	d.heard = time.Now()
	d.late = false
	d.begun = true
	q.speed.arrived(n, q.free < quantum, d.heard)
	q.settle(d, n)
	q.deal()
}

// leave takes in that no more bytes of a call come.
func (q *quota) leave(d *demand) {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.settle(d, d.underWay)
	q.drop(d)
	d.left = true
	q.deal()
}

// settle takes in that n bytes of a call are not under way any more. The lock is held.
func (q *quota) settle(d *demand, n int) {
	n = min(n, d.underWay)
	d.underWay -= n
	q.free += n
	if d.underWay > 0 {
		return
	}
	if i := slices.Index(q.sent, d); i >= 0 {
		q.sent = slices.Delete(q.sent, i, i+1)
	}
}

// writeOff takes bytes that are overdue for not sent, and returns whether there were any.
// The lock is held.
func (q *quota) writeOff() (found bool) {
	now := time.Now()
	for _, d := range slices.Clone(q.sent) {
		if now.Sub(d.heard) >= overdue {
			d.late = true
			q.settle(d, d.underWay)
			found = true
		}
	}
	return found
}

// dealAgain has what is free given again later, for the case that nothing arrives until
// then. The lock is held.
func (q *quota) dealAgain() {
	if q.again != nil {
		q.again.Reset(overdue)
		return
	}
	q.again = time.AfterFunc(overdue, func() {
		q.mu.Lock()
		q.deal()
	})
}

// drop takes a call out of those that want bytes. The lock is held.
func (q *quota) drop(d *demand) {
	d.want = 0
	if i := slices.Index(q.demands, d); i >= 0 {
		q.demands = slices.Delete(q.demands, i, i+1)
	}
}

// deal gives what is free to the calls whose turn it is, and unlocks.
func (q *quota) deal() {
	type grant struct {
		to *demand
		n  int
	}
	var grants []grant
	for {
		d := q.next()
		if d == nil {
			break
		}
		n := min(d.want, quantum)
		if n > q.free {
			if q.writeOff() {
				continue
			}
			q.dealAgain()
			break
		}
		if d.underWay == 0 {
			q.sent = append(q.sent, d)
		}
		d.heard = time.Now()
		d.want -= n
		d.underWay += n
		q.free -= n
		grants = append(grants, grant{
			to: d,
			n:  n,
		})
		if d.want == 0 {
			q.drop(d)
		}
	}
	q.mu.Unlock()
	for _, g := range grants {
		g.to.give(g.n)
	}
}

// next returns the call that gets bytes next, or nil: the first one whose sender is not known
// to wait for its caller, if there is any. The lock is held.
func (q *quota) next() *demand {
	var best *demand
	for _, d := range q.demands {
		if d.underWay+min(d.want, quantum) > q.bound(d) {
			continue
		}
		if best == nil || best.late && !d.late {
			best = d
		}
	}
	return best
}

// bound returns how many bytes a call may have under way. The lock is held.
func (q *quota) bound(d *demand) int {
	others := len(q.demands) > 1 || slices.ContainsFunc(q.sent, func(o *demand) bool { return o != d })
	switch {
	case d.begun:
		return mostUnderWay
	case others:
		return quantum
	}
	return 2 * quantum
}

// coming returns how long n more bytes take to arrive behind all that are under way or
// wanted, or 0 if that is not known.
func (q *quota) coming(n int64) time.Duration {
	rate, backlog := q.inflow()
	if rate <= 0 {
		return 0
	}
	return time.Duration((float64(backlog) + float64(n)) / rate * float64(time.Second))
}

// inflow returns how many bytes a second arrive while the link has enough to carry, 0 if
// that is not known, and how many are under way or wanted.
func (q *quota) inflow() (rate float64, backlog int) {
	if q == nil {
		return 0, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	backlog = q.most - q.free
	for _, d := range q.demands {
		backlog += d.want
	}
	return q.speed.rate, backlog
}
