// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member

import (
	"sort"
	"time"
)

// FailureDetector decides which silent nodes are removed. A network partition
// looks like many failed nodes, so removals are delayed and limited. The
// exported fields must be set before the first call. It is not safe for concurrent
// use.
type FailureDetector struct {
	// SilenceTimeout is the time without a response after which a node may be removed.
	SilenceTimeout time.Duration
	// RemovalWindow is the time to which MaxRemovalShare applies.
	RemovalWindow time.Duration
	// MaxRemovalShare is the maximum fraction of the nodes that is removed within
	// RemovalWindow. One node may always be removed.
	MaxRemovalShare float64

	silent  map[string]time.Time // start of the silence, by node
	removed []time.Time
}

// MarkAlive records that a node responded to a probe.
func (d *FailureDetector) MarkAlive(id string) { delete(d.silent, id) }

// MarkSilent records that a node did not respond to a probe.
func (d *FailureDetector) MarkSilent(id string, now time.Time) {
	if d.silent == nil {
		d.silent = make(map[string]time.Time)
	}
	if _, ok := d.silent[id]; !ok {
		d.silent[id] = now
	}
}

// SilentCount returns the number of silent nodes.
func (d *FailureDetector) SilentCount() int { return len(d.silent) }

// TakeRemovals returns the nodes to remove now, those silent for longest first, given
// the number of known nodes. They count as removed.
func (d *FailureDetector) TakeRemovals(known int, now time.Time) []string {
	for len(d.removed) > 0 && now.Sub(d.removed[0]) >= d.RemovalWindow {
		d.removed = d.removed[1:]
	}
	var list []string
	for id, since := range d.silent {
		if now.Sub(since) >= d.SilenceTimeout {
			list = append(list, id)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := d.silent[list[i]], d.silent[list[j]]
		return a.Before(b) || a.Equal(b) && list[i] < list[j]
	})
	remaining := max(1, int(d.MaxRemovalShare*float64(known))) - len(d.removed)
	list = list[:max(0, min(len(list), remaining))]
	for _, id := range list {
		delete(d.silent, id)
		d.removed = append(d.removed, now)
	}
	return list
}

// Forget drops the state of a node.
func (d *FailureDetector) Forget(id string) { delete(d.silent, id) }

// Reset drops the state of all nodes: a node that is no longer probed may be alive.
func (d *FailureDetector) Reset() { clear(d.silent) }
