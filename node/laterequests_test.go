// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
	"sassafrasfront.example/settings"
)

// TestLateRequestsAtLeavingNode guards against requests that arrive late at a node that leaves, are
// forwarded, and are cut at the end of its grace period while their upstreams run them.
func TestLateRequestsAtLeavingNode(t *testing.T) {
	const grace = 6 * time.Second
	w := newTestSystem(t)
	w.adjust = func(s *settings.Settings) { s.GracePeriod = grace }
	w.configure(1, "",
		strings.ReplaceAll(route("i", "idempotent", "b"), `"timeoutS":1`, `"timeoutS":60`),
		strings.ReplaceAll(route("n", "non_idempotent", "a"), `"timeoutS":1`, `"timeoutS":60`))
	duration := func(r platformtest.Run) time.Duration {
		if strings.HasPrefix(r.ID, "long") {
			return time.Hour
		}
		return time.Millisecond
	}
	first := w.addUpstream("z", &platformtest.Upstream{Service: "a", ServiceTimeFunc: duration})
	second := w.addUpstream("z", &platformtest.Upstream{Service: "b", ServiceTimeFunc: duration})
	w.eventually("both serve", func() bool {
		return second.request("PUT", "/n/x", "warm", "").status == 200 && first.request("GET", "/i/x", "warm", "").status == 200
	})
	send := func(m *testNode, path, id string) (int, error) {
		transport := new(http.Transport)
		defer transport.CloseIdleConnections()
		r, _ := http.NewRequest(http.MethodPut, "http://"+m.settings.CallerAddress+path, nil)
		r.Host = "h.example"
		r.Header.Set(platformtest.RequestID, id)
		r.Header.Set(platformtest.Timeout, "30000")
		response, err := transport.RoundTrip(r)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	ran := func(m *testNode, id string) bool {
		for _, r := range m.upstream.Runs() {
			if r.ID == id {
				return true
			}
		}
		return false
	}
	// The upstream beside the node that leaves runs a request until the end.
	busy := make(chan struct{})
	go func() {
		defer close(busy)
		_, _ = send(second, "/n/x", "long-before")
	}()
	w.eventually("an upstream runs a request", func() bool { return ran(first, "long-before") })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		first.stop()
	}()
	w.eventually("the node leaves", func() bool { return !first.ready() })
	time.Sleep(grace * 6 / 10)
	status, err := send(first, "/i/x", "long-late")
	t.Logf("the late request got %d, %v", status, err)
	qt.Check(t, ran(second, "long-late"), qt.IsFalse, qt.Commentf("it ran, and got %d, %v", status, err))
	<-stopped
	second.stop()
	<-busy
}
