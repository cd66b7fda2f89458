// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// binding returns the binding for the call, or nil if no upstream of its service runs beside this
// node.
func (c *call) binding() *binding {
	b := c.gate.current.Load()
	if b == nil || b.announcement.Service != c.in.Call.Service {
		return nil
	}
	return b
}

// admit gets a slot for the call, and waits for one if necessary.
func (c *call) admit(ctx context.Context) (*admit.Ticket, *binding, *verdict.Error) {
	if c.binding() == nil {
		return nil, nil, verdict.New(verdict.Misrouted, nil)
	}
	t, err := c.enter(ctx)
	switch {
	case err == nil:
		b := c.binding() // the upstream may have restarted meanwhile
		if b == nil {
			t.Release(false)
			return nil, nil, verdict.New(verdict.Misrouted, nil)
		}
		return t, b, nil
	case err.Cause == verdict.NoUpstream:
		// This gate has no configuration for its service yet; another node may have one.
		return nil, nil, verdict.New(verdict.Misrouted, err)
	}
	return nil, nil, err
}

// checkSlowed returns a failure if an admitted call must be sent to another node after all, because
// the upstream has just slowed down and the sender could not know that yet. Only the first attempt of
// a request is checked; a later one is accepted.
func (g *Gate) checkSlowed(ctx context.Context, in *peer.InboundCall) *verdict.Error {
	if g.ProbeLoad == nil || in.Call.Attempt != 1 {
		return nil
	}
	if g.admit.SlowdownAge() > maxSpeedAge {
		g.ProbeLoad(ctx)
	}
	if !g.admit.SlowedWithin(propagationTime) {
		return nil
	}
	return verdict.New(verdict.Slowed, nil)
}
