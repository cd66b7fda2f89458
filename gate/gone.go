// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"
	"errors"
	"syscall"

	"sassafrasfront.example/quarantine"
)

// track records that the call is sent to its upstream.
func (c *call) track(b *binding) *quarantine.Run {
	print := c.in.Call.Print
	if print.Known() || !c.in.Call.Streams {
		return b.running.Begin(func() quarantine.Fingerprint { return print })
	}
	c.body = &quarantine.Body{
		Reader: c.in.Body(),
	}
	return b.running.Begin(func() quarantine.Fingerprint { return c.body.Fingerprint(print) })
}

// look finds out whether an upstream that has lost a request is still there. Connections
// may be cut for other reasons; only an upstream that is gone refuses new ones.
func (g *Gate) look(b *binding) {
	if !b.looking.CompareAndSwap(false, true) {
		return
	}
	defer b.looking.Store(false)
	if err := b.transport.Reach(context.Background()); errors.Is(err, syscall.ECONNREFUSED) {
		g.gone(b)
	}
}

// gone tells that an upstream has ended, with the requests that it may have ended under.
// One that drains ends as it was to.
func (g *Gate) gone(b *binding) {
	if g.Gone == nil || b.announcement.Draining {
		return
	}
	if prints := b.running.Take(); len(prints) > 0 {
		g.Gone(b.announcement, prints)
	}
}
