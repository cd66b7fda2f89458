// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/peer"
)

// stalledSetup is a server and two nodes that send calls to it, on a simulated network with
// small buffers.
type stalledSetup struct {
	server      *peer.Server
	healthy     *peer.Client
	stalled     *peer.Client
	stalledHost *simnet.Host
	stop        func()
}

func newStalledSetup(limits peer.Limits, call func(in *peer.InboundCall)) *stalledSetup {
	network := &simnet.Network{Latency: time.Millisecond, WindowBytes: 64 << 10, SendBufferBytes: 64 << 10}
	host := network.Host("gate")
	s := &stalledSetup{
		server: &peer.Server{Limits: limits, HandleCall: call},
	}
	listener := host.Listen()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.server.Run(ctx, listener)
	}()
	client := func(name string) (*peer.Client, *simnet.Host) {
		from := network.Host(name)
		return &peer.Client{
			Addr:   "gate",
			Hello:  peer.Hello{Node: name},
			Limits: peer.Limits{SilenceTimeout: silenceTimeout},
			Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return from.Dial(ctx, addr) },
		}, from
	}
	s.healthy, _ = client("healthy")
	s.stalled, s.stalledHost = client("stalled")
	s.stop = func() {
		s.healthy.Close()
		s.stalled.Close()
		cancel()
		<-done
	}
	return s
}

// sendLarge sends a response larger than what the buffers and the window hold.
func sendLarge(in *peer.InboundCall) {
	_ = in.BeginResponse(&peer.ResponseHead{Status: 200, Length: -1})
	_ = in.CopyBody(bytes.NewReader(make([]byte, 1<<20)))
	_ = in.FinishResponse(nil)
}

// TestReportNotBlockedByStalledNode guards against a load report that blocks its sender, such
// as the response that reported the load, because another node reads nothing.
func TestReportNotBlockedByStalledNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStalledSetup(peer.Limits{}, sendLarge)
		defer s.stop()
		x, failure := s.stalled.Start(context.Background(), newCall(), nil)
		qt.Assert(t, failure == nil, qt.IsTrue)
		defer x.Close()
		s.stalledHost.SuspendProcess(4 * time.Second)
		time.Sleep(time.Second)
		began := time.Now()
		s.server.BroadcastReport(&peer.Report{Running: 1})
		qt.Check(t, time.Since(began) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		time.Sleep(time.Minute)
	})
}

// TestCreditNotBlockedByStalledNode guards against a healthy connection that is not read, and
// so looks silent, while credit for a body is written to another node that reads nothing.
func TestCreditNotBlockedByStalledNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := peer.Limits{MaxInFlightBytes: 16 << 10}
		s := newStalledSetup(limits, func(in *peer.InboundCall) {
			if in.Call.Target == "/large" {
				sendLarge(in)
				return
			}
			echo(in)
		})
		defer s.stop()
		start := func(client *peer.Client, target string, size int) *peer.Exchange {
			m := newCall()
			m.Target = target
			m.Remaining = 20 * time.Second
			m.Streams = size > 0
			m.Length = int64(size)
			x, failure := client.Start(context.Background(), m, bytes.NewReader(make([]byte, size)))
			qt.Assert(t, failure == nil, qt.IsTrue)
			return x
		}
		for range 4 {
			defer start(s.stalled, "/large", 0).Close()
		}
		first := start(s.healthy, "/", 150<<10)
		defer first.Close()
		time.Sleep(time.Millisecond)
		defer start(s.stalled, "/", 150<<10).Close()
		time.Sleep(2 * time.Millisecond)
		s.stalledHost.SuspendProcess(4 * time.Second)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		x := start(s.healthy, "/", 0)
		defer x.Close()
		_, failure := x.Wait()
		qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		qt.Check(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("small call took %v", time.Since(began)))
		time.Sleep(time.Minute)
	})
}

// TestRevokePastBlockedWriter guards against a request that neither is answered nor ends at its
// deadline, because its Revoke waits to be written to a peer that reads nothing.
func TestRevokePastBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &simnet.Network{Latency: time.Millisecond, WindowBytes: 64 << 10, SendBufferBytes: 64 << 10}
		host := network.Host("gate")
		server := &peer.Server{HandleCall: func(in *peer.InboundCall) {
			if in.Call.Streams {
				echo(in)
				return
			}
			time.Sleep(200 * time.Millisecond)
			_ = in.Reply(&peer.ResponseHead{Status: 200})
		}}
		listener := host.Listen()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = server.Run(ctx, listener) }()
		from := network.Host("entry")
		c := &peer.Client{
			Addr: "gate",
			Dial: func(ctx context.Context, addr string) (net.Conn, error) { return from.Dial(ctx, addr) },
		}
		defer c.Close()
		m := newCall()
		m.Streams = true
		m.Length = -1
		upload, failure := c.Start(context.Background(), m, bytes.NewReader(make([]byte, 1<<20)))
		qt.Assert(t, failure == nil, qt.IsTrue)
		defer upload.Close()
		x, failure := c.Start(context.Background(), newCall(), nil)
		qt.Assert(t, failure == nil, qt.IsTrue)
		defer x.Close()
		time.Sleep(3 * time.Millisecond)
		from.PauseUplink(2 * time.Second)
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		x.Revoke()
		qt.Check(t, time.Since(began) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		time.Sleep(time.Minute)
	})
}

// TestCancelledWhileStarting guards against calls that run to their end although their caller
// has left, because they are written after their Cancel.
func TestCancelledWhileStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running, begun atomic.Int32
		p := newSimulatedPeer(func(in *peer.InboundCall) {
			begun.Add(1)
			running.Add(1)
			<-in.Context().Done()
			running.Add(-1)
		})
		defer p.stop()
		qt.Assert(t, p.client.Connect(context.Background()), qt.IsNil)
		for range 1000 {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			x, failure := p.client.Start(ctx, newCall(), nil)
			if failure == nil {
				x.Close()
			}
		}
		time.Sleep(time.Second)
		qt.Check(t, int(running.Load()), qt.Equals, 0, qt.Commentf("of %d calls that arrived", begun.Load()))
		time.Sleep(time.Minute)
	})
}

// TestResponsePastBlockedWriter guards against a response that has arrived and is not passed
// on, because the credit for the rest of it waits to be written to a peer that reads nothing.
func TestResponsePastBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 400 << 10
		network := &simnet.Network{Latency: time.Millisecond, WindowBytes: 64 << 10, SendBufferBytes: 64 << 10}
		host := network.Host("gate")
		server := &peer.Server{HandleCall: func(in *peer.InboundCall) {
			if in.Call.Streams {
				echo(in)
				return
			}
			_ = in.BeginResponse(&peer.ResponseHead{Status: 200, Length: size})
			_ = in.CopyBody(bytes.NewReader(make([]byte, size)))
			_ = in.FinishResponse(nil)
		}}
		listener := host.Listen()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = server.Run(ctx, listener) }()
		from := network.Host("entry")
		c := &peer.Client{
			Addr: "gate",
			Dial: func(ctx context.Context, addr string) (net.Conn, error) { return from.Dial(ctx, addr) },
		}
		defer c.Close()
		x, failure := c.Start(context.Background(), newCall(), nil)
		qt.Assert(t, failure == nil, qt.IsTrue)
		defer x.Close()
		time.Sleep(50 * time.Millisecond) // what there is credit for has arrived
		m := newCall()
		m.Streams = true
		m.Length = -1
		upload, failure := c.Start(context.Background(), m, bytes.NewReader(make([]byte, 1<<20)))
		qt.Assert(t, failure == nil, qt.IsTrue)
		defer upload.Close()
		time.Sleep(3 * time.Millisecond)
		from.PauseUplink(2 * time.Second)
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		r, failure := x.Wait()
		qt.Assert(t, failure == nil, qt.IsTrue)
		n, err := io.CopyN(io.Discard, r.Body, 200<<10)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, int64(200<<10))
		qt.Check(t, time.Since(began) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		time.Sleep(time.Minute)
	})
}
