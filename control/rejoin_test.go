// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/member"
)

// TestRestartWithoutContacts guards against a node that is never contacted again. It restarts on its
// address during an outage of the platform, without first peers, when all others regard it as
// removed or silent.
func TestRestartWithoutContacts(t *testing.T) {
	tests := map[string]struct {
		nodes int
		stop  func(c *cluster, n *testNode) // returns once the other nodes have noticed
	}{
		"it left and all know":                  {nodes: 4, stop: stopAndWait},
		"it left and the only other node knows": {nodes: 2, stop: stopAndWait},
		"it left a large cluster and all know":  {nodes: 24, stop: stopAndWait},
		"it was killed":                         {nodes: 12, stop: killAndWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.registry = emptyRegistry
			start := func(id, zone, addr string, contacts ...string) *testNode {
				l, err := net.Listen("tcp", addr)
				qt.Assert(t, err, qt.IsNil)
				return c.addAtWith(l, id, zone, func(k *Control) {
					k.API = nil
					k.Contacts = contacts
				})
			}
			first := start("n0", "z0", "127.0.0.1:0")
			for i := 1; i < test.nodes; i++ {
				start(fmt.Sprint("n", i), fmt.Sprint("z", i%2), "127.0.0.1:0", first.Self.Addr)
			}
			for _, n := range c.nodes {
				c.waitKnows(n, test.nodes)
			}
			test.stop(c, first)
			again := start("n0", "z0", first.Self.Addr)
			c.nodes = c.nodes[1:]
			for _, n := range c.nodes {
				c.waitKnows(n, test.nodes)
			}
			qt.Check(t, again.Isolated(), qt.IsFalse)
		})
	}
}

// stopAndWait stops a node and waits until all other nodes know that it has left and have dropped
// it from their neighbours.
func stopAndWait(c *cluster, n *testNode) {
	n.stop()
	c.eventually("all nodes know that it has left", func() bool {
		return c.others(n, func(o *testNode) bool {
			r, ok := o.members.Set.Get(n.Self.ID)
			return (!ok || r.State == member.Left) && !o.neighbours.HasAddress(n.Self.Addr)
		})
	})
}

// killAndWait kills a node and waits until all other nodes suspect it or have removed it.
func killAndWait(c *cluster, n *testNode) {
	n.kill()
	c.eventually("all nodes suspect or have removed it", func() bool {
		return c.others(n, func(o *testNode) bool {
			_, suspected := o.suspects[n.Self.ID]
			r, _ := o.members.Set.Get(n.Self.ID)
			return (suspected || !r.Live()) && !o.neighbours.HasAddress(n.Self.Addr)
		})
	})
}

// others returns whether f, called on the goroutine that owns the state, holds for all nodes but n.
func (c *cluster) others(n *testNode, f func(o *testNode) bool) bool {
	for _, o := range c.nodes {
		good := o == n
		if !good {
			o.do(func() { good = f(o) })
		}
		if !good {
			return false
		}
	}
	return true
}
