// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"fmt"
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

const (
	// linkCheckInterval is how often a connection with open calls is checked for silence.
	linkCheckInterval = linkSilence / 4
	// linkDelay is the one-way delay of a packet.
	linkDelay = time.Millisecond
	// linkLossTime is the longest time from the last byte sent by an instance that loses power until
	// the requests at it fail.
	linkLossTime = linkSilence + linkTimeout + linkCheckInterval
)

// fastNetwork returns a network without a rate limit.
func fastNetwork() *simnet.Network {
	return &simnet.Network{Latency: linkDelay, WindowBytes: linkWindow, UserTimeout: linkTimeout}
}

// retryConfig returns the configuration of a service whose requests may be retried.
func retryConfig() operator.Service {
	return operator.Service{Retry: operator.Retry{MaxAttempts: 3, Ratio: 0.1, Burst: 20}}
}

// requestTo returns a request with the given target.
func (w *simCluster) requestTo(target string, idempotent bool) *entry.Request {
	r := w.request(idempotent, 0)
	r.Target = target
	return r
}

// sendTo sends a request with the given target, as send does.
func (w *simCluster) sendTo(target string, idempotent bool) (string, error) {
	return w.send(w.requestTo(target, idempotent))
}

// failedAfter returns the time from the beginning of the request to the first attempt that failed
// with the given cause, or -1 if there is none.
func failedAfter(r *entry.Request, c verdict.Cause) time.Duration {
	for _, s := range r.Steps {
		if s.Event == entry.EventFailed && s.Cause == c {
			return s.After
		}
	}
	return -1
}

// causeOf returns the cause of a failed request, or the empty cause.
func causeOf(err error) verdict.Cause {
	if e, ok := err.(*verdict.Error); ok && e != nil {
		return e.Cause
	}
	return ""
}

// respondAfter returns a handler that responds to each call with the id of its node after the given
// time.
func respondAfter(d time.Duration) func(node string, in *peer.InboundCall) {
	return func(node string, in *peer.InboundCall) {
		time.Sleep(d)
		_ = in.Reply(&peer.ResponseHead{Status: 200, Body: []byte(node)})
	}
}

// TestRequestAtDeadNode guards against callers that are held until their deadlines by an instance
// that has lost power, and against their requests being run twice.
func TestRequestAtDeadNode(t *testing.T) {
	for name, test := range map[string]struct {
		gates         int
		idempotent    bool
		silentFor     time.Duration // how long the node is silent before it loses power, while it has the call
		powerOffAfter time.Duration // from the arrival of the call until the node loses power
		answered      bool
	}{
		"not idempotent":                           {gates: 2},
		"not idempotent, off in the run":           {gates: 2, powerOffAfter: time.Second},
		"not idempotent, off after a silence":      {gates: 2, silentFor: time.Second, powerOffAfter: 5 * time.Second},
		"not idempotent, off after two silences":   {gates: 2, silentFor: 2 * time.Second, powerOffAfter: 8 * time.Second},
		"idempotent":                               {gates: 2, idempotent: true, answered: true},
		"idempotent, off in the run":               {gates: 2, idempotent: true, powerOffAfter: time.Second, answered: true},
		"idempotent, off after a silence":          {gates: 2, idempotent: true, silentFor: linkSilence / 2, powerOffAfter: 2 * time.Second, answered: true},
		"idempotent, and no other upstream":        {gates: 1, idempotent: true},
		"idempotent, and no other, off in the run": {gates: 1, idempotent: true, powerOffAfter: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimCluster(test.gates, fastNetwork(), retryConfig(), 0)
				defer w.stop()
				var dead string
				var offAt time.Time
				w.handle = func(node string, in *peer.InboundCall) {
					if in.Call.Attempt == 1 && in.Call.Target == "/" {
						dead = node
						w.Host(node).PauseLink(test.silentFor)
						time.Sleep(test.powerOffAfter)
						w.Host(node).PowerOff()
						offAt = time.Now()
						time.Sleep(time.Minute) // its process has ended and does not respond
						return
					}
					respondAfter(100*time.Millisecond)(node, in)
				}
				time.Sleep(time.Second)
				began := time.Now()
				r := w.requestTo("/", test.idempotent)
				got, err := w.send(r)
				ended := time.Now()
				synctest.Wait()
				calls := w.callsOf("/")
				if test.answered {
					qt.Check(t, err, qt.IsNil)
					qt.Assert(t, calls, qt.HasLen, 2)
					qt.Check(t, got, qt.Equals, calls[1].node)
					qt.Check(t, calls[1].node != dead, qt.IsTrue)
					sent := calls[1].at.Add(-linkDelay)
					qt.Check(t, !sent.After(offAt.Add(linkDelay+linkSilence)), qt.IsTrue, qt.Commentf("retried %v after the last byte", sent.Sub(offAt)))
				} else {
					qt.Check(t, causeOf(err), qt.Equals, verdict.PeerLost, qt.Commentf("%v", err))
					lost := began.Add(failedAfter(r, verdict.PeerLost)).Sub(offAt)
					qt.Check(t, lost > linkSilence && lost <= linkLossTime, qt.IsTrue, qt.Commentf("lost %v after the last byte", lost))
					// A request that may be retried is retried at a node that can't be dialled.
					repeated := time.Duration(0)
					if test.idempotent {
						repeated = 2 * linkHandshake
					}
					qt.Check(t, ended.Sub(offAt) <= linkLossTime+repeated, qt.IsTrue, qt.Commentf("ended %v after the last byte", ended.Sub(offAt)))
					qt.Check(t, calls, qt.HasLen, 1)
				}
				time.Sleep(time.Minute)
				qt.Check(t, len(w.callsOf("/")), qt.Equals, len(calls))
			})
		})
	}
}

// TestRequestsBesideDeadNode guards against new requests that are sent to an instance without
// power before its connection has ended, or that wait until it has been dialled again.
func TestRequestsBesideDeadNode(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimCluster(3, fastNetwork(), retryConfig(), 0)
				defer w.stop()
				var dead string
				w.handle = func(node string, in *peer.InboundCall) {
					if in.Call.Target == "/dead" && dead == "" {
						dead = node
						w.Host(node).PowerOff()
					}
					if node == dead {
						time.Sleep(time.Minute)
						return
					}
					respondAfter(20*time.Millisecond)(node, in)
				}
				time.Sleep(time.Second)
				var all sync.WaitGroup
				all.Go(func() { _, _ = w.sendTo("/dead", false) })
				time.Sleep(linkSilence + linkCheckInterval)
				for i := range 200 { // for four seconds, until after the connection has ended
					all.Go(func() {
						target := fmt.Sprint("/", i)
						began := time.Now()
						_, err := w.sendTo(target, idempotent)
						qt.Check(t, err, qt.IsNil)
						qt.Check(t, time.Since(began), qt.Equals, 20*time.Millisecond+2*linkDelay)
						qt.Check(t, w.callsOf(target), qt.HasLen, 1)
					})
					time.Sleep(20 * time.Millisecond)
				}
				all.Wait()
				for _, call := range w.calls {
					qt.Check(t, call.node == dead, qt.Equals, call.target == "/dead", qt.Commentf("%v", call))
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestStopReportsItsCause guards against requests that end because their entry node stops and
// are reported as if the other node had been lost.
func TestStopReportsItsCause(t *testing.T) {
	for name, fault := range map[string]func(w *simCluster){
		"over a working link": func(*simCluster) {},
		"over a silent link":  func(w *simCluster) { w.gates[0].PauseLink(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimCluster(1, fastNetwork(), noRetryConfig(), 0)
				defer w.stop()
				time.Sleep(time.Second)
				began := time.Now()
				time.AfterFunc(100*time.Millisecond, func() { fault(w) })
				time.AfterFunc(time.Second, w.dispatcher.Close)
				_, err := w.sendTo("/", true)
				qt.Check(t, causeOf(err), qt.Equals, verdict.Stopped, qt.Commentf("%v", err))
				qt.Check(t, time.Since(began), qt.Equals, time.Second)
			})
		})
	}
}

// TestNoCallAfterClose guards against calls that are started after their entry node has closed its
// connections, and are cut off without a response when its process ends.
func TestNoCallAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fastNetwork()
		network.LinkBandwidth = linkRate
		w := newSimCluster(2, network, retryConfig(), 0)
		defer w.stop()
		var began, stopped time.Time
		w.handle = func(node string, in *peer.InboundCall) {
			if in.Call.Attempt == 1 {
				time.AfterFunc(50*time.Millisecond, func() { // a part of the body has arrived
					stopped = time.Now()
					w.dispatcher.Close()
				})
			}
			w.queueAndRun(node, in, 0)
		}
		time.Sleep(time.Second)
		opened, _ := w.dials.counts()
		began = time.Now()
		got, err := w.send(w.request(false, 240<<10))
		ended := time.Now()
		synctest.Wait()
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", got))
		if err != nil {
			qt.Check(t, verdict.As(err, verdict.PeerLost).Verdict(), qt.Equals, verdict.NotRun, qt.Commentf("%v", err))
		}
		qt.Check(t, ended.Sub(began), qt.Equals, stopped.Sub(began))
		qt.Check(t, w.callsOf("/"), qt.HasLen, 1)
		reopened, _ := w.dials.counts()
		qt.Check(t, reopened, qt.Equals, opened)
		time.Sleep(20 * time.Second)
	})
}
