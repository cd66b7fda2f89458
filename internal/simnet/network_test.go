// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simnet_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
)

// latency is the latency of the network in tests.
const latency = time.Millisecond

// pair is a connection from one host to another.
type pair struct {
	a, b      *simnet.Host
	near, far net.Conn
}

// connect creates a pair on a network.
func connect(t *testing.T, n *simnet.Network) *pair {
	t.Helper()
	p := &pair{
		a: n.Host("a"),
		b: n.Host("b"),
	}
	listener := p.b.Listen()
	var err error
	p.near, err = p.a.Dial(context.Background(), "b")
	qt.Assert(t, err, qt.IsNil)
	p.far, err = listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	return p
}

// TestArrival sends bytes and checks when the last of them is read, and that they are
// unchanged.
func TestArrival(t *testing.T) {
	const bandwidth = 100_000
	for name, test := range map[string]struct {
		network *simnet.Network // nil for an unbounded one
		size    int
		fault   func(p *pair)
		want    time.Duration
	}{
		"one packet":                       {size: 100, want: latency},
		"one packet with a bandwidth":      {network: &simnet.Network{LinkBandwidth: bandwidth}, size: 1000, want: 20*time.Millisecond + latency},
		"many packets with a bandwidth":    {network: &simnet.Network{LinkBandwidth: bandwidth}, size: 150_000, want: 1515*time.Millisecond + latency},
		"link paused":                      {size: 100, fault: func(p *pair) { p.b.PauseLink(time.Second) }, want: time.Second + latency},
		"sender's uplink paused":           {size: 100, fault: func(p *pair) { p.a.PauseUplink(time.Second) }, want: time.Second + latency},
		"receiver's uplink paused":         {size: 100, fault: func(p *pair) { p.b.PauseUplink(time.Second) }, want: latency},
		"paused for less than UserTimeout": {network: &simnet.Network{UserTimeout: 2 * time.Second}, size: 100, fault: func(p *pair) { p.b.PauseLink(time.Second) }, want: time.Second + latency},
		"a packet is lost":                 {size: 100, fault: func(p *pair) { p.a.DropPackets(1) }, want: 200*time.Millisecond + latency},
		"a packet is lost three times":     {size: 5000, fault: func(p *pair) { p.a.DropPackets(3) }, want: 1400*time.Millisecond + latency},
		"receiver suspended":               {size: 100, fault: func(p *pair) { p.b.SuspendProcess(time.Second) }, want: time.Second},
		"sender suspended":                 {size: 100, fault: func(p *pair) { p.a.SuspendProcess(time.Second) }, want: time.Second + latency},
		"one window in flight":             {network: &simnet.Network{WindowBytes: 1500}, size: 4500, want: 5 * latency},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := test.network
				if network == nil {
					network = new(simnet.Network)
				}
				network.Latency = latency
				if network.WindowBytes == 0 {
					network.WindowBytes = 1 << 20
				}
				p := connect(t, network)
				if test.fault != nil {
					test.fault(p)
				}
				began := time.Now()
				sent := bytes.Repeat([]byte("0123456789abc"), test.size/13+1)[:test.size]
				go func() { _, _ = p.near.Write(sent) }()
				got := make([]byte, test.size)
				_, err := io.ReadFull(p.far, got)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, time.Since(began), qt.Equals, test.want)
				qt.Check(t, bytes.Equal(got, sent), qt.IsTrue)
				qt.Check(t, p.a.ConnFailures(), qt.HasLen, 0)
				qt.Check(t, p.near.Close(), qt.IsNil)
				_, err = p.far.Read(got)
				qt.Check(t, err, qt.Equals, io.EOF)
			})
		})
	}
}

// TestConnFailure fails connections in several ways, and checks when the sender of some bytes
// detects that, and with which error.
func TestConnFailure(t *testing.T) {
	const timeout = 2 * time.Second
	for name, test := range map[string]struct {
		fault  func(p *pair)
		silent bool // whether nothing is written
		want   error
		after  time.Duration
	}{
		"power off":                          {fault: func(p *pair) { p.b.PowerOff() }, want: syscall.ETIMEDOUT, after: timeout},
		"paused for longer than UserTimeout": {fault: func(p *pair) { p.b.PauseLink(timeout + time.Second) }, want: syscall.ETIMEDOUT, after: timeout},
		"no acknowledgement":                 {fault: func(p *pair) { p.b.PauseUplink(timeout + time.Second) }, want: syscall.ETIMEDOUT, after: timeout},
		"reset":                              {fault: func(p *pair) { p.b.ResetConnections() }, want: syscall.ECONNRESET, after: latency},
		"reset over a paused link":           {fault: func(p *pair) { p.b.PauseLink(time.Second); p.b.ResetConnections() }, want: syscall.ECONNRESET, after: time.Second + latency},
		"closed with bytes in flight":        {fault: func(p *pair) { _ = p.far.Close() }, want: io.EOF, after: latency},
		"silenced":                           {fault: func(p *pair) { p.b.SilenceConnections() }, want: syscall.ETIMEDOUT, after: timeout},
		"silenced before a reset":            {fault: func(p *pair) { p.a.SilenceConnections(); p.b.ResetConnections() }, want: syscall.ETIMEDOUT, after: timeout},
		"silenced with nothing to send":      {fault: func(p *pair) { p.b.SilenceConnections() }, silent: true},
		"power off with nothing to send":     {fault: func(p *pair) { p.b.PowerOff() }, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := connect(t, &simnet.Network{Latency: latency, WindowBytes: 1 << 20, UserTimeout: timeout})
				test.fault(p)
				began := time.Now()
				if !test.silent {
					_, err := p.near.Write(make([]byte, 100))
					qt.Assert(t, err, qt.IsNil)
				}
				_ = p.near.SetReadDeadline(began.Add(time.Minute))
				_, err := p.near.Read(make([]byte, 1))
				if test.silent {
					qt.Check(t, errors.Is(err, context.DeadlineExceeded) || isTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
					qt.Check(t, p.a.ConnFailures(), qt.HasLen, 0)
					return
				}
				qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, test.after)
				if test.want != io.EOF {
					qt.Check(t, p.a.ConnFailures(), qt.DeepEquals, []simnet.ConnFailure{{Peer: "b", At: time.Now(), Err: test.want}}, qt.Commentf("%v", err))
				}
			})
		})
	}
}

// TestSilenceConnections checks that bytes in flight are lost, and that a connection opened afterwards works.
func TestSilenceConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Network{
			Latency:     latency,
			WindowBytes: 1 << 20,
		}
		before := connect(t, n)
		_, err := before.near.Write([]byte("lost"))
		qt.Assert(t, err, qt.IsNil)
		before.a.SilenceConnections()
		after := connect(t, n)
		_, err = after.near.Write([]byte("arrives"))
		qt.Assert(t, err, qt.IsNil)
		got := make([]byte, len("arrives"))
		_, err = io.ReadFull(after.far, got)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, "arrives")
		_ = before.far.SetReadDeadline(time.Now().Add(time.Minute))
		_, err = before.far.Read(got)
		qt.Check(t, isTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// TestFullBuffer writes to a host that does not read: the buffers are filled, and the rest is
// written once it reads, or never.
func TestFullBuffer(t *testing.T) {
	const (
		window  = 10_000
		buffer  = 20_000
		timeout = 2 * time.Second
	)
	for name, test := range map[string]struct {
		reads   time.Duration // when the receiver starts to read, or 0
		written int
		want    error
		after   time.Duration
	}{
		"read in time":           {reads: time.Second, written: 100_000, after: time.Second},
		"read after UserTimeout": {reads: 3 * time.Second, written: window + buffer, want: syscall.ETIMEDOUT, after: timeout + 2*latency},
		"write deadline passes":  {written: window + buffer, want: errTimeout, after: timeout / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := connect(t, &simnet.Network{Latency: latency, WindowBytes: window, SendBufferBytes: buffer, UserTimeout: timeout})
				began := time.Now()
				if test.reads > 0 {
					time.AfterFunc(test.reads, func() { _, _ = io.Copy(io.Discard, p.far) })
				} else {
					_ = p.near.SetWriteDeadline(began.Add(timeout / 2))
				}
				n, err := p.near.Write(make([]byte, 100_000))
				took := time.Since(began)
				qt.Check(t, n, qt.Equals, test.written)
				switch test.want {
				case nil:
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, took >= test.after, qt.IsTrue, qt.Commentf("%v", took))
				case errTimeout:
					qt.Check(t, isTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
					qt.Check(t, took, qt.Equals, test.after)
				default:
					qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
					qt.Check(t, took, qt.Equals, test.after)
				}
				_ = p.near.Close()
				time.Sleep(time.Minute)
				_ = p.far.Close()
			})
		})
	}
}

// TestDial opens connections to hosts that accept none.
func TestDial(t *testing.T) {
	for name, test := range map[string]struct {
		fault func(h *simnet.Host)
		want  error
		after time.Duration
	}{
		"no listener":      {fault: func(*simnet.Host) {}, want: syscall.ECONNREFUSED, after: 2 * latency},
		"listener closed":  {fault: func(h *simnet.Host) { _ = h.Listen().Close() }, want: syscall.ECONNREFUSED, after: 2 * latency},
		"host powered off": {fault: func(h *simnet.Host) { h.Listen(); h.PowerOff() }, want: context.DeadlineExceeded, after: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &simnet.Network{Latency: latency, WindowBytes: 1 << 20}
				test.fault(n.Host("b"))
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				began := time.Now()
				_, err := n.Host("a").Dial(ctx, "b")
				qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, test.after)
			})
		})
	}
}

// errTimeout represents the error of an operation whose deadline has passed.
var errTimeout = errors.New("deadline")

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout() && !errors.Is(err, syscall.ETIMEDOUT)
}
