// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

const (
	// remember is how long at least a count of nodes stands after fewer are counted: most
	// of them may be there and not be heard of.
	countRetention = 10 * time.Minute
	// settling is the time after its start in which a node that has been told no number
	// has met the others. It happens at the first start of a system only.
	discoveryTime = 5 * time.Second
)

// Census is the number of nodes among which the rights are divided: the largest one that is
// known from lately. A count that is too small would give the nodes too much together.
type NodeEstimate struct {
	startedAt         time.Duration
	spanStart         time.Duration // when the present span of remember began
	current, previous int           // the most nodes counted in this span and in the one before it
	hasStored         bool          // whether others have left a number on the platform
	reported          int           // from a home, or 0
}

// NewCensus returns the Census of a node that starts.
func NewNodeEstimate(now time.Duration) *NodeEstimate {
	return &NodeEstimate{
		startedAt: now,
		spanStart: now,
	}
}

// Count takes in how many nodes there are, as far as this one knows.
func (e *NodeEstimate) Observe(nodes int, now time.Duration) {
	if now-e.spanStart >= countRetention {
		e.previous = e.current
		e.current = 0
		e.spanStart = now
	}
	e.current = max(e.current, nodes)
}

// Told takes in a number that others have left on the platform.
func (e *NodeEstimate) ObserveStored(nodes int, now time.Duration) {
	if nodes > 0 && nodes <= maxNodes {
		e.hasStored = true
		e.Observe(nodes, now)
	}
}

// Heard takes in a number that a home has said. It is used only while there is no better
// one, as it comes from the nodes in the first place.
func (e *NodeEstimate) ObserveReported(nodes int) { e.reported = min(nodes, maxNodes) }

// Nodes returns the number, or 0 if it is not known yet.
func (e *NodeEstimate) Nodes(now time.Duration) int {
	counted := max(e.current, e.previous)
	switch {
	case e.hasStored || now-e.startedAt >= discoveryTime:
		return counted
	case e.reported > 0:
		return max(counted, e.reported)
	default:
		return 0
	}
}
