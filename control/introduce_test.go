// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// serve runs a state that responds to peers until the test ends, and returns its address and the
// counters of its traffic.
func serve(t *testing.T, c *Control) (string, *peer.Counters) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	counters := new(peer.Counters)
	server := &peer.Server{HandleControl: c.Handle, Counters: counters}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx, listener)
	}()
	go func() {
		for {
			select {
			case f := <-c.jobs:
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String(), counters
}

// TestFirstPeerBytesPerStart starts nodes that all know the same first peer. Where there are many
// nodes they must fetch the state of members of their zone, and the bytes that the first peer sends
// to each must not grow with the members. Where it knows few members, or none of them responds, the
// first peer sends the whole state.
func TestFirstPeerBytesPerStart(t *testing.T) {
	tests := map[string]struct {
		members int
		silent  bool // whether the members of the zone do not respond
		whole   bool // whether the first peer sends the whole state
	}{
		"a few":                        {members: 30, whole: true},
		"1000":                         {members: 1000},
		"3000":                         {members: 3000},
		"1000, none of which responds": {members: 1000, silent: true, whole: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const starts = 5
			first, near := sizedAs("first", test.members), sizedAs("near", test.members)
			nearAddr, nearBytes := serve(t, near)
			for i := range test.members {
				r := recordOf(i, test.members, 2)
				if r.Zone == "zone-3" && !test.silent {
					r.Addr = nearAddr
				}
				if r.Zone == "zone-3" && test.silent {
					r.Addr = "127.0.0.1:1"
				}
				first.members.Put(r)
				near.members.Put(r)
			}
			firstAddr, firstBytes := serve(t, first)
			for i := range starts {
				c := &Control{Budget: first.Budget, Published: func(*Snapshot) {}}
				c.Self = recordOf(100000+i, test.members, 1)
				c.Self.Zone = "zone-3"
				c.init()
				serve(t, c)
				qt.Assert(t, c.FetchState(context.Background(), []string{firstAddr}), qt.IsTrue)
				var known int
				c.do(func() { known = c.members.Set.Len() })
				qt.Check(t, known >= test.members, qt.IsTrue, qt.Commentf("%d", known))
			}
			each := int(firstBytes.BytesOut.Load()) / starts
			qt.Check(t, each > 100*test.members, qt.Equals, test.whole, qt.Commentf("%d bytes to each", each))
			qt.Check(t, test.whole || each < 3000, qt.IsTrue, qt.Commentf("%d bytes to each", each))
			qt.Check(t, nearBytes.BytesOut.Load() > 0, qt.Equals, !test.whole, qt.Commentf(fmt.Sprint(nearBytes.BytesOut.Load())))
		})
	}
}
