// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestRetryAfterRefusedRetry guards against callers that wait until an instance is proven to be lost,
// because the one gate to which their requests were sent in the meantime had no room.
func TestRetryAfterRefusedRetry(t *testing.T) {
	for name, fault := range map[string]func(h *simnet.Host){
		"instance without power": func(h *simnet.Host) { h.PowerOff() },
		"silent for 2 s":         func(h *simnet.Host) { h.PauseLink(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimCluster(4, fastNetwork(), retryConfig(), 0)
				defer w.stop()
				var calls atomic.Int32
				w.handle = func(node string, in *peer.InboundCall) {
					switch calls.Add(1) {
					case 1:
						fault(w.Host(node))
						<-in.Context().Done()
					case 2:
						in.Fail(verdict.New(verdict.Refused, nil), nil)
					default:
						_ = in.Reply(&peer.ResponseHead{Status: 200, Body: []byte(node)})
					}
				}
				time.Sleep(time.Second)
				began := time.Now()
				r := w.requestTo("/", true)
				r.Deadline = began.Add(20 * time.Second)
				_, err := w.send(r)
				qt.Check(t, err, qt.IsNil)
				took := time.Since(began)
				qt.Check(t, took <= linkSilence+linkCheckInterval+50*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v", took))
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestAnswerDuringRetryDial guards against responses that are held back while the connection for a
// retry is being opened.
func TestAnswerDuringRetryDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimCluster(2, fastNetwork(), retryConfig(), 0)
		defer w.stop()
		at := make(map[string]string)
		w.handle = func(node string, in *peer.InboundCall) {
			w.mu.Lock()
			if at[in.Call.Target] == "" {
				at[in.Call.Target] = node
			}
			w.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			_ = in.Reply(&peer.ResponseHead{Status: 200, Body: []byte(node)})
		}
		time.Sleep(time.Second)
		var all sync.WaitGroup
		began := time.Now()
		for _, target := range []string{"/a", "/b"} {
			all.Go(func() {
				_, err := w.sendTo(target, true)
				qt.Check(t, err, qt.IsNil)
				took := time.Since(began)
				if target == "/a" {
					qt.Check(t, took <= linkSilence+100*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v", took))
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		first, second := at["/a"], at["/b"]
		w.mu.Unlock()
		qt.Assert(t, first != second, qt.IsTrue)
		w.Host(second).PowerOff()
		w.Host(first).PauseUplink(linkSilence)
		all.Wait()
	})
}

// TestNothingSentAfterClose guards against requests that are retried by a node after its drain
// has ended, and whose runs are cut off soon afterwards.
func TestNothingSentAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimCluster(2, fastNetwork(), retryConfig(), 0)
		defer w.stop()
		w.handle = func(node string, in *peer.InboundCall) { <-in.Context().Done() }
		time.Sleep(time.Second)
		var all sync.WaitGroup
		all.Go(func() {
			r := w.request(true, 300<<10) // waits to be admitted
			r.Deadline = time.Now().Add(3 * time.Second)
			_, _ = w.send(r)
		})
		time.Sleep(500 * time.Millisecond)
		w.dispatcher.Close()
		time.Sleep(200 * time.Millisecond)
		qt.Check(t, len(w.callsOf("/")), qt.Equals, 1)
		all.Wait()
	})
}
