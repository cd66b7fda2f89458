// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member

import (
	"sort"
	"time"
)

// Liveness decides which silent nodes are removed. A cut-off part of the
// network looks like many dead nodes, so the removals are slow and bounded. The
// exported fields are set before the first call. It is not safe for use by
// several goroutines at once.
type FailureDetector struct {
	// Patience is the time of silence after which a node may be removed.
	SilenceTimeout time.Duration
	// Every is the time over which MaxShare of the nodes may be removed.
	RemovalWindow time.Duration
	// MaxShare is the largest part of the nodes that is removed within Every;
	// one node always may.
	MaxRemovalShare float64

	silent  map[string]time.Time // since when
	removed []time.Time
}

// Heard records that the node gave a sign of life.
func (l *FailureDetector) MarkAlive(id string) { delete(l.silent, id) }

// Missed records that the node gave no sign when asked.
func (l *FailureDetector) MarkSilent(id string, now time.Time) {
	if l.silent == nil {
		l.silent = make(map[string]time.Time)
	}
	if _, ok := l.silent[id]; !ok {
		l.silent[id] = now
	}
}

// Silent returns the number of nodes that are silent now.
func (l *FailureDetector) SilentCount() int { return len(l.silent) }

// Due returns the nodes to remove now, those silent for longest first, given
// the number of nodes that are known. They count as removed.
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

// Forget drops what is known of a node that is no longer there.
func (l *FailureDetector) Forget(id string) { delete(l.silent, id) }

// Reset drops all silence that is known: a node that is asked no longer may be well.
func (l *FailureDetector) Reset() { clear(l.silent) }
