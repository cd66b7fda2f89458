// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

func TestClientPool(t *testing.T) {
	var c peer.ClientPool
	qt.Check(t, c.Get("a"), qt.IsNil)
	a := c.GetOrCreate("a", "127.0.0.1:1")
	qt.Check(t, c.GetOrCreate("a", "127.0.0.1:1") == a, qt.IsTrue)
	qt.Check(t, c.Get("a") == a, qt.IsTrue)
	moved := c.GetOrCreate("a", "127.0.0.1:2")
	qt.Check(t, moved == a, qt.IsFalse)
	qt.Check(t, moved.Addr, qt.Equals, "127.0.0.1:2")
	for i := range 5 {
		c.GetOrCreate(fmt.Sprint(i), "127.0.0.1:3")
	}
	wanted := func(node string) bool { return node == "a" }
	c.Prune(6, wanted)
	qt.Check(t, c.Get("4"), qt.IsNotNil)
	c.Prune(1, wanted)
	qt.Check(t, c.Get("4"), qt.IsNil)
	qt.Check(t, c.Get("a") == moved, qt.IsTrue)
	c.Prune(0, wanted)
	qt.Check(t, c.Get("a") == moved, qt.IsTrue, qt.Commentf("it is wanted"))
	c.Close()
}
