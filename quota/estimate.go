// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

const (
	// countRetention is the least time for which a count of nodes is kept when lower
	// counts follow: most of the nodes may be running but not be visible.
	countRetention = 10 * time.Minute
	// discoveryTime is the time after its start in which a node may not have discovered
	// the others, if it knows no stored count. It matters only when a system first starts.
	discoveryTime = 5 * time.Second
)

// NodeEstimate is the number of nodes among which rate limits are divided: the largest one
// counted recently. With too low a number, the nodes together would exceed the limits.
type NodeEstimate struct {
	startedAt         time.Duration
	spanStart         time.Duration // when the present span of countRetention began
	current, previous int           // the largest counts in this span and in the previous one
	hasStored         bool          // whether a stored number is known
	reported          int           // by a coordinator, or 0
}

// NewNodeEstimate returns the NodeEstimate of a node that starts.
func NewNodeEstimate(now time.Duration) *NodeEstimate {
	return &NodeEstimate{
		startedAt: now,
		spanStart: now,
	}
}

// Observe records the number of nodes that this node knows.
func (e *NodeEstimate) Observe(nodes int, now time.Duration) {
	if now-e.spanStart >= countRetention {
		e.previous = e.current
		e.current = 0
		e.spanStart = now
	}
	e.current = max(e.current, nodes)
}

// ObserveStored records a number that other nodes have stored on the platform.
func (e *NodeEstimate) ObserveStored(nodes int, now time.Duration) {
	if nodes > 0 && nodes <= maxNodes {
		e.hasStored = true
		e.Observe(nodes, now)
	}
}

// ObserveReported records a number that a coordinator reported. It is used only while no
// better one is known, as a coordinator has it from the nodes.
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
