// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "sync"

// quantum is the most body bytes that a call is allowed at a time while others
// wait for theirs. A link of 10 Mbit/s carries them in 13 ms.
const quantum = 16 << 10

// quota bounds the body bytes that all peers together may have under way to this
// node, so that they don't stand in the queue of its link. There, each connection
// looks silent that has a small message behind them: on links of 10 Mbit/s, with
// requests of 60 KB on average, hundreds of calls a minute were lost to that.
//
// Calls are served in turn, a quantum each. It is receiver-driven flow control as
// in B. Montazeri et al., Homa: a receiver-driven low-latency transport protocol,
// 2018. doi:10.1145/3230543.3230564. A nil quota bounds nothing.
type quota struct {
	mu    sync.Mutex
	free  int
	turns []*demand
}

// demand is the part of a quota that one call has and wants.
type demand struct {
	// give allows the sender n more bytes. It is set before the first use.
	give func(n int)

	// The quota's mutex guards what follows.
	want, underWay int
	queued, left   bool
}

// newQuota returns a quota of the given number of bytes, or nil if that is 0.
func newQuota(bytes int) *quota {
	if bytes == 0 {
		return nil
	}
	return &quota{free: max(bytes, quantum)}
}

// ask asks for n more bytes for a call.
func (q *quota) ask(d *demand, n int) {
	if q == nil {
		d.give(n)
		return
	}
	q.mu.Lock()
	if !d.left && n > 0 {
		d.want += n
		q.enqueue(d)
	}
	q.deal()
}

// arrived takes in that n bytes of a call have come.
func (q *quota) arrived(d *demand, n int) {
	if q == nil {
		return
	}
	q.mu.Lock()
	n = min(n, d.underWay)
	d.underWay -= n
	q.free += n
	q.deal()
}

// leave takes in that no more bytes of a call come.
func (q *quota) leave(d *demand) {
	if q == nil {
		return
	}
	q.mu.Lock()
	q.free += d.underWay
	d.underWay = 0
	d.want = 0
	d.left = true
	q.deal()
}

// enqueue puts a call at the end of the turns. The lock is held.
func (q *quota) enqueue(d *demand) {
	if !d.queued {
		d.queued = true
		q.turns = append(q.turns, d)
	}
}

// deal gives what is free to the calls whose turn it is, and unlocks.
func (q *quota) deal() {
	type gift struct {
		to *demand
		n  int
	}
	var gifts []gift
	for len(q.turns) > 0 {
		d := q.turns[0]
		n := min(d.want, quantum)
		if n > q.free {
			break
		}
		q.turns = q.turns[1:]
		d.queued = false
		if n == 0 {
			continue
		}
		d.want -= n
		d.underWay += n
		q.free -= n
		gifts = append(gifts, gift{d, n})
		if d.want > 0 {
			q.enqueue(d)
		}
	}
	q.mu.Unlock()
	for _, g := range gifts {
		g.to.give(g.n)
	}
}
