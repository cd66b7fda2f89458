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
	learningTime = 2 * time.Second
	aloneLooks   = 3
	aloneCheck   = 50 * time.Millisecond
)

// awaitLearnt closes n.learnt once the node has had the time to learn of the others, or ctx ends.
func (n *Node) awaitLearnt(ctx context.Context) {
	defer close(n.learnt)
	if n.control.API == nil && n.discovery == nil && len(n.control.Contacts) == 0 {
		return // there is nobody to learn from
	}
	sleep.For(ctx, learningTime)
	for ctx.Err() == nil && n.discovery != nil && n.control.Isolated() && n.discovery.Lookups() < aloneLooks {
		sleep.For(ctx, aloneCheck)
	}
}

// seek has the node learn of others now: what its neighbours know, and who stands in the book of
// contacts.
func (n *Node) seek() {
	n.control.TriggerComparison()
	n.discovery.Trigger()
}

// acquainted returns whether the node knows another, or has had the time to learn of one.
func (n *Node) acquainted() bool {
	select {
	case <-n.learnt:
		return true
	default:
		return n.control.Nodes() > 1
	}
}
