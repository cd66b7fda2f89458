// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

const (
	// maxNodes and maxCount bound the values that are accepted in a Request, and maxWanted
	// bounds the organisations in one.
	maxNodes  = 1 << 20
	maxCount  = 1 << 16
	maxWanted = 1 << 12
	// stateRetention is how long the state of a node that sends no requests is kept. It is
	// far longer than an overtaken Request may be in transit and still take effect.
	stateRetention = 20 * LeaseDuration
)

// Coordinator holds the shares that nodes delegate to it, and grants tokens. It is not safe
// for concurrent use.
type Coordinator struct {
	id         uint32 // differs between starts of the process
	pool       pool
	nodes      int // the largest count of a requester
	requesters map[string]requester
	nextSweep  time.Duration // when old requesters are dropped next
}

// requester is a node as of its last Request.
type requester struct {
	incarnation, sequence uint64
	lastSeen              time.Duration
	nodes                 int // as counted by it, or 0
}

// NewCoordinator returns a Coordinator without shares. The id must not be 0 and differ from
// those of other starts of the process.
func NewCoordinator(id uint32, bounds Bounds, now time.Duration) *Coordinator {
	return &Coordinator{
		id: id,
		pool: pool{
			bounds:    bounds,
			updatedAt: now,
			shares:    make(map[string]share),
		},
		requesters: make(map[string]requester),
	}
}

// SetLimits sets the active rate limits, by organisation.
func (c *Coordinator) SetLimits(limits map[string]Limit, now time.Duration) {
	c.pool.setLimits(limits, now)
}

// HeldShares returns the number of shares that the Coordinator holds, and the fraction that
// they are of all shares.
func (c *Coordinator) HeldShares(now time.Duration) (count int, fraction float64) {
	c.pool.advance(now)
	return len(c.pool.shares), c.pool.held
}

// Rate returns the tokens per second of an organisation that were granted recently.
func (c *Coordinator) Rate(organisation string, now time.Duration) float64 {
	b := c.pool.buckets[organisation]
	if b == nil {
		return 0
	}
	return b.granted.Rate(now)
}

// HandleRequest handles a node's Request. It returns nil for a Request that a later one has
// overtaken.
func (c *Coordinator) HandleRequest(node string, r *Request, now time.Duration) *Response {
	if c.overtaken(node, r, now) {
		return nil
	}
	sent, known := c.earliestSent(r)
	if known && now-sent <= TokenLifetime/2 {
		for _, count := range r.Returned[:min(len(r.Returned), maxWanted)] {
			c.pool.put(count.Organisation, max(0, min(count.Tokens, maxCount)), now)
		}
	}
	switch {
	case r.Nodes < 0:
	case r.Nodes > 0 && known && c.nodes > 0:
		c.pool.delegate(node, 1/float64(c.nodes), sent+LeaseDuration-maxClockDrift, now)
	default:
		c.pool.withdraw(node, now)
	}
	response := &Response{
		Coordinator: c.id,
		Nodes:       c.nodes,
	}
	for _, count := range r.Wanted[:min(len(r.Wanted), maxWanted)] {
		response.Grants = append(response.Grants, c.grant(count, now))
	}
	response.Clock = now
	return response
}

// overtaken returns whether a later Request of the node has arrived before this one. If not,
// it records the Request.
func (c *Coordinator) overtaken(node string, r *Request, now time.Duration) bool {
	if now >= c.nextSweep {
		var nodes int
		for name, last := range c.requesters {
			if now-last.lastSeen > stateRetention {
				delete(c.requesters, name)
			} else {
				nodes = max(nodes, last.nodes)
			}
		}
		c.nodes = nodes
		c.nextSweep = now + stateRetention
	}
	last := c.requesters[node]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Sequence <= last.sequence {
		return true
	}
	nodes := min(max(0, r.Nodes), maxNodes)
	c.requesters[node] = requester{
		incarnation: r.Incarnation,
		sequence:    r.Sequence,
		lastSeen:    now,
		nodes:       nodes,
	}
	c.nodes = max(c.nodes, nodes)
	return false
}

// earliestSent returns the earliest time at which a Request can have been sent, by this
// Coordinator's clock: the Response that it refers to can't have arrived before it was written.
func (c *Coordinator) earliestSent(r *Request) (at time.Duration, known bool) {
	if r.Coordinator != c.id || r.Clock < 0 || r.Elapsed < 0 || r.Elapsed > stateRetention {
		return 0, false
	}
	return r.Clock + r.Elapsed, true
}

// grant grants as many of the requested tokens as it can.
func (c *Coordinator) grant(wanted TokenCount, now time.Duration) Grant {
	n := max(0, min(wanted.Tokens, maxCount))
	late := max(0, min(wanted.Late, n))
	taken, ok := c.pool.take(wanted.Organisation, n-late, now)
	missing := n - late - taken
	if ok && missing == 0 {
		taken += c.pool.takeSpare(wanted.Organisation, late, now)
	}
	g := Grant{
		Organisation: wanted.Organisation,
		Tokens:       taken,
		Unknown:      !ok,
	}
	if ok && taken < n {
		g.RetryAfter, g.RetryStep = c.pool.wait(wanted.Organisation, missing, now)
		if missing == 0 {
			g.RetryAfter = max(g.RetryAfter, spareTime)
		}
		g.Unknown = !c.pool.decisive(now)
	}
	return g
}
