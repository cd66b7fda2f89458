// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// TestIdleConnectionIsNotSilent leaves a connection idle for longer than the silence timeout, and
// then has a call run on it across several checks for silence.
func TestIdleConnectionIsNotSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const silence = 200 * time.Millisecond
	s := &peer.Server{HandleCall: func(in *peer.InboundCall) {
		time.Sleep(silence * 2 / 3)
		_ = in.Reply(&peer.ResponseHead{Status: 200})
	}}
	go s.Run(ctx, listener)
	c := &peer.Client{Addr: listener.Addr().String(), Limits: peer.Limits{SilenceTimeout: silence}}
	defer c.Close()
	for range 3 {
		x, failure := c.Start(ctx, &peer.Call{Method: "GET", Target: "/", Remaining: time.Minute}, nil)
		qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		_, failure = x.Wait()
		qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		x.Close()
		time.Sleep(2 * silence)
	}
}
