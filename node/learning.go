// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"time"

	"sassafrasfront.example/internal/sleep"
)

const (
	// learningTime is how long a node that has started may not have heard of the others. A node
	// that is still alone then is taken to be so after aloneLooks looks into the book of contacts:
	// where the platform or the process is slow, fewer tell nothing.
	discoveryTime      = 2 * time.Second
	minLookups         = 3
	aloneCheckInterval = 50 * time.Millisecond
)

// awaitLearnt closes n.learnt once the node has had the time to learn of the others, or ctx ends.
func (n *Node) awaitDiscovery(ctx context.Context) {
	defer close(n.discoveryDone)
	if n.control.API == nil && n.discovery == nil && len(n.control.Contacts) == 0 {
		return // there is nobody to learn from
	}
	sleep.For(ctx, discoveryTime)
	for ctx.Err() == nil && n.discovery != nil && n.control.Isolated() && n.discovery.Lookups() < minLookups {
		sleep.For(ctx, aloneCheckInterval)
	}
}

// seek has the node learn of others now: what its neighbours know, and who stands in the book of
// contacts.
func (n *Node) triggerDiscovery() {
	n.control.TriggerComparison()
	n.discovery.Trigger()
}

// acquainted returns whether the node knows another, or has had the time to learn of one.
func (n *Node) hasDiscovered() bool {
	select {
	case <-n.discoveryDone:
		return true
	default:
		return n.control.Nodes() > 1
	}
}
