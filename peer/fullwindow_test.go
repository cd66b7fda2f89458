// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/tcp"
	"sassafrasfront.example/peer"
)

// pausableListener is a listener whose connections can be kept from being read.
type pausableListener struct {
	net.Listener
	mu sync.RWMutex // held while nothing is read
}

// Accept implements net.Listener.
func (l *pausableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
	return &pausableConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

// pausableConn is a connection of a pausableListener.
type pausableConn struct {
	*net.TCPConn
	listener *pausableListener
}

// Read implements net.Conn.
func (c *pausableConn) Read(p []byte) (int, error) {
	c.listener.mu.RLock()
	defer c.listener.mu.RUnlock()
	return c.TCPConn.Read(p)
}

// TestPeerReadsNothing guards against calls that are given up (peerLost) at a node which runs a
// call and reads nothing for longer than AckTimeout and WriteTimeout, until its receive window is
// full: its kernel acknowledges all the while.
func TestPeerReadsNothing(t *testing.T) {
	tests := map[string]peer.Limits{
		"longer than AckTimeout":   {SilenceTimeout: 400 * time.Millisecond, AckTimeout: 2 * time.Second},
		"longer than WriteTimeout": {SilenceTimeout: 400 * time.Millisecond, AckTimeout: 8 * time.Second, WriteTimeout: time.Second},
	}
	for name, limits := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			l := &pausableListener{Listener: raw}
			ctx, cancel := context.WithCancel(context.Background())
			finish := make(chan struct{})
			server := &peer.Server{HandleCall: func(in *peer.InboundCall) {
				<-finish
				_ = in.Reply(&peer.ResponseHead{Status: 200, Body: []byte("done")})
			}}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = server.Run(ctx, l)
			}()
			defer func() {
				cancel()
				<-done
			}()
			var sock net.Conn
			client := &peer.Client{
				Addr:   raw.Addr().String(),
				Limits: limits,
				Dial: func(ctx context.Context, addr string) (net.Conn, error) {
					c, err := tcp.Dialer(time.Second, limits.AckTimeout).DialContext(ctx, "tcp", addr)
					if err == nil {
						_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
					}
					sock = c
					return c, err
				},
			}
			defer client.Close()
			start := func(size int) *peer.Exchange {
				m := newCall()
				m.Remaining = time.Minute
				m.Body = make([]byte, size)
				x, failure := client.Start(context.Background(), m, nil)
				qt.Assert(t, failure == nil, qt.IsTrue)
				return x
			}
			exchanges := []*peer.Exchange{start(1)}
			l.mu.Lock()
			blocked := make(chan *peer.Exchange, 1)
			go func() { // the write blocks on the full window
				m := newCall()
				m.Remaining = time.Minute
				m.Body = make([]byte, 500<<10)
				x, failure := client.Start(context.Background(), m, nil)
				qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				blocked <- x
			}()
			for full := false; !full; time.Sleep(time.Millisecond) {
				a, err := tcp.ReadAckState(sock)
				full = err == nil && a.PeerWindowFull && a.Outstanding
			}
			time.Sleep(5 * time.Second)
			l.mu.Unlock()
			close(finish)
			if x := <-blocked; x != nil {
				exchanges = append(exchanges, x)
			}
			for _, x := range exchanges {
				_, failure := x.Wait()
				qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				x.Close()
			}
		})
	}
}
