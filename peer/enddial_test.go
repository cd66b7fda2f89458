// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
)

// hookedConn calls a function before the first use of a connection.
type hookedConn struct {
	net.Conn
	hook   func()
	once   sync.Once
	closed atomic.Bool
}

func (c *hookedConn) SetReadDeadline(t time.Time) error {
	if t.After(time.Now()) {
		c.once.Do(c.hook)
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *hookedConn) Write(p []byte) (int, error) {
	c.once.Do(c.hook)
	return c.Conn.Write(p)
}

func (c *hookedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// TestDialEndsWhenClosed guards against a dial that goes on after its client was closed, as the handshake replaced the
// deadline by which the dial was ended.
func TestDialEndsWhenClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &simnet.Network{Latency: time.Millisecond, WindowBytes: 64 << 10}
		listener := network.Host("silent").Listen()
		defer listener.Close()
		var dialled *hookedConn
		c := &Client{Addr: "silent"}
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			raw, err := network.Host("node").Dial(ctx, addr)
			dialled = &hookedConn{Conn: raw}
			dialled.hook = func() {
				c.Close()
				time.Sleep(10 * time.Millisecond) // what ends the dial has run by then
			}
			return dialled, err
		}
		_, err := c.Request(t.Context(), "topic", nil)
		qt.Check(t, err, qt.IsNotNil)
		time.Sleep(50 * time.Millisecond)
		qt.Check(t, dialled.closed.Load(), qt.IsTrue)
		time.Sleep(2 * time.Second)
	})
}
