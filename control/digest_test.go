// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// connect returns a client through which one state reaches another, and the counters of its
// traffic. It runs both states until the test ends.
func connect(t *testing.T, one, other *Control) (*peer.Client, *peer.Counters) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &peer.Server{HandleControl: other.Handle}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx, listener)
	}()
	for _, c := range []*Control{one, other} {
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
	}
	counters := new(peer.Counters)
	client := &peer.Client{Addr: listener.Addr().String(), Hello: peer.Hello{Control: true}, Counters: counters}
	t.Cleanup(func() {
		client.Close()
		cancel()
		<-done
	})
	return client, counters
}

// TestComparisonBytes compares the states of two nodes that each have changes unknown to the
// other, as while many nodes start or return. One comparison must find all of them. The bytes sent
// may grow with the changes, and by a few bytes for each member, whichever members have changed,
// but not with the size of the whole state.
func TestComparisonBytes(t *testing.T) {
	const (
		perMember = 12  // a digest and the framing
		perChange = 450 // the newer record, and the older one or its digest
		fixed     = 3000
	)
	tests := map[string]struct {
		members, changed int // changed on each of the two nodes
	}{
		"100, a few changed":    {members: 100, changed: 3},
		"100, most changed":     {members: 100, changed: 45},
		"1000, a few changed":   {members: 1000, changed: 3},
		"1000, a tenth changed": {members: 1000, changed: 50},
		"1000, half changed":    {members: 1000, changed: 250},
		"4000, a few changed":   {members: 4000, changed: 20},
		"4000, a tenth changed": {members: 4000, changed: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, other := sized(test.members), sizedAs("other", test.members)
			now := uint64(time.Now().UnixNano())
			for i := range test.members {
				r := recordOf(i, test.members, 1)
				r.Incarnation = now
				for _, c := range []*Control{one, other} {
					c.members.Put(r)
				}
				r.Version = 2
				switch {
				case i < test.changed:
					one.members.Put(r)
				case i < 2*test.changed:
					other.members.Put(r)
				}
			}
			client, counters := connect(t, one, other)
			qt.Assert(t, one.members.Reconcile(context.Background(), client), qt.IsNil)
			qt.Assert(t, one.members.Reconcile(context.Background(), client), qt.IsNil, qt.Commentf("finds no difference after the first comparison"))
			var a, b uint64
			one.do(func() { a = one.members.Set.RootHash() })
			other.do(func() { b = other.members.Set.RootHash() })
			qt.Check(t, a, qt.Equals, b, qt.Commentf("the states must be equal"))
			crossed := int(counters.BytesIn.Load() + counters.BytesOut.Load())
			most := fixed + perMember*test.members + perChange*2*test.changed
			qt.Check(t, crossed <= most, qt.IsTrue, qt.Commentf("%d bytes, bound %d", crossed, most))
		})
	}
}

// TestComparisonOfNewNode has a node that has met no other fetch all records and send its own.
func TestComparisonOfNewNode(t *testing.T) {
	for _, n := range []int{10, 1000, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			fresh, old := sizedAs("fresh", 6), sized(max(n, 6))
			fresh.members.Put(recordOf(99999, 6, 1))
			client, _ := connect(t, fresh, old)
			for range 2 {
				qt.Assert(t, fresh.members.Reconcile(context.Background(), client), qt.IsNil)
			}
			var a, b uint64
			fresh.do(func() { a = fresh.members.Set.RootHash() })
			old.do(func() { b = old.members.Set.RootHash() })
			qt.Check(t, a, qt.Equals, b)
		})
	}
}
