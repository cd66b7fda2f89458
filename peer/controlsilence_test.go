// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
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
	delay   time.Duration // of replies
	handled atomic.Int64  // requests
	opened  int           // connections
	silent  atomic.Int64  // silences found by the client
}

// largeReplyBytes is the size of the reply to a request with the topic large.
const largeReplyBytes = 200_000

// newControlPair returns a pair whose server replies to each request with its payload. It must be called in a bubble.
func newControlPair(t *testing.T, limits peer.Limits) *controlPair {
	p := &controlPair{network: &simnet.Network{
		Latency:     time.Millisecond,
		WindowBytes: 64 << 10,
		UserTimeout: time.Minute,
	}}
	listener := p.network.Host("b").Listen()
	s := &peer.Server{HandleControl: func(_ context.Context, _ peer.Hello, r *peer.Request) ([]byte, error) {
		p.handled.Add(1)
		time.Sleep(p.delay)
		if r.Topic == "large" {
			return make([]byte, largeReplyBytes), nil
		}
		return r.Payload, nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx, listener)
	}()
	p.client = &peer.Client{
		Addr:   "b",
		Hello:  peer.Hello{Control: true},
		Limits: limits,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			p.opened++
			return p.network.Host("a").Dial(ctx, addr)
		},
		OnSilence: func(*peer.SilenceError) { p.silent.Add(1) },
	}
	t.Cleanup(func() {
		p.client.Close()
		cancel()
		<-done
	})
	return p
}

// TestControlSilence guards against requests that are lost on a connection that has fallen silent, or that wait for it: the
// incident CONFIG. It has connections fall silent, or the peer be slow, before a request.
func TestControlSilence(t *testing.T) {
	const silence = 200 * time.Millisecond
	for name, row := range map[string]struct {
		fault    func(p *controlPair)
		within   time.Duration
		handled  int // requests at most, the one before the fault included
		reported int // silences
		opened   int // connections
	}{
		"undisturbed":         {func(*controlPair) {}, 5 * time.Millisecond, 2, 0, 1},
		"connection silent":   {func(p *controlPair) { p.network.Host("a").SilenceConnections() }, silence + 10*time.Millisecond, 2, 1, 2},
		"peer slow":           {func(p *controlPair) { p.delay = 2 * silence }, 2*silence + 10*time.Millisecond, 3, 1, 2},
		"peer suspended":      {func(p *controlPair) { p.network.Host("b").SuspendProcess(2 * silence) }, 2*silence + 10*time.Millisecond, 3, 1, 2},
		"a packet lost":       {func(p *controlPair) { p.network.Host("a").DropPackets(1) }, silence + 10*time.Millisecond, 3, 1, 2},
		"silent twice":        {silentTwice, 3*silence + 10*time.Millisecond, 3, 2, 3},
		"connections are cut": {func(p *controlPair) { p.network.Host("b").ResetConnections() }, 10 * time.Millisecond, 2, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newControlPair(t, peer.Limits{SilenceTimeout: silence})
				_, err := p.client.Request(t.Context(), "echo", []byte("x"))
				qt.Assert(t, err, qt.IsNil)
				row.fault(p)
				time.Sleep(10 * time.Millisecond)
				began, received := time.Now(), p.client.ReceivedBytes()
				reply, err := p.client.Request(t.Context(), "echo", []byte("y"))
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, string(reply), qt.Equals, "y")
				qt.Check(t, time.Since(began) <= row.within, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				qt.Check(t, p.client.ReceivedBytes() > received, qt.IsTrue, qt.Commentf("the count goes on over connections that are replaced"))
				time.Sleep(5 * time.Second)
				qt.Check(t, p.silent.Load(), qt.Equals, int64(row.reported))
				qt.Check(t, p.handled.Load() <= int64(row.handled), qt.IsTrue, qt.Commentf("%d handled", p.handled.Load()))
				qt.Check(t, p.opened, qt.Equals, row.opened)
			})
		})
	}
}

// silentTwice silences the open connection, and the one that replaces it.
func silentTwice(p *controlPair) {
	p.network.Host("a").SilenceConnections()
	time.AfterFunc(215*time.Millisecond, p.network.Host("a").SilenceConnections)
}

// TestRequestPending checks that a request that ends while the peer is not silent is told from one to a silent peer: only the
// latter is suspected of having failed.
func TestRequestPending(t *testing.T) {
	const silence = 200 * time.Millisecond
	for name, row := range map[string]struct {
		fault   func(p *controlPair)
		timeout time.Duration
		pending bool
	}{
		"peer slow":        {func(p *controlPair) { p.delay = silence }, silence / 2, true},
		"peer powered off": {func(p *controlPair) { p.network.Host("b").PowerOff() }, 5 * silence, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newControlPair(t, peer.Limits{SilenceTimeout: silence})
				_, err := p.client.Request(t.Context(), "echo", []byte("x"))
				qt.Assert(t, err, qt.IsNil)
				row.fault(p)
				ctx, cancel := context.WithTimeout(t.Context(), row.timeout)
				defer cancel()
				_, err = p.client.Request(ctx, "echo", []byte("y"))
				qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, errors.Is(err, peer.ErrPending), qt.Equals, row.pending)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestProbe checks idle connections: one that has fallen silent is replaced before the next request, which does not wait for it.
func TestProbe(t *testing.T) {
	const silence = 200 * time.Millisecond
	for name, row := range map[string]struct {
		silenced bool
		opened   int
	}{
		"undisturbed":       {false, 1},
		"connection silent": {true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newControlPair(t, peer.Limits{SilenceTimeout: silence})
				p.client.Probe() // there is no connection
				_, err := p.client.Request(t.Context(), "echo", []byte("x"))
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(time.Second)
				if row.silenced {
					p.network.Host("a").SilenceConnections()
				}
				p.client.Probe()
				time.Sleep(silence + 10*time.Millisecond)
				qt.Check(t, p.silent.Load() > 0, qt.Equals, row.silenced)
				began := time.Now()
				_, err = p.client.Request(t.Context(), "echo", []byte("y"))
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, time.Since(began) <= 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				qt.Check(t, p.opened, qt.Equals, row.opened)
			})
		})
	}
}

// TestRequestsShorterThanSilence guards against requests whose time is shorter than the silence timeout, each of which is sent on
// the same silent connection: only the first one may be lost.
func TestRequestsShorterThanSilence(t *testing.T) {
	const silence = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		p := newControlPair(t, peer.Limits{SilenceTimeout: silence})
		_, err := p.client.Request(t.Context(), "echo", []byte("x"))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second)
		p.network.Host("a").SilenceConnections()
		for i := range 5 {
			ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
			_, err := p.client.Request(ctx, "echo", []byte("y"))
			qt.Check(t, err == nil, qt.Equals, i > 0, qt.Commentf("request %d: %v", i, err))
			cancel()
			time.Sleep(100 * time.Millisecond)
		}
		qt.Check(t, p.opened, qt.Equals, 2)
	})
}

// TestProgressTimeout guards against a bound on the whole time of a reply whose size others choose: a request over a slow link ends
// for lack of progress alone.
func TestProgressTimeout(t *testing.T) {
	const timeout = time.Second
	for name, row := range map[string]struct {
		fault func(p *controlPair)
		ok    bool
		took  time.Duration
	}{
		"a reply that takes ten times as long": {func(*controlPair) {}, true, 10 * timeout},
		"a peer that loses power meanwhile":    {func(p *controlPair) { p.network.Host("b").PowerOff() }, false, 3 * timeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newControlPair(t, peer.Limits{})
				_, err := p.client.Request(t.Context(), "echo", []byte("x"))
				qt.Assert(t, err, qt.IsNil)
				p.network.Host("b").SetBandwidth(largeReplyBytes / 10)
				time.AfterFunc(2*timeout, func() { row.fault(p) })
				ctx, cancel := p.client.WithProgressTimeout(t.Context(), timeout)
				defer cancel()
				began := time.Now()
				reply, err := p.client.Request(ctx, "large", nil)
				qt.Check(t, err == nil, qt.Equals, row.ok, qt.Commentf("%v", err))
				took := time.Since(began)
				qt.Check(t, took >= row.took && took <= row.took+timeout, qt.IsTrue, qt.Commentf("%v", took))
				qt.Check(t, len(reply) == largeReplyBytes, qt.Equals, row.ok)
			})
		})
	}
}
