// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// simulatedPeer is a client and a server on a simulated network.
type simulatedPeer struct {
	client *peer.Client
	server *peer.Server
	host   *simnet.Host // the server's
	stop   func()
}

const (
	silenceTimeout = 600 * time.Millisecond
	userTimeout    = 3 * time.Second
)

// newSimulatedPeer starts a server and creates a client of it.
func newSimulatedPeer(call func(in *peer.InboundCall)) *simulatedPeer {
	network := &simnet.Network{Latency: time.Millisecond, WindowBytes: 256 << 10, UserTimeout: userTimeout}
	p := &simulatedPeer{
		server: &peer.Server{HandleCall: call},
		host:   network.Host("gate"),
	}
	listener := p.host.Listen()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = p.server.Run(ctx, listener) })
	from := network.Host("entry")
	p.client = &peer.Client{
		Addr:   "gate",
		Limits: peer.Limits{SilenceTimeout: silenceTimeout},
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return from.Dial(ctx, addr) },
	}
	p.stop = func() {
		p.client.Close()
		_ = p.server.Quiesce(context.Background())
		cancel()
		running.Wait()
	}
	return p
}

// call makes a call and waits for its result.
func (p *simulatedPeer) call(target string, notice *peer.Notice) *verdict.Error {
	m := newCall()
	m.Target = target
	m.Notice = notice
	x, failure := p.client.Start(context.Background(), m, nil)
	if failure != nil {
		return failure
	}
	defer x.Close()
	_, failure = x.Wait()
	return failure
}

// TestReportsOfReplacedConnection guards against reports and notices that arrive late on a
// connection that has been replaced, and overwrite newer ones.
func TestReportsOfReplacedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSimulatedPeer(func(in *peer.InboundCall) {
			running := 2
			start := "new"
			if in.Call.Target == "/old" {
				time.Sleep(100 * time.Millisecond)
				running = 1
				start = "old"
			}
			in.Notice = &peer.Notice{StartID: start, Leaving: true}
			_ = in.Reply(&peer.ResponseHead{Status: 200, Report: &peer.Report{Running: running}})
		})
		defer p.stop()
		var reports []int
		var notices []string
		p.client.OnReport = func(r peer.Report) { reports = append(reports, r.Running) }
		p.client.OnNotice = func(n *peer.Notice) { notices = append(notices, n.StartID) }
		qt.Assert(t, p.call("/first", nil) == nil, qt.IsTrue)
		var all sync.WaitGroup
		began := time.Now()
		all.Go(func() {
			failure := p.call("/old", nil)
			qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			qt.Check(t, time.Since(began) > 1400*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
		})
		time.Sleep(50 * time.Millisecond)
		p.host.DropPackets(3)
		time.Sleep(silenceTimeout)
		p.server.BroadcastReport(&peer.Report{Running: 3}) // on the silent connection, as there is no other yet
		failure := p.call("/new", nil)
		qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		p.server.BroadcastReport(&peer.Report{Running: 4}) // on both
		all.Wait()
		time.Sleep(time.Second)
		qt.Check(t, reports, qt.DeepEquals, []int{2, 2, 4})
		qt.Check(t, notices, qt.DeepEquals, []string{"new", "new"})
	})
}

// TestNoNoticeOnReplacedConnection guards against a response without a notice that arrives late
// on a connection that has been replaced, and clears a newer notice.
func TestNoNoticeOnReplacedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newSimulatedPeer(func(in *peer.InboundCall) {
			if in.Call.Target == "/old" {
				time.Sleep(100 * time.Millisecond)
			} else {
				in.Notice = &peer.Notice{StartID: "new", Leaving: true}
			}
			_ = in.Reply(&peer.ResponseHead{Status: 200})
		})
		defer p.stop()
		var last *peer.Notice
		p.client.OnNotice = func(n *peer.Notice) { last = n }
		qt.Assert(t, p.call("/first", nil) == nil, qt.IsTrue)
		var all sync.WaitGroup
		all.Go(func() {
			failure := p.call("/old", &peer.Notice{StartID: "new", Leaving: true})
			qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		})
		time.Sleep(50 * time.Millisecond)
		p.host.DropPackets(3)
		time.Sleep(silenceTimeout)
		qt.Check(t, p.call("/new", nil) == nil, qt.IsTrue)
		all.Wait()
		qt.Check(t, last, qt.IsNotNil)
	})
}

// TestPingsContinue guards against a call that is not known to be lost because no more pings
// are sent once the peer is silent, or once it has sent something again.
func TestPingsContinue(t *testing.T) {
	for name, test := range map[string]struct {
		silences int           // of the peer, before it loses power
		each     time.Duration // how long
	}{
		"at once":                {},
		"after a short silence":  {silences: 1, each: silenceTimeout * 3 / 4},
		"after a long silence":   {silences: 1, each: userTimeout - silenceTimeout},
		"after several silences": {silences: 4, each: 2 * silenceTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newSimulatedPeer(func(in *peer.InboundCall) { <-in.Context().Done() })
				defer p.stop()
				var poweredOffAt time.Time
				go func() {
					for range test.silences {
						time.Sleep(time.Second)
						p.host.PauseLink(test.each)
						time.Sleep(test.each)
					}
					time.Sleep(time.Second)
					p.host.PowerOff()
					poweredOffAt = time.Now()
				}()
				m := newCall()
				m.Remaining = time.Hour
				x, failure := p.client.Start(context.Background(), m, nil)
				qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				_, failure = x.Wait()
				qt.Assert(t, failure != nil, qt.IsTrue)
				qt.Check(t, failure.Cause, qt.Equals, verdict.PeerLost)
				synctest.Wait()
				took := time.Since(poweredOffAt)
				qt.Check(t, !poweredOffAt.IsZero() && took <= silenceTimeout*5/4+userTimeout, qt.IsTrue, qt.Commentf("%v after the power loss", took))
				x.Close()
				time.Sleep(2 * time.Hour) // the server's connection ends at the call's deadline
			})
		})
	}
}
