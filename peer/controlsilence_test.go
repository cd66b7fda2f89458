// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/peer"
)

// controlPair is a control client and the server that it sends requests to, on a simulated network.
type controlPair struct {
	network *simnet.Network
	client  *peer.Client
	handled int                  // requests
	silent  []*peer.SilenceError // found by the client
}

// newControlPair returns a pair whose server replies to each request with its payload. It must be called in a bubble.
func newControlPair(t *testing.T, limits peer.Limits) *controlPair {
	p := &controlPair{network: &simnet.Network{
		Latency:     time.Millisecond,
		WindowBytes: 64 << 10,
		UserTimeout: time.Minute,
	}}
	listener := p.network.Host("b").Listen()
	s := &peer.Server{HandleControl: func(_ context.Context, _ peer.Hello, r *peer.Request) ([]byte, error) {
		p.handled++
		return r.Payload, nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx, listener)
	}()
	p.client = &peer.Client{
		Addr:      "b",
		Hello:     peer.Hello{Control: true},
		Limits:    limits,
		Dial:      p.network.Host("a").Dial,
		OnSilence: func(e *peer.SilenceError) { p.silent = append(p.silent, e) },
	}
	t.Cleanup(func() {
		p.client.Close()
		cancel()
		<-done
	})
	return p
}

// TestControlSilenceIsReported has a connection fall silent between two requests: the second one ends, and the silence is
// reported once.
func TestControlSilenceIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newControlPair(t, peer.Limits{SilenceTimeout: time.Second})
		_, err := p.client.Request(t.Context(), "echo", []byte("x"), false)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, p.silent, qt.HasLen, 0)
		p.network.Host("a").SilenceConnections()
		_, err = p.client.Request(t.Context(), "echo", []byte("x"), false)
		qt.Check(t, err == nil || errors.As(err, new(*peer.SilenceError)), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, p.silent, qt.HasLen, 1)
		qt.Check(t, p.silent[0].Pending, qt.Equals, 1)
		qt.Check(t, p.silent[0].Silence, qt.Equals, time.Second)
	})
}
