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
	f := &simulatedPeer{
		server: &peer.Server{HandleCall: call},
		host:   network.Host("gate"),
	}
	listener := f.host.Listen()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f.server.Run(ctx, listener) })
	from := network.Host("entry")
	f.client = &peer.Client{
		Addr:   "gate",
		Limits: peer.Limits{SilenceTimeout: silenceTimeout},
		Dial:   func(ctx context.Context, addr string) (net.Conn, error) { return from.Dial(ctx, addr) },
	}
	f.stop = func() {
		f.client.Close()
		_ = f.server.Quiesce(context.Background())
		cancel()
		running.Wait()
	}
	return f
}

// call makes a call and waits for its result.
func (f *simulatedPeer) call(target string, notice *peer.Notice) *verdict.Error {
	m := newCall()
	m.Target = target
	m.Notice = notice
	x, failed := f.client.Start(context.Background(), m, nil)
	if failed != nil {
		return failed
	}
	defer x.Close()
	_, failed = x.Wait()
	return failed
}

// TestReportsOfReplacedConnection guards against reports and notices that arrive late on a
// connection that has been replaced, and overwrite newer ones.
func TestReportsOfReplacedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedPeer(func(in *peer.InboundCall) {
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
		defer f.stop()
		var reports []int
		var notices []string
		f.client.OnReport = func(r peer.Report) { reports = append(reports, r.Running) }
		f.client.OnNotice = func(n *peer.Notice) { notices = append(notices, n.StartID) }
		qt.Assert(t, f.call("/first", nil) == nil, qt.IsTrue)
		var all sync.WaitGroup
		began := time.Now()
		all.Go(func() {
			failed := f.call("/old", nil)
			qt.Check(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			qt.Check(t, time.Since(began) > 1400*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
		})
		time.Sleep(50 * time.Millisecond)
		f.host.DropPackets(3)
		time.Sleep(silenceTimeout)
		f.server.BroadcastReport(&peer.Report{Running: 3}) // on the silent connection, as there is no other yet
		failed := f.call("/new", nil)
		qt.Check(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
		f.server.BroadcastReport(&peer.Report{Running: 4}) // on both
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
		f := newSimulatedPeer(func(in *peer.InboundCall) {
			if in.Call.Target == "/old" {
				time.Sleep(100 * time.Millisecond)
			} else {
				in.Notice = &peer.Notice{StartID: "new", Leaving: true}
			}
			_ = in.Reply(&peer.ResponseHead{Status: 200})
		})
		defer f.stop()
		var last *peer.Notice
		f.client.OnNotice = func(n *peer.Notice) { last = n }
		qt.Assert(t, f.call("/first", nil) == nil, qt.IsTrue)
		var all sync.WaitGroup
		all.Go(func() {
			failed := f.call("/old", &peer.Notice{StartID: "new", Leaving: true})
			qt.Check(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
		})
		time.Sleep(50 * time.Millisecond)
		f.host.DropPackets(3)
		time.Sleep(silenceTimeout)
		qt.Check(t, f.call("/new", nil) == nil, qt.IsTrue)
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
				f := newSimulatedPeer(func(in *peer.InboundCall) { <-in.Context().Done() })
				defer f.stop()
				var off time.Time
				go func() {
					for range test.silences {
						time.Sleep(time.Second)
						f.host.PauseLink(test.each)
						time.Sleep(test.each)
					}
					time.Sleep(time.Second)
					f.host.PowerOff()
					off = time.Now()
				}()
				m := newCall()
				m.Remaining = time.Hour
				x, failed := f.client.Start(context.Background(), m, nil)
				qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
				_, failed = x.Wait()
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, failed.Cause, qt.Equals, verdict.PeerLost)
				synctest.Wait()
				took := time.Since(off)
				qt.Check(t, !off.IsZero() && took <= silenceTimeout*5/4+userTimeout, qt.IsTrue, qt.Commentf("%v after the power loss", took))
				x.Close()
				time.Sleep(2 * time.Hour) // the server's connection ends at the call's deadline
			})
		})
	}
}
