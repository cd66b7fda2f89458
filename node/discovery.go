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
	// discoveryTime is how long a node that has started may take to discover other nodes. A
	// node that is still isolated after that waits for minLookups lookups in the contact registry:
	// where the platform or the process is slow, fewer do not show that there are no others.
	discoveryTime          = 2 * time.Second
	minLookups             = 3
	isolationCheckInterval = 50 * time.Millisecond
)

// awaitDiscovery closes n.discoveryDone once the node has had the time to discover other nodes,
// or ctx ends.
func (n *Node) awaitDiscovery(ctx context.Context) {
	defer close(n.discoveryDone)
	if n.standalone() {
		return // there are no other nodes to discover
	}
	sleep.For(ctx, discoveryTime)
	for ctx.Err() == nil && n.discovery != nil && n.control.Isolated() && n.discovery.Lookups() < minLookups {
		sleep.For(ctx, isolationCheckInterval)
	}
}

// standalone returns whether the node has neither a platform nor first peers.
func (n *Node) standalone() bool {
	return n.control.API == nil && n.discovery == nil && len(n.control.Contacts) == 0
}

// awaitNoOthers closes n.noOthers once the node has had the time to discover other nodes, or knows that
// there are none, or ctx ends.
func (n *Node) awaitNoOthers(ctx context.Context) {
	defer close(n.noOthers)
	tick := time.NewTicker(isolationCheckInterval)
	defer tick.Stop()
	for n.contactRegistry == nil || len(n.control.Contacts) > 0 || !n.contactRegistry.ListsNone() {
		select {
		case <-ctx.Done():
			return
		case <-n.discoveryDone:
			return
		case <-tick.C:
		}
	}
}

// triggerDiscovery makes the node look for other nodes now: among those that its neighbours know,
// and in the contact registry.
func (n *Node) triggerDiscovery() {
	n.control.TriggerComparison()
	n.discovery.Trigger()
}

// hasDiscovered returns whether the node knows another node, or has had the time to discover one.
func (n *Node) hasDiscovered() bool {
	select {
	case <-n.discoveryDone:
		return true
	default:
		return n.control.Nodes() > 1
	}
}
