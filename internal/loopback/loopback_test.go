// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package loopback_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/loopback"
)

// TestFreeAddrIsNotTakenByConnections guards against a server of a test that does not start as an outgoing connection of
// another test has its port.
func TestFreeAddrIsNotTakenByConnections(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	given := make(map[string]bool)
	for range 300 {
		addr := loopback.FreeAddr()
		qt.Assert(t, given[addr], qt.IsFalse)
		given[addr] = true
		c, err := net.Dial("tcp", server.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		from, _, err := net.SplitHostPort(c.LocalAddr().String())
		qt.Assert(t, err, qt.IsNil)
		at, _, err := net.SplitHostPort(addr)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, at, qt.Not(qt.Equals), from)
	}
}
