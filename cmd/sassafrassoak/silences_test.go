// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSilenceOpen checks that a proxy loses what is sent on open connections, and forwards what is sent on new ones.
func TestSilenceOpen(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer target.Close()
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy(target.Addr().String(), 0)
	qt.Assert(t, err, qt.IsNil)
	defer p.close()
	echo := func(c net.Conn) error {
		_, err := c.Write([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadFull(c, make([]byte, 1))
		return err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.addr())
		qt.Assert(t, err, qt.IsNil)
		return c
	}
	before := dial()
	defer before.Close()
	qt.Assert(t, echo(before), qt.IsNil)
	p.silenceOpen()
	after := dial()
	defer after.Close()
	qt.Check(t, echo(after), qt.IsNil)
	qt.Assert(t, before.SetReadDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
	err = echo(before)
	var timeout net.Error
	qt.Assert(t, err, qt.ErrorAs, &timeout)
	qt.Check(t, timeout.Timeout(), qt.IsTrue)
}
