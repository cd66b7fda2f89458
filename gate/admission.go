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

// binding returns the upstream that the call goes to, or nil if there is none of its service
// beside this node.
func (c *call) binding() *binding {
	b := c.gate.current.Load()
	if b == nil || b.announcement.Service != c.in.Call.Service {
		return nil
	}
	return b
}

// admit gets a slot for the call, waiting for it if need be.
func (c *call) admit(ctx context.Context) (*admit.Ticket, *binding, *verdict.Error) {
	if c.binding() == nil {
		return nil, nil, verdict.New(verdict.Misrouted, nil)
	}
	t, err := c.enter(ctx)
	switch {
	case err == nil:
		b := c.binding() // the upstream may have started again meanwhile
		if b == nil {
			t.Release(false)
			return nil, nil, verdict.New(verdict.Misrouted, nil)
		}
		return t, b, nil
	case err.Cause == verdict.NoUpstream:
		// This gate does not know its service yet; another may.
		return nil, nil, verdict.New(verdict.Misrouted, err)
	}
	return nil, nil, err
}

// slowed returns why a call that has been admitted is sent elsewhere all the same:
// the upstream has just slowed down, which its sender could not know. A call that
// comes from elsewhere already is taken as it is.
func (g *Gate) checkSlowed(ctx context.Context, in *peer.Inbound) *verdict.Error {
	if g.ProbeLoad == nil || in.Call.Try != 1 {
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
