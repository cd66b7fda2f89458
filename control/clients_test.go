// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
)

// TestConnectionsAreReleased has a node meet others when it starts, of which some become
// neighbours. It must keep no connection to the rest.
func TestConnectionsAreReleased(t *testing.T) {
	tests := map[string]struct {
		members int
		met     int // number of members that the node has met
	}{
		"as many as neighbours": {members: 10, met: 3},
		"many":                  {members: 1000, met: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := sizedAs("fresh", test.members)
			near := make(map[string]bool)
			for _, r := range c.neighbours.All() {
				near[r.Addr] = true
			}
			kept := 0
			for i := range test.met {
				addr := recordOf(i, test.members, 1).Addr
				c.client(addr)
				c.release(addr)
				if near[addr] {
					kept++
				}
			}
			qt.Check(t, c.clients, qt.HasLen, kept)
		})
	}
}

// TestTemporaryClient has a node fetch the state of others. It must keep the connection to one that
// has become a neighbour, and close all others at once.
func TestTemporaryClient(t *testing.T) {
	tests := map[string]struct {
		neighbour, client bool // whether the other node is a neighbour, or already has a client
		kept              bool
	}{
		"another node":         {},
		"a neighbour":          {neighbour: true, kept: true},
		"a node with a client": {client: true, kept: true},
		"both":                 {neighbour: true, client: true, kept: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			c := sizedAs("fresh", 30)
			serve(t, c)
			first := sizedAs("first", 30)
			addr, counters := serve(t, first)
			c.do(func() {
				c.neighbours.Clear()
				if test.client {
					c.client(addr)
				}
				if test.neighbour {
					c.neighbours.Consider(member.Record{
						ID:   "first",
						Zone: c.Self.Zone,
						Addr: addr,
					}, c.nodeCounts())
				}
			})
			var p *peer.Client
			var release func()
			c.do(func() { p, release = c.temporaryClient(addr) })
			_, err := peer.SendRequest[struct{}, rootHashes](ctx, p, topicRoots, struct{}{})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, counters.BytesOut.Load() > 0, qt.IsTrue)
			release()
			var kept bool
			c.do(func() { kept = c.clients[addr] == p })
			qt.Check(t, kept, qt.Equals, test.kept)
			_, err = peer.SendRequest[struct{}, rootHashes](ctx, p, topicRoots, struct{}{})
			qt.Check(t, err == nil, qt.Equals, test.kept)
		})
	}
}
