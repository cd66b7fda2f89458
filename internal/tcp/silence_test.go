// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package tcp_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"sassafrasfront.example/internal/tcp"
)

func TestSetSilence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	c, err := tcp.Dialer(time.Second, 700*time.Millisecond).Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	for _, silence := range []time.Duration{0, 300 * time.Millisecond} {
		qt.Assert(t, tcp.SetSilence(c, silence), qt.IsNil)
		raw, err := c.(*net.TCPConn).SyscallConn()
		qt.Assert(t, err, qt.IsNil)
		var got int
		err = raw.Control(func(fd uintptr) {
			got, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, int(silence.Milliseconds()))
	}
	c.Close()
	qt.Check(t, tcp.SetSilence(c, 0), qt.IsNotNil)
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	qt.Check(t, tcp.SetSilence(pipe, 0), qt.IsNil, qt.Commentf("no socket"))
}
