// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// slowListener is a listener whose Accept fails before Close has released its port.
type slowListener struct {
	net.Listener
	once   sync.Once
	ending chan struct{}
	closed atomic.Bool
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	<-l.ending
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *slowListener) Close() error {
	l.once.Do(func() {
		close(l.ending)
		time.Sleep(time.Second)
		l.closed.Store(true)
	})
	return nil
}

// TestListenerClosedAtEnd guards against a node that stops while its port is still taken, so
// that the next one at the same address does not start ("address already in use").
func TestListenerClosedAtEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowListener{ending: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		qt.Check(t, new(peer.Server).Run(ctx, l), qt.IsNil)
		qt.Check(t, l.closed.Load(), qt.IsTrue)
	})
}
