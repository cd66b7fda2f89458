// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// outcomeCounter counts requests and those of them that were served.
type outcomeCounter struct {
	sent, served atomic.Int64

	mu             sync.Mutex
	otherResponses map[string]int // the bodies of the other responses
}

// add counts one request.
func (c *outcomeCounter) add(response callerResponse) {
	c.sent.Add(1)
	if response.status == 200 {
		c.served.Add(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.otherResponses == nil {
		c.otherResponses = make(map[string]int)
	}
	c.otherResponses[response.body]++
}

// servedFraction returns the fraction of the requests that was served.
func (c *outcomeCounter) servedFraction() float64 {
	return float64(c.served.Load()) / float64(c.sent.Load())
}

// newPopularSystem does what newFatalSystem does. Requests to /once/ have one attempt.
func newPopularSystem(t *testing.T, fatal func(r platformtest.Run) bool, upstreams int) (*crashingUpstreams, []*testNode) {
	m, nodes := newFatalSystem(t, fatal, upstreams)
	m.system.configure(2, "", route("once", "non_idempotent", "b"))
	for _, n := range nodes {
		m.system.eventually("the route is there", func() bool { return n.request("PUT", "/once/x", "warm", "").status == 200 })
	}
	return m, nodes
}

// TestPopularRequests has many callers send a few harmless requests at a steady rate, while
// other requests crash the upstreams that run them: each with a body of its own, as when
// memory runs out or a release is faulty.
//
// It guards against blocking the popular requests, which were in flight at every crash. Two
// crashes isolated them, so that they ran one at a time at one upstream, which another request
// crashed; that blocked them for ten minutes. With twelve upstreams that had all recovered,
// 3,257 of 54,888 were served, or none of 80,859.
//
// Requests that many callers send and that upstreams complete all the time must be served:
// nearly all of them during the crashes, and all soon after. The bounds are the users': 0.99,
// and 0.999 from a second after the last crash.
func TestPopularRequests(t *testing.T) {
	// callers returns as many callers as the upstreams have slots for while one of two is down.
	callers := func(upstreams int) int { return min(40, 3*upstreams) }
	tests := map[string]struct {
		upstreams, kinds int
		harmfulPath      string // path of the harmful requests: those to /b/ crash two upstreams each, as they are retried
		repeat           bool   // whether one of them is repeated as well
	}{
		"one kind at two upstreams":          {upstreams: 2, kinds: 1, harmfulPath: "/once/report"},
		"four kinds at twelve upstreams":     {upstreams: 12, kinds: 4, harmfulPath: "/b/report"},
		"four kinds, and a harmful one":      {upstreams: 12, kinds: 4, harmfulPath: "/once/report", repeat: true},
		"two hundred kinds at six upstreams": {upstreams: 6, kinds: 200, harmfulPath: "/once/report"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, nodes := newPopularSystem(t, func(r platformtest.Run) bool { return strings.HasPrefix(r.Body, "bug") }, test.upstreams)
			var during, after outcomeCounter
			var phase atomic.Pointer[outcomeCounter]
			phase.Store(&during)
			done := make(chan struct{})
			var calling sync.WaitGroup
			for c := range callers(test.upstreams) {
				calling.Go(func() {
					pace := time.NewTicker(40 * time.Millisecond)
					defer pace.Stop()
					for i := c; ; i++ {
						select {
						case <-done:
							return
						default:
						}
						got := nodes[i%len(nodes)].request("GET", fmt.Sprint("/b/popular", i%test.kinds), fmt.Sprint("p-", c, "-", i), "")
						if p := phase.Load(); p != nil {
							p.add(got)
						}
						select {
						case <-done:
						case <-pace.C:
						}
					}
				})
			}
			time.Sleep(settleTime)
			repeatCrashes := 0
			for round := range 10 {
				nodes[round%len(nodes)].request("PUT", test.harmfulPath, fmt.Sprint("bug-", round), fmt.Sprint("bug-", round))
				if test.repeat {
					time.Sleep(settleTime)
					before := m.crashCount()
					nodes[round%len(nodes)].request("PUT", "/b/report", fmt.Sprint("fatal-", round), "bug, always the same")
					repeatCrashes += m.crashCount() - before
				}
				time.Sleep(settleTime)
			}
			phase.Store(nil)
			time.Sleep(time.Second)
			phase.Store(&after)
			time.Sleep(time.Second)
			close(done)
			calling.Wait()
			t.Logf("%d upstreams crashed; served %d of %d during, %d of %d after; %d crashed under the repeated request", m.crashCount(), during.served.Load(), during.sent.Load(), after.served.Load(), after.sent.Load(), repeatCrashes)
			t.Logf("not served: %v %v", during.otherResponses, after.otherResponses)
			qt.Check(t, m.crashCount() >= 5, qt.IsTrue, qt.Commentf("each harmful request that is not repeated is new, so that it crashes an upstream"))
			qt.Check(t, during.servedFraction() >= 0.99, qt.IsTrue, qt.Commentf("%f", during.servedFraction()))
			qt.Check(t, after.servedFraction() >= 0.999, qt.IsTrue, qt.Commentf("%f", after.servedFraction()))
			qt.Check(t, repeatCrashes <= maxCrashes, qt.IsTrue, qt.Commentf("%d", repeatCrashes))
		})
	}
}
