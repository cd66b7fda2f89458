// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// connCounter counts the connections that an entry node opens and closes.
type connCounter struct {
	mu             sync.Mutex
	opened, closed int
}

// counts returns how many connections have been opened and closed.
func (d *connCounter) counts() (opened, closed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened, d.closed
}

// dial returns a function that dials from h and counts the connections.
func (d *connCounter) dial(h *simnet.Host) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := h.Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.opened++
		return &countedConn{Conn: c, dials: d}, nil
	}
}

// countedConn is a connection that a connCounter has opened.
type countedConn struct {
	net.Conn
	dials *connCounter
	once  sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.dials.mu.Lock()
		defer c.dials.mu.Unlock()
		c.dials.closed++
	})
	return c.Conn.Close()
}

// TestSilentConnection guards against new calls over a silent connection, against calls that fail
// when another connection replaces it, and against silent connections that are never closed.
func TestSilentConnection(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimCluster(1, fastNetwork(), noRetryConfig(), 0)
				defer w.stop()
				w.handle = func(node string, in *peer.InboundCall) {
					work := 20 * time.Millisecond
					if in.Call.Target == "/old" {
						work = 400 * time.Millisecond
					}
					respondAfter(work)(node, in)
				}
				time.Sleep(time.Second)
				opened, _ := w.dials.counts()
				qt.Assert(t, opened, qt.Equals, 1)
				var all sync.WaitGroup
				began := time.Now()
				all.Go(func() {
					got, err := w.sendTo("/old", idempotent)
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, got, qt.Equals, "gate0")
					took := time.Since(began)
					qt.Check(t, took > 1400*time.Millisecond && took < 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
				})
				time.Sleep(100 * time.Millisecond)
				w.gates[0].DropPackets(3) // 1.4 s; other connections are not affected
				time.Sleep(linkSilence)
				for i := range 30 {
					all.Go(func() {
						began := time.Now()
						_, err := w.sendTo(fmt.Sprint("/", i), idempotent)
						qt.Check(t, err, qt.IsNil)
						took := time.Since(began)
						qt.Check(t, took <= 20*time.Millisecond+6*linkDelay, qt.IsTrue, qt.Commentf("request %d took %v", i, took))
					})
					time.Sleep(20 * time.Millisecond)
				}
				all.Wait()
				qt.Check(t, len(w.callsOf("/old")), qt.Equals, 1)
				time.Sleep(100 * time.Millisecond)
				opened, closed := w.dials.counts()
				qt.Check(t, opened, qt.Equals, 2)
				qt.Check(t, closed, qt.Equals, 1, qt.Commentf("the old connection is closed once it has no open calls"))
				_, err := w.sendTo("/new", idempotent)
				qt.Check(t, err, qt.IsNil)
				opened, _ = w.dials.counts()
				qt.Check(t, opened, qt.Equals, 2)
			})
		})
	}
}

// TestCallAtClosing guards against calls that fail because their connection is closed as idle, or
// replaced, at the moment at which they start.
func TestCallAtClosing(t *testing.T) {
	const idle = 2 * time.Second
	t.Run("idle", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			limits := peer.Limits{SilenceTimeout: linkSilence, HandshakeTimeout: linkHandshake, IdleTimeout: idle}
			w := newSimClusterWithin(limits, 1, fastNetwork(), noRetryConfig(), 0)
			defer w.stop()
			w.handle = respondAfter(10 * time.Millisecond)
			for i := -40; i <= 40; i++ {
				var all sync.WaitGroup
				for j := range 4 { // start at the moment of closing and around it
					all.Go(func() {
						time.Sleep(idle + time.Millisecond + time.Duration(i)*50*time.Microsecond + time.Duration(j)*time.Microsecond)
						_, err := w.sendTo(fmt.Sprint("/", i, "/", j), false)
						qt.Check(t, err, qt.IsNil, qt.Commentf("%v of %v", j, i))
					})
				}
				all.Wait()
			}
			opened, closed := w.dials.counts()
			qt.Check(t, opened > 20, qt.IsTrue, qt.Commentf("%d", opened))
			qt.Check(t, closed >= opened-1, qt.IsTrue, qt.Commentf("%d of %d", closed, opened))
			qt.Check(t, len(w.calls), qt.Equals, 81*4)
		})
	})
	t.Run("replaced", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newSimCluster(1, fastNetwork(), noRetryConfig(), 0)
			defer w.stop()
			w.handle = respondAfter(10 * time.Millisecond)
			for i := range 20 {
				time.Sleep(time.Second)
				var all sync.WaitGroup
				all.Go(func() { _, _ = w.sendTo(fmt.Sprint("/", i), false) })
				time.Sleep(5 * time.Millisecond)
				w.gates[0].DropPackets(3)
				for j := range 40 { // the connection is replaced while they start
					all.Go(func() {
						time.Sleep(linkSilence - 15*time.Millisecond + time.Duration(j)*time.Millisecond)
						_, err := w.sendTo(fmt.Sprint("/", i, "/", j), false)
						qt.Check(t, err, qt.IsNil, qt.Commentf("%v of %v", j, i))
					})
				}
				all.Wait()
			}
			opened, _ := w.dials.counts()
			qt.Check(t, opened >= 21, qt.IsTrue, qt.Commentf("%d", opened))
			qt.Check(t, len(w.calls), qt.Equals, 20*41)
		})
	})
	t.Run("member leaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newSimCluster(1, fastNetwork(), noRetryConfig(), 0)
			defer w.stop()
			w.handle = respondAfter(2 * time.Minute)
			r := w.request(false, 0)
			r.Deadline = time.Now().Add(5 * time.Minute)
			time.AfterFunc(time.Second, func() { w.dispatcher.SetServices(nil) })
			got, err := w.send(r)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, "gate0")
		})
	})
}

// hedgeConfig returns the configuration of a service whose slow requests are hedged.
func hedgeConfig() operator.Service {
	c := retryConfig()
	c.Hedge = operator.Hedge{Ratio: 1, Burst: 100, Quantile: 0.5, MinDelay: operator.Duration(50 * time.Millisecond)}
	return c
}

// recordLatency sends requests until the entry node has an estimate of their latency.
func (w *simCluster) recordLatency() {
	for i := range 100 {
		_, _ = w.sendTo(fmt.Sprint("/learn/", i), true)
	}
}

// TestWinnerOutlivesLoser guards against a response that is cut off when the other attempt of its
// request ends.
func TestWinnerOutlivesLoser(t *testing.T) {
	const size = 360 << 10
	whole := func(in *peer.InboundCall) {
		_ = in.BeginResponse(&peer.ResponseHead{Status: 200, Length: size})
		_ = in.CopyBody(bytes.NewReader(make([]byte, size)))
		_ = in.FinishResponse(nil)
	}
	for name, test := range map[string]struct {
		first  func(w *simCluster, node string, in *peer.InboundCall)
		second func(w *simCluster, node string, in *peer.InboundCall)
		winner int
	}{
		"first attempt responds later": {
			first:  func(_ *simCluster, _ string, in *peer.InboundCall) { time.Sleep(time.Second); whole(in) },
			second: func(_ *simCluster, _ string, in *peer.InboundCall) { whole(in) },
			winner: 1,
		},
		"first attempt's node loses power": {
			first: func(w *simCluster, node string, _ *peer.InboundCall) {
				w.Host(node).PowerOff()
				time.Sleep(time.Minute)
			},
			second: func(_ *simCluster, _ string, in *peer.InboundCall) { time.Sleep(10 * time.Second); whole(in) },
			winner: 1,
		},
		"first attempt's connection is reset": {
			first: func(w *simCluster, node string, _ *peer.InboundCall) {
				time.Sleep(time.Second)
				w.Host(node).ResetConnections()
			},
			second: func(_ *simCluster, _ string, in *peer.InboundCall) { time.Sleep(2 * time.Second); whole(in) },
			winner: 1,
		},
		"second attempt's connection is reset": {
			first:  func(_ *simCluster, _ string, in *peer.InboundCall) { time.Sleep(2 * time.Second); whole(in) },
			second: func(w *simCluster, node string, _ *peer.InboundCall) { w.Host(node).ResetConnections() },
		},
		"second attempt's node loses power": {
			first: func(_ *simCluster, _ string, in *peer.InboundCall) { time.Sleep(10 * time.Second); whole(in) },
			second: func(w *simCluster, node string, _ *peer.InboundCall) {
				w.Host(node).PowerOff()
				time.Sleep(time.Minute)
			},
		},
		"second attempt is refused": {
			first: func(_ *simCluster, _ string, in *peer.InboundCall) { time.Sleep(2 * time.Second); whole(in) },
			second: func(_ *simCluster, _ string, in *peer.InboundCall) {
				in.Fail(verdict.New(verdict.Refused, nil), nil)
			},
		},
		"both nodes silent, first attempt responds": {
			first: func(w *simCluster, node string, in *peer.InboundCall) {
				w.Host(node).PauseLink(1500 * time.Millisecond)
				time.Sleep(time.Second)
				whole(in)
			},
			second: func(w *simCluster, node string, _ *peer.InboundCall) {
				w.Host(node).PauseLink(2500 * time.Millisecond)
				time.Sleep(time.Minute)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimCluster(2, fastNetwork(), hedgeConfig(), 0)
				defer w.stop()
				w.handle = func(node string, in *peer.InboundCall) {
					switch {
					case in.Call.Target != "/":
						respondAfter(20*time.Millisecond)(node, in)
					case in.Call.Attempt == 1:
						test.first(w, node, in)
					case in.Call.Attempt == 2:
						test.second(w, node, in)
					default:
						time.Sleep(time.Minute)
					}
				}
				time.Sleep(time.Second)
				w.recordLatency()
				r := w.request(true, 0)
				result, failed := w.dispatcher.Do(context.Background(), r)
				qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
				defer result.Close()
				data, err := io.ReadAll(result.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, len(data), qt.Equals, size)
				qt.Check(t, result.Node, qt.Equals, w.callsOf("/")[test.winner].node)
			})
		})
	}
}

// TestSilenceWithinAnswer guards against responses that are cut off or given up because the link
// falls silent after they, or informational responses, have started to arrive.
func TestSilenceWithinAnswer(t *testing.T) {
	const (
		size    = 200 << 10
		silence = 1500 * time.Millisecond
	)
	// slowly sends a body in two halves, and makes the node silent between them.
	slowly := func(w *simCluster, node string, in *peer.InboundCall) {
		_ = in.BeginResponse(&peer.ResponseHead{Status: 200, Length: size})
		_ = in.CopyBody(bytes.NewReader(make([]byte, size/2)))
		time.Sleep(20 * time.Millisecond)
		w.Host(node).PauseLink(silence)
		time.Sleep(50 * time.Millisecond)
		_ = in.CopyBody(bytes.NewReader(make([]byte, size/2)))
		_ = in.FinishResponse(nil)
	}
	for name, test := range map[string]struct {
		handle        func(w *simCluster, node string, in *peer.InboundCall)
		attempts      int
		informational int
	}{
		"a response has begun": {handle: slowly, attempts: 1},
		"an informational response has arrived": {
			handle: func(w *simCluster, node string, in *peer.InboundCall) {
				_ = in.SendInformational(103, nil)
				time.Sleep(10 * time.Millisecond)
				w.Host(node).PauseLink(silence)
				_ = in.SendInformational(103, nil)
				time.Sleep(silence / 2)
				slowly(w, node, in)
			},
			attempts:      1,
			informational: 2,
		},
		"on the second attempt": {
			handle: func(w *simCluster, node string, in *peer.InboundCall) {
				if in.Call.Attempt == 1 {
					in.Fail(verdict.New(verdict.UpstreamLost, nil), nil)
					return
				}
				w.Host(node).PauseLink(silence)
				time.Sleep(2 * silence)
				slowly(w, node, in)
			},
			attempts: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := retryConfig()
				config.Retry.MaxAttempts = test.attempts
				w := newSimCluster(2, fastNetwork(), config, 0)
				defer w.stop()
				w.handle = func(node string, in *peer.InboundCall) { test.handle(w, node, in) }
				time.Sleep(time.Second)
				r := w.request(true, 0)
				informational := 0
				r.OnInformational = func(*peer.Informational) { informational++ }
				got, err := w.send(r)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, len(got), qt.Equals, size)
				qt.Check(t, entry.CountAttempts(r.Steps), qt.Equals, test.attempts)
				qt.Check(t, informational, qt.Equals, test.informational)
			})
		})
	}
}
