// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

const (
	// maxNodes and maxCount bound what is believed of an Ask, and maxWants the
	// organisations in one.
	maxNodes = 1 << 20
	maxCount = 1 << 16
	maxWants = 1 << 12
	// forget is how long a node is remembered that does not ask: far longer than an Ask
	// that is overtaken by another may be on its way and count.
	forget = 20 * LeaseDuration
)

// Home holds the rights that nodes deposit, and grants tokens. It is not safe for use by
// several goroutines at once.
type Coordinator struct {
	id      uint32 // tells the starts of the process apart
	pool    pool
	nodes   int // the most that one of the askers counts
	askers  map[string]asker
	forgets time.Duration // when askers are looked through next
}

// asker is a node as it asked last.
type asker struct {
	start, number uint64
	at            time.Duration
	nodes         int // as it counts them, or 0
}

// NewHome returns a Home without rights. The id, which is not 0, tells it from those of
// other starts of the process.
func NewCoordinator(id uint32, bounds Bounds, now time.Duration) *Coordinator {
	return &Coordinator{
		id: id,
		pool: pool{
			bounds: bounds,
			at:     now,
			rights: make(map[string]right),
		},
		askers: make(map[string]asker),
	}
}

// SetLimits takes in the rate limits in force, by organisation.
func (h *Coordinator) SetLimits(limits map[string]Limit, now time.Duration) {
	h.pool.setLimits(limits, now)
}

// Rights returns the number of rights that the Home holds, and their part of all.
func (h *Coordinator) HeldShares(now time.Duration) (count int, share float64) {
	h.pool.advance(now)
	return len(h.pool.rights), h.pool.share
}

// Rate returns the tokens of an organisation that were granted a second lately.
func (h *Coordinator) Rate(organisation string, now time.Duration) float64 {
	b := h.pool.buckets[organisation]
	if b == nil {
		return 0
	}
	return b.granted.Rate(now)
}

// Answer takes in what a node asks. It returns nil for an Ask that another has overtaken.
func (h *Coordinator) HandleRequest(node string, a *Request, now time.Duration) *Response {
	if h.overtaken(node, a, now) {
		return nil
	}
	sent, known := h.sent(a)
	if known && now-sent <= TokenLifetime/2 {
		for _, c := range a.Returned[:min(len(a.Returned), maxWants)] {
			h.pool.put(c.Organisation, max(0, min(c.Tokens, maxCount)), now)
		}
	}
	switch {
	case a.Nodes < 0:
	case a.Nodes > 0 && known && h.nodes > 0:
		h.pool.deposit(node, 1/float64(h.nodes), sent+LeaseDuration-drift, now)
	default:
		h.pool.withdraw(node, now)
	}
	answer := &Response{
		Coordinator: h.id,
		Nodes:       h.nodes,
	}
	for _, c := range a.Wanted[:min(len(a.Wanted), maxWants)] {
		answer.Grants = append(answer.Grants, h.grant(c, now))
	}
	answer.Clock = now
	return answer
}

// overtaken returns whether a later Ask of the node has come before this one, and otherwise
// takes in who asks.
func (h *Coordinator) overtaken(node string, a *Request, now time.Duration) bool {
	if now >= h.forgets {
		var nodes int
		for name, k := range h.askers {
			if now-k.at > forget {
				delete(h.askers, name)
			} else {
				nodes = max(nodes, k.nodes)
			}
		}
		h.nodes = nodes
		h.forgets = now + forget
	}
	k := h.askers[node]
	if a.Incarnation < k.start || a.Incarnation == k.start && a.Sequence <= k.number {
		return true
	}
	nodes := min(max(0, a.Nodes), maxNodes)
	h.askers[node] = asker{
		start:  a.Incarnation,
		number: a.Sequence,
		at:     now,
		nodes:  nodes,
	}
	h.nodes = max(h.nodes, nodes)
	return false
}

// sent returns a time before which an Ask was not sent, by this Home's clock: the answer that
// it names can't have arrived before it was written.
func (h *Coordinator) sent(a *Request) (at time.Duration, known bool) {
	if a.Coordinator != h.id || a.Clock < 0 || a.Elapsed < 0 || a.Elapsed > forget {
		return 0, false
	}
	return a.Clock + a.Elapsed, true
}

// grant grants what it can of what is asked for.
func (h *Coordinator) grant(c TokenCount, now time.Duration) Grant {
	n := max(0, min(c.Tokens, maxCount))
	late := max(0, min(c.Late, n))
	taken, ok := h.pool.take(c.Organisation, n-late, now)
	missing := n - late - taken
	if ok && missing == 0 {
		taken += h.pool.takeSpare(c.Organisation, late, now)
	}
	g := Grant{
		Organisation: c.Organisation,
		Tokens:       taken,
		Unknown:      !ok,
	}
	if ok && taken < n {
		g.RetryAfter, g.RetryStep = h.pool.wait(c.Organisation, missing, now)
		if missing == 0 {
			g.RetryAfter = max(g.RetryAfter, spareFor)
		}
		g.Unknown = !h.pool.settled(now)
	}
	return g
}
