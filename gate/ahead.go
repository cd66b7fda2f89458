// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/verdict"
)

// enter gets a slot for the call. If the body is sent ahead of admission and the call is likely
// to be admitted, the body is received first, so that no slot is held while it arrives.
func (c *call) enter(ctx context.Context) (*admit.Ticket, *verdict.Error) {
	m := c.in.Call
	if !m.EarlyBody {
		t := c.gate.admit.EnterFor(m.Organisation, m.Class, c.in.Deadline())
		c.in.OnRevoke(t.Revoke)
		return t, t.Wait(ctx)
	}
	t := c.gate.admit.EnterPendingBody(m.Organisation, m.Class, c.in.Deadline(), c.in.ExpectedTransferTime())
	receiving, stop := context.WithCancel(ctx)
	defer stop()
	c.in.OnRevoke(func() bool {
		revoked := t.Revoke()
		if revoked {
			stop()
		}
		return revoked
	})
	if err := t.Err(); err != nil {
		return t, err
	}
	bodyTime, err := c.in.ReceiveBody(receiving)
	if err != nil {
		t.Revoke()
		return t, verdict.New(verdict.Revoked, err)
	}
	c.bodyTime = bodyTime
	if c.gate.BodyReceived != nil {
		c.gate.BodyReceived(m.Service, m.Class, m.Length, bodyTime)
	}
	t.BodyArrived()
	return t, t.Wait(ctx)
}
