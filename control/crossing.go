// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import "slices"

// crossings is how many of the nodes of a zone are expected to push a record to another
// zone, or to compare their state with one there, of all that do so at about the same time.
// Each that does takes it to nodes there, which pass it on among themselves. With eight
// expected none crosses in 0.03% of the cases; the comparisons of the next seconds then find
// it. A fixed number keeps the bytes between zones for each change from growing with the
// nodes.
const crossings = 8.0

// crosses draws whether this node takes something to another zone.
func (c *Control) crosses() bool {
	return c.random.Float64()*float64(c.near+1) < crossings
}

// pushTargets returns the neighbours that changes are pushed to.
func (c *Control) pushTargets() []target {
	if c.crosses() {
		return c.nearAndFar(1)
	}
	return c.nearAndFar(0)
}

// newsTargets returns the neighbours that news of a read is passed on to. Each node tells one
// elsewhere: it is some 40 bytes, and its way is that of a configuration.
func (c *Control) newsTargets() []target { return c.nearAndFar(1) }

// nearAndFar returns fanOut neighbours, the given number of them in other zones. Where there
// are too few of one kind, there are more of the other.
func (c *Control) nearAndFar(far int) []target {
	near := fanOut - far
	var list, rest []target
	for _, t := range c.targets(nearNeighbours + farNeighbours) {
		left := &far
		if t.Zone == c.self.Zone {
			left = &near
		}
		if *left > 0 {
			*left--
			list = append(list, t)
		} else {
			rest = append(rest, t)
		}
	}
	missing := fanOut - len(list)
	return append(list, rest[:min(missing, len(rest))]...)
}

// toCompare returns the neighbours to compare with, in the order in which they are tried:
// those of the own zone first, unless the node draws otherwise.
func (c *Control) toCompare() []target {
	list := c.targets(nearNeighbours + farNeighbours)
	if !c.crosses() {
		slices.SortStableFunc(list, func(a, b target) int { return c.distance(a) - c.distance(b) })
	}
	return list[:min(compareTries, len(list))]
}

// distance returns 0 for a neighbour of the own zone, and 1 for another.
func (c *Control) distance(t target) int {
	if t.Zone == c.self.Zone {
		return 0
	}
	return 1
}
