// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// changeNotifier announces changes of the services. The zero value is ready to use.
type changeNotifier struct {
	mu   sync.Mutex
	next chan struct{}
}

// changed returns a channel that is closed at the next change.
func (n *changeNotifier) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next == nil {
		n.next = make(chan struct{})
	}
	return n.next
}

// notify announces a change.
func (n *changeNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next != nil {
		close(n.next)
		n.next = nil
	}
}

// discovering returns whether this node may still be unaware of other nodes.
func (d *Dispatcher) discovering() bool {
	if d.DiscoveryDone == nil {
		return false
	}
	select {
	case <-d.DiscoveryDone:
		return false
	default:
		return true
	}
}

// awaitService returns the service of a request, or nil. While this node discovers the others, it
// waits until the service has a member to which the request may be sent, as long as the request has
// time for that: only after the discovery is the absence of an upstream certain.
func (d *Dispatcher) awaitService(ctx context.Context, r *Request) *service {
	if !d.discovering() {
		return d.currentServices()[r.Service]
	}
	var timeout <-chan time.Time
	for {
		changed := d.changes.changed() // before the services are read, so that no change is missed
		s := d.currentServices()[r.Service]
		if s.hasMemberFor(r) || !d.discovering() || ctx.Err() != nil {
			return s
		}
		if timeout == nil {
			t := time.NewTimer(r.maxDiscoveryWait())
			defer t.Stop()
			timeout = t.C
		}
		if d.TriggerDiscovery != nil {
			d.TriggerDiscovery()
		}
		select {
		case <-changed:
		case <-d.DiscoveryDone:
		case <-d.stopping.done():
			return s
		case <-timeout:
			return s
		case <-ctx.Done():
		}
	}
}

// hasMemberFor returns whether the service has a member to which the request may be sent.
func (s *service) hasMemberFor(r *Request) bool {
	return s != nil && slices.ContainsFunc(s.Members, func(m Member) bool { return s.inRegions(m.ID, r.Regions) })
}

// maxDiscoveryWait returns how long the request may wait for a discovery: its remaining time less its
// objective, within which it is expected to be answered, and at least half of its remaining time.
func (r *Request) maxDiscoveryWait() time.Duration {
	left := time.Until(r.Deadline)
	if r.Objective == 0 {
		return left / 2
	}
	return max(left-r.Objective, left/2)
}
