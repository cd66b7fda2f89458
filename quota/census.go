// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

const (
	// remember is how long at least a count of nodes stands after fewer are counted: most
	// of them may be there and not be heard of.
	remember = 10 * time.Minute
	// settling is the time after its start in which a node that has been told no number
	// has met the others. It happens at the first start of a system only.
	settling = 5 * time.Second
)

// Census is the number of nodes among which the rights are divided: the largest one that is
// known from lately. A count that is too small would give the nodes too much together.
type NodeEstimate struct {
	began     time.Duration
	turned    time.Duration // when the present span of remember began
	now, last int           // the most nodes counted in this span and in the one before it
	told      bool          // whether others have left a number on the platform
	heard     int           // from a home, or 0
}

// NewCensus returns the Census of a node that starts.
func NewNodeEstimate(now time.Duration) *NodeEstimate {
	return &NodeEstimate{
		began:  now,
		turned: now,
	}
}

// Count takes in how many nodes there are, as far as this one knows.
func (c *NodeEstimate) Observe(nodes int, now time.Duration) {
	if now-c.turned >= remember {
		c.last = c.now
		c.now = 0
		c.turned = now
	}
	c.now = max(c.now, nodes)
}

// Told takes in a number that others have left on the platform.
func (c *NodeEstimate) ObserveStored(nodes int, now time.Duration) {
	if nodes > 0 && nodes <= maxNodes {
		c.told = true
		c.Observe(nodes, now)
	}
}

// Heard takes in a number that a home has said. It is used only while there is no better
// one, as it comes from the nodes in the first place.
func (c *NodeEstimate) ObserveReported(nodes int) { c.heard = min(nodes, maxNodes) }

// Nodes returns the number, or 0 if it is not known yet.
func (c *NodeEstimate) Nodes(now time.Duration) int {
	counted := max(c.now, c.last)
	switch {
	case c.told || now-c.began >= settling:
		return counted
	case c.heard > 0:
		return max(counted, c.heard)
	default:
		return 0
	}
}
