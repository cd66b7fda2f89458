// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// TestUpstreamCallsWhileNodeLeaves guards against the failure of requests that run for longer than
// leaveDelay at a node that leaves: the calls that their upstream makes meanwhile go through that
// node.
func TestUpstreamCallsWhileNodeLeaves(t *testing.T) {
	tests := map[string]struct {
		reused bool // whether the call goes over a connection that was open before
	}{
		"over a new connection":    {},
		"over a reused connection": {reused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTestSystem(t)
			w.configure(1, "")
			running := make(chan struct{})
			left := make(chan struct{}) // closed once leaveDelay is over
			status := make(chan int, 1)
			var first *testNode
			first = w.addUpstream("z", &platformtest.Upstream{
				Service: "a",
				ShouldFail: func(r platformtest.Run) bool {
					if r.ID != "parent" {
						return false
					}
					transport := new(http.Transport)
					defer transport.CloseIdleConnections()
					call := func(id string) int {
						q, _ := http.NewRequest("GET", "http://"+first.settings.CallerAddress+"/b/x", nil)
						q.Host = "h.example"
						q.Header.Set(platformtest.RequestID, id)
						q.Header.Set(platformtest.Timeout, "900")
						response, err := transport.RoundTrip(q)
						if err != nil {
							return 0
						}
						defer response.Body.Close()
						return response.StatusCode
					}
					if test.reused {
						call("before")
					}
					close(running)
					<-left
					s := call("inner")
					status <- s
					return s != http.StatusOK
				},
			})
			second := w.add("b")
			w.eventually("both serve", func() bool {
				return second.request("PUT", "/a/x", "warm", "").status == 200 && first.request("GET", "/b/x", "warm", "").status == 200
			})
			parent := make(chan callerResponse, 1)
			go func() { parent <- second.request("PUT", "/a/x", "parent", "") }()
			<-running
			stopped := make(chan struct{})
			go func() {
				first.stop()
				close(stopped)
			}()
			time.Sleep(4 * first.settings.LeaveDelay)
			close(left)
			qt.Check(t, <-status, qt.Equals, http.StatusOK, qt.Commentf("the call"))
			qt.Check(t, (<-parent).status, qt.Equals, http.StatusOK, qt.Commentf("the run"))
			<-stopped
		})
	}
}
