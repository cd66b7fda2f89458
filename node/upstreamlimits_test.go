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

const (
	// limitOverage and limitSlack are what an upstream that advertises a limit may get beyond
	// it, as a factor and as a count, in any four seconds.
	limitOverage = 1.5
	limitSlack   = 5
	// limitDelay is the time after which the requests of a node that has forwarded a response
	// with a limit must respect that limit.
	limitDelay = 500 * time.Millisecond
)

// startCallers sends requests for a path to all nodes, each after a pause, until stop is called,
// which returns the number of responses by status.
func (s *testSystem) startCallers(path string, pause time.Duration, nodes ...*testNode) (stop func() map[int]int) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	var ids atomic.Int64
	for _, n := range nodes {
		all.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(pause):
				}
				all.Go(func() {
					response := n.request("GET", path, fmt.Sprint("c-", ids.Add(1)), "")
					mu.Lock()
					defer mu.Unlock()
					statuses[response.status]++
				})
			}
		})
	}
	return func() map[int]int {
		close(ended)
		all.Wait()
		return statuses
	}
}

// arrivalsSince returns how many requests and health checks reached the upstream after the given
// time.
func arrivalsSince(u *platformtest.Upstream, at time.Time) (count int) {
	for _, a := range u.Arrivals() {
		if a.At.After(at) {
			count++
		}
	}
	return count
}

// TestAdvertisedLimitExceeded has upstreams advertise a limit in their responses. It guards against
// upstreams that get far more than that, such as 119 requests in four seconds at a limit of 9.0 a
// second, which allows 59.
func TestAdvertisedLimitExceeded(t *testing.T) {
	tests := map[string]struct {
		limit        float64
		limited      int           // of three upstreams
		pause        time.Duration // between the requests of a caller
		healthSilent bool          // whether responses to health checks do not advertise the limit
		restarts     bool          // whether the nodes beside them are restarted
	}{
		"one of three":                         {limit: 4, limited: 1, pause: 20 * time.Millisecond},
		"all":                                  {limit: 4, limited: 3, pause: 20 * time.Millisecond},
		"health checks only":                   {limit: 0.5, limited: 3, pause: time.Hour},
		"nodes restarted":                      {limit: 4, limited: 3, pause: 20 * time.Millisecond, restarts: true},
		"nodes restarted, health check silent": {limit: 4, limited: 3, pause: 20 * time.Millisecond, restarts: true, healthSilent: true},
		"zero":                                 {limit: 0, limited: 1, pause: 20 * time.Millisecond},
		"zero, health check silent":            {limit: 0, limited: 1, pause: 20 * time.Millisecond, healthSilent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestSystem(t)
			w.configure(1, "")
			for range 3 {
				w.add("b").upstream.SetHealthCheckSilent(test.healthSilent)
			}
			outside := w.add("a")
			w.eventually("all are known", func() bool {
				for _, n := range w.nodes[:3] {
					if len(n.upstream.Runs()) == 0 {
						outside.request("GET", "/b/x", "warm", "")
						return false
					}
				}
				return outside.ready()
			})
			limited := w.nodes[:test.limited]
			for _, n := range limited {
				n.upstream.AdvertiseLimit(fmt.Sprint(test.limit))
			}
			for _, n := range w.nodes { // each node forwards a response of each limited upstream
				for i := range 20 {
					n.request("GET", "/b/x", fmt.Sprint("told-", n.settings.Node, i), "")
				}
			}
			stop := w.startCallers("/b/x", test.pause, w.nodes...)
			time.Sleep(limitDelay)
			began := time.Now()
			if test.restarts {
				for _, n := range limited {
					n.stop()
					w.run(n)
				}
			}
			time.Sleep(4 * time.Second)
			counts := make([]int, len(limited))
			for i, n := range limited {
				counts[i] = arrivalsSince(n.upstream, began)
			}
			took := time.Since(began).Seconds()
			statuses := stop()
			t.Logf("statuses %v, arrivals %v in %.1f s", statuses, counts, took)
			for _, count := range counts {
				qt.Check(t, float64(count) <= limitOverage*test.limit*took+limitSlack, qt.IsTrue, qt.Commentf("%d in %.1f s at %v a second", count, took, test.limit))
			}
			qt.Check(t, statuses[502]+statuses[504], qt.Equals, 0)
		})
	}
}

// TestUpstreamLeavingInResponses has an upstream say in its responses that it is leaving, and continue
// to respond: once a node has forwarded such a response, its requests go to other upstreams.
//
// It guards against requests to an upstream that leaves without an announcement: no node read that
// header field, so that the upstream got requests until it stopped.
func TestUpstreamLeavingInResponses(t *testing.T) {
	tests := map[string]struct {
		healthSilent bool // whether responses to health checks do not say that it leaves
		restarts     bool // whether the node beside it is restarted
	}{
		"continues":                           {},
		"continues, health check silent":      {healthSilent: true},
		"node restarted":                      {restarts: true},
		"node restarted, health check silent": {restarts: true, healthSilent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestSystem(t)
			w.configure(1, "")
			var leaver *testNode
			for range 2 {
				leaver = w.add("a")
				leaver.upstream.SetHealthCheckSilent(true)
			}
			outside := w.add("b")
			// Requests that must not run twice have one attempt, so that each response is forwarded.
			n := 0
			requestAll := func() (fromLeaver bool) {
				var all sync.WaitGroup
				var from atomic.Bool
				for range 4 {
					n++
					id := fmt.Sprint("told-", n)
					all.Go(func() {
						if strings.HasPrefix(outside.request("GET", "/a/x", id, "").body, leaver.upstream.ID+" ") {
							from.Store(true)
						}
					})
				}
				all.Wait()
				return from.Load()
			}
			w.eventually("both are known", func() bool { return requestAll() && len(w.nodes[0].upstream.Runs()) > 0 })
			leaver.upstream.AdvertiseLeaving()
			w.eventually("a response says that it leaves", requestAll)
			leaver.upstream.SetHealthCheckSilent(test.healthSilent)
			if test.restarts {
				leaver.stop()
				w.run(leaver)
			}
			time.Sleep(100 * time.Millisecond) // requests in flight complete
			ran := len(leaver.upstream.Runs())
			stop := w.startCallers("/a/x", 2*time.Millisecond, outside)
			time.Sleep(time.Second)
			stop()
			qt.Check(t, len(leaver.upstream.Runs())-ran, qt.Equals, 0)
		})
	}
}
