// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// TestHandshakesInProgress guards against connections that say nothing and take all descriptors of a process:
// those that have waited longest are closed, and a peer that comes after them is served.
func TestHandshakesInProgress(t *testing.T) {
	const maxHandshakes, silent = 20, 60
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &peer.Server{
		Limits: peer.Limits{
			MaxHandshakes:    maxHandshakes,
			HandshakeTimeout: time.Hour,
		},
		HandleCall: func(in *peer.InboundCall) { _ = in.Reply(&peer.ResponseHead{Status: 200}) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = server.Run(ctx, listener)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	closed := make(chan struct{}, silent)
	for range silent {
		c, err := net.Dial("tcp", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		go func() {
			_, _ = io.Copy(io.Discard, c)
			closed <- struct{}{}
		}()
	}
	for i := range silent - maxHandshakes {
		select {
		case <-closed:
		case <-time.After(30 * time.Second):
			t.Fatalf("%d of %d connections are closed", i, silent-maxHandshakes)
		}
	}
	client := &peer.Client{Addr: listener.Addr().String()}
	defer client.Close()
	x, failure := client.Start(t.Context(), &peer.Call{Service: "s", Method: "GET", Target: "/", Remaining: time.Minute}, nil)
	qt.Assert(t, failure == nil, qt.IsTrue)
	response, failure := x.Wait()
	qt.Assert(t, failure == nil, qt.IsTrue)
	qt.Check(t, response.Status, qt.Equals, 200)
	select {
	case <-closed:
	case <-time.After(30 * time.Second):
		t.Fatal("the peer has not taken the place of another one")
	}
}
