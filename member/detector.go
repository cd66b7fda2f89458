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
	// SilenceTimeout is the time without an answer after which a node may be removed.
	SilenceTimeout time.Duration
	// RemovalWindow is the time to which MaxRemovalShare applies.
	RemovalWindow time.Duration
	// MaxRemovalShare is the maximum fraction of the nodes that is removed within
	// RemovalWindow. One node may always be removed.
	MaxRemovalShare float64

	silent  map[string]time.Time // start of the silence, by node
	removed []time.Time
}

// MarkAlive records that a node answered.
func (l *FailureDetector) MarkAlive(id string) { delete(l.silent, id) }

// MarkSilent records that a node did not answer a probe.
func (l *FailureDetector) MarkSilent(id string, now time.Time) {
	if l.silent == nil {
		l.silent = make(map[string]time.Time)
	}
	if _, ok := l.silent[id]; !ok {
		l.silent[id] = now
	}
}

// SilentCount returns the number of silent nodes.
func (l *FailureDetector) SilentCount() int { return len(l.silent) }

// TakeRemovals returns the nodes to remove now, those silent for longest first, given
// the number of known nodes. They count as removed.
func (l *FailureDetector) TakeRemovals(known int, now time.Time) []string {
	for len(l.removed) > 0 && now.Sub(l.removed[0]) >= l.RemovalWindow {
		l.removed = l.removed[1:]
	}
	var list []string
	for id, since := range l.silent {
		if now.Sub(since) >= l.SilenceTimeout {
			list = append(list, id)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := l.silent[list[i]], l.silent[list[j]]
		return a.Before(b) || a.Equal(b) && list[i] < list[j]
	})
	remaining := max(1, int(l.MaxRemovalShare*float64(known))) - len(l.removed)
	list = list[:max(0, min(len(list), remaining))]
	for _, id := range list {
		delete(l.silent, id)
		l.removed = append(l.removed, now)
	}
	return list
}

// Forget drops the state of a node.
func (l *FailureDetector) Forget(id string) { delete(l.silent, id) }

// Reset drops the state of all nodes: a node that is no longer probed may be alive.
func (l *FailureDetector) Reset() { clear(l.silent) }
