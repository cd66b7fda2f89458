// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// TestConnectionsAfterChange guards against the loss of requests on connections beyond those that the
// upstream accepts, which it resets after it has announced a new number, address or start.
func TestConnectionsAfterChange(t *testing.T) {
	tests := map[string]struct {
		before, after int
		start         string
	}{
		"more":          {before: 2, after: 3, start: "one"},
		"fewer":         {before: 4, after: 2, start: "one"},
		"another start": {before: 3, after: 3, start: "two"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			open := make(map[net.Conn]bool)
			inside, goOn := make(chan struct{}), make(chan struct{})
			handle := func(http.ResponseWriter, *http.Request) {
				inside <- struct{}{}
				<-goOn
			}
			server := httptest.NewUnstartedServer(http.HandlerFunc(handle))
			server.Config.ConnState = func(c net.Conn, s http.ConnState) {
				mu.Lock()
				defer mu.Unlock()
				if s == http.StateClosed {
					delete(open, c)
				} else {
					open[c] = true
				}
			}
			server.Start()
			defer server.Close()
			r := newFixture(t, 1, handle)
			announce := func(slots int, start string) {
				r.gate.SetAnnouncement(&upstream.Announcement{Service: "service", Address: server.Listener.Addr().String(), Slots: slots, Connections: slots, StartID: start})
			}
			ended := make(chan *verdict.Error)
			begin := func(calls int) {
				for range calls {
					go func() { ended <- r.call("service", time.Minute) }()
				}
				for range calls {
					<-inside
				}
			}
			finish := func(calls int) {
				for range calls {
					goOn <- struct{}{}
				}
				for range calls {
					failure := <-ended
					qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				}
			}
			announce(test.before, "one")
			begin(test.before)
			announce(test.after, test.start)
			finish(test.before)
			begin(test.after)
			for settled := false; !settled; time.Sleep(time.Millisecond) {
				mu.Lock()
				settled = len(open) <= test.after
				mu.Unlock()
			}
			finish(test.after)
		})
	}
}
