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

func TestSetUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	c, err := tcp.Dialer(time.Second, 700*time.Millisecond).Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	for _, userTimeout := range []time.Duration{0, 300 * time.Millisecond} {
		qt.Assert(t, tcp.SetUserTimeout(c, userTimeout), qt.IsNil)
		raw, err := c.(*net.TCPConn).SyscallConn()
		qt.Assert(t, err, qt.IsNil)
		var got int
		err = raw.Control(func(fd uintptr) {
			got, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, int(userTimeout.Milliseconds()))
	}
	c.Close()
	qt.Check(t, tcp.SetUserTimeout(c, 0), qt.IsNotNil)
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	qt.Check(t, tcp.SetUserTimeout(pipe, 0), qt.IsNil, qt.Commentf("not a socket"))
}

// TestUnacknowledgedBytes writes to a peer that reads nothing: its kernel acknowledges only
// what it has room for.
func TestUnacknowledgedBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	peer, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer peer.Close()
	_, err = c.Write([]byte("little"))
	qt.Assert(t, err, qt.IsNil)
	for n := -1; n != 0; {
		n, err = tcp.UnacknowledgedBytes(c)
		qt.Assert(t, err, qt.IsNil)
	}
	data := make([]byte, 1<<20)
	for n := 0; n == 0; {
		qt.Assert(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
		_, _ = c.Write(data) // fails once the buffers are full
		n, err = tcp.UnacknowledgedBytes(c)
		qt.Assert(t, err, qt.IsNil)
	}
	c.Close()
	_, err = tcp.UnacknowledgedBytes(c)
	qt.Check(t, err, qt.IsNotNil)
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	_, err = tcp.UnacknowledgedBytes(pipe)
	qt.Check(t, err, qt.IsNotNil, qt.Commentf("not a socket"))
}
