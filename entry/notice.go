// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasfront.example/peer"
)

// noticeLife is how long after it was told last a notice is kept. An upstream that leaves goes on
// answering for many seconds, and one that names a limit tells it with each answer.
const noticeLifetime = 10 * time.Minute

// notices is what the upstreams beside other nodes have said of the requests that they want. They
// outlast the connection to a node and its process: the next process there learns from calls what
// was said to the one before. The zero value is empty.
type notices struct {
	count atomic.Int64 // so that nothing is locked while there are none

	mu     sync.Mutex
	byNode map[string]ReceivedNotice
}

// Heard is what the upstream beside a node has said of the requests that it wants, and when that
// was told last.
type ReceivedNotice struct {
	Node       string
	Notice     *peer.Notice
	ReceivedAt time.Time
}

// set replaces what the upstream beside a node has said. Nil stands for nothing.
func (n *notices) set(node string, notice *peer.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if notice == nil {
		delete(n.byNode, node)
		n.count.Store(int64(len(n.byNode)))
		return
	}
	now := time.Now()
	if _, known := n.byNode[node]; !known {
		maps.DeleteFunc(n.byNode, func(_ string, h ReceivedNotice) bool { return now.Sub(h.ReceivedAt) > noticeLifetime })
	}
	if n.byNode == nil {
		n.byNode = make(map[string]ReceivedNotice)
	}
	n.byNode[node] = ReceivedNotice{
		Node:       node,
		Notice:     notice,
		ReceivedAt: now,
	}
	n.count.Store(int64(len(n.byNode)))
}

// Notices returns what the upstreams beside other nodes have said.
func (d *Dispatcher) Notices() []ReceivedNotice {
	n := &d.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.byNode))
}

// of returns what the upstream beside a node has said, or nil.
func (n *notices) get(node string) *peer.Notice {
	if n.count.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byNode[node].Notice
}
