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

// noticeLifetime is how long a notice is kept after it was last received. An upstream that is leaving
// keeps responding for many seconds, and one with a limit repeats its notice with each response.
const noticeLifetime = 10 * time.Minute

// notices holds the latest notice of each node's upstream about the requests that it accepts. A
// notice outlives the connection to the node and the node's process: a new process of the node
// learns from calls which notice its predecessor received. The zero value is empty.
type notices struct {
	count atomic.Int64 // lets get skip the lock while there are none

	mu     sync.Mutex
	byNode map[string]ReceivedNotice
}

// ReceivedNotice is a notice of a node's upstream about the requests that it accepts, and when it was
// last received.
type ReceivedNotice struct {
	Node       string
	Notice     *peer.Notice
	ReceivedAt time.Time
}

// set replaces the notice of a node's upstream. Nil removes it.
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
		maps.DeleteFunc(n.byNode, func(_ string, r ReceivedNotice) bool { return now.Sub(r.ReceivedAt) > noticeLifetime })
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

// Notices returns the latest notices of the other nodes' upstreams.
func (d *Dispatcher) Notices() []ReceivedNotice {
	n := &d.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.byNode))
}

// get returns the notice of a node's upstream, or nil.
func (n *notices) get(node string) *peer.Notice {
	if n.count.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byNode[node].Notice
}
