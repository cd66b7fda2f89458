// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/operator"
)

// response is the part of a response that states the outcome of the request.
type response struct {
	status     int
	verdict    string
	retryAfter string
}

// call sends a request through the entry and returns the response. Its status is 0 if
// the connection was closed without one.
func call(ctx context.Context, entry *rig.Node, service, method, target, id string) response {
	r, err := http.NewRequestWithContext(ctx, method, entry.CallerURL()+target, nil)
	if err != nil {
		panic(err)
	}
	r.Host = service + ".example"
	r.Header.Set(backend.IDHeader, id)
	httpResponse, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{}
	}
	defer httpResponse.Body.Close()
	return response{
		status:     httpResponse.StatusCode,
		verdict:    httpResponse.Header.Get("Sassafras-Verdict"),
		retryAfter: httpResponse.Header.Get("Retry-After"),
	}
}

// TestFaults injects faults into real processes while a request is in flight. Each row has the
// expected response, and how often the request may have run according to the upstreams'
// request logs.
func TestFaults(t *testing.T) {
	const slow = "?millis=400"
	// The request must still run when its node is paused, also on a machine that is busy.
	const slower = "?millis=2000"
	tests := map[string]struct {
		upstreams int
		method    string
		target    string
		timeout   time.Duration // timeout of the service
		before    func(nodes []*rig.Node)
		during    func(runner, entry *rig.Node) // while the request runs at runner
		after     func(nodes []*rig.Node)       // after the response
		status    int
		verdict   string
		runs      [2]int // minimum and maximum
	}{
		"gate killed before, POST runs elsewhere": {
			upstreams: 2, method: "POST", target: "/",
			before: func(nodes []*rig.Node) { nodes[0].SignalNode(syscall.SIGKILL); nodes[0].WaitNode() },
			status: 200, verdict: "ran", runs: [2]int{1, 1},
		},
		"gate killed while it runs, POST": {
			upstreams: 2, method: "POST", target: "/" + slow,
			during: func(runner, _ *rig.Node) { runner.SignalNode(syscall.SIGKILL) },
			status: 502, verdict: "mayHaveRun", runs: [2]int{1, 1},
		},
		"gate killed while it runs, GET runs elsewhere": {
			upstreams: 2, method: "GET", target: "/" + slow,
			during: func(runner, _ *rig.Node) { runner.SignalNode(syscall.SIGKILL) },
			status: 200, verdict: "ran", runs: [2]int{2, 2},
		},
		"upstream killed before, POST runs elsewhere": {
			upstreams: 2, method: "POST", target: "/",
			before: func(nodes []*rig.Node) { nodes[0].SignalUpstream(syscall.SIGKILL); nodes[0].WaitUpstream() },
			status: 200, verdict: "ran", runs: [2]int{1, 1},
		},
		"upstream killed while it runs, POST": {
			upstreams: 2, method: "POST", target: "/" + slow,
			during: func(runner, _ *rig.Node) { runner.SignalUpstream(syscall.SIGKILL) },
			status: 502, verdict: "mayHaveRun", runs: [2]int{1, 1},
		},
		"upstream killed while it runs, GET runs elsewhere": {
			upstreams: 2, method: "GET", target: "/" + slow,
			during: func(runner, _ *rig.Node) { runner.SignalUpstream(syscall.SIGKILL) },
			status: 200, verdict: "ran", runs: [2]int{2, 2},
		},
		"upstream closes the connection, POST": {
			upstreams: 2, method: "POST", target: "/?die=1",
			status: 502, verdict: "mayHaveRun", runs: [2]int{1, 1},
		},
		"all upstreams dead": {
			upstreams: 2, method: "POST", target: "/",
			before: func(nodes []*rig.Node) {
				for _, n := range nodes {
					n.SignalUpstream(syscall.SIGKILL)
					n.WaitUpstream()
				}
			},
			status: 503, verdict: "notRun", runs: [2]int{0, 0},
		},
		"all gates dead": {
			upstreams: 2, method: "GET", target: "/",
			before: func(nodes []*rig.Node) {
				for _, n := range nodes {
					n.SignalNode(syscall.SIGKILL)
					n.WaitNode()
				}
			},
			status: 503, verdict: "notRun", runs: [2]int{0, 0},
		},
		"deadline passes while it runs": {
			upstreams: 1, method: "POST", target: "/" + slow, timeout: 100 * time.Millisecond,
			status: 504, verdict: "mayHaveRun", runs: [2]int{1, 1},
		},
		"gate paused with the call in its buffer, and resumed": {
			upstreams: 1, method: "POST", target: "/", timeout: 300 * time.Millisecond,
			before: func(nodes []*rig.Node) { nodes[0].PauseNode() },
			after:  func(nodes []*rig.Node) { nodes[0].SignalNode(syscall.SIGCONT) },
			status: 504, verdict: "mayHaveRun", runs: [2]int{0, 1},
		},
		// The upstream is running the request, so a pause longer than the silence timeout must not
		// end it.
		"gate paused beyond the silence timeout, POST": {
			upstreams: 2, method: "POST", target: "/" + slow, timeout: 30 * time.Second,
			during: func(runner, _ *rig.Node) {
				runner.PauseNode()
				time.AfterFunc(4*time.Second, func() { runner.SignalNode(syscall.SIGCONT) })
			},
			status: 200, verdict: "ran", runs: [2]int{1, 1},
		},
		"gate paused beyond the timeout, POST": {
			upstreams: 2, method: "POST", target: "/" + slow, timeout: 4 * time.Second,
			during: func(runner, _ *rig.Node) { runner.PauseNode() },
			after: func(nodes []*rig.Node) {
				for _, n := range nodes {
					n.SignalNode(syscall.SIGCONT)
				}
			},
			status: 504, verdict: "mayHaveRun", runs: [2]int{1, 1},
		},
		"gate paused beyond the silence timeout, GET runs elsewhere": {
			upstreams: 2, method: "GET", target: "/" + slower,
			during: func(runner, _ *rig.Node) { runner.PauseNode() },
			after: func(nodes []*rig.Node) {
				for _, n := range nodes {
					n.SignalNode(syscall.SIGCONT)
				}
			},
			status: 200, verdict: "ran", runs: [2]int{2, 2},
		},
		"entry killed while it runs": {
			upstreams: 2, method: "POST", target: "/" + slow,
			during: func(_, entry *rig.Node) { entry.SignalNode(syscall.SIGKILL) },
			status: 0, runs: [2]int{1, 1},
		},
		"drained while it runs": {
			upstreams: 1, method: "POST", target: "/" + slow,
			during: func(runner, _ *rig.Node) { runner.SignalNode(syscall.SIGTERM) },
			status: 200, verdict: "ran", runs: [2]int{1, 1},
		},
	}
	ctx, r := start(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := fmt.Sprintf("s%x", fnv(name))
			s := rig.Spec{Service: service, Upstreams: test.upstreams, Slots: 10, Parameters: backend.Parameters{MeanMillis: 1}}
			s.Config.Timeout = operator.Duration(test.timeout)
			qt.Assert(t, r.Configure(ctx, service, s.Config), qt.IsNil)
			entry, err := r.Add(rig.Spec{Service: service + "-entry", Slots: 1}, zones[0])
			qt.Assert(t, err, qt.IsNil)
			var nodes []*rig.Node
			for i := range test.upstreams {
				n, err := r.Add(s, zones[i])
				qt.Assert(t, err, qt.IsNil)
				nodes = append(nodes, n)
			}
			known := func() bool {
				view, err := entry.View()
				return err == nil && len(view.Upstreams[service]) == test.upstreams
			}
			if err := rig.Poll(ctx, known); err != nil {
				view, _ := entry.View()
				t.Fatalf("%v: the entry knows %v of %s", err, view.Upstreams[service], service)
			}
			if got := call(ctx, entry, service, "GET", "/", service+"-warm"); got.status != 200 {
				t.Fatalf("warm-up: %+v", got)
			}
			if test.before != nil {
				test.before(nodes)
			}
			id := service + "-request"
			responses := make(chan response, 1)
			go func() { responses <- call(ctx, entry, service, test.method, test.target, id) }()
			if test.during != nil {
				var runner *rig.Node
				qt.Assert(t, rig.Poll(ctx, func() bool { runner = runnerOf(nodes, id); return runner != nil }), qt.IsNil)
				test.during(runner, entry)
			}
			got := <-responses
			if test.after != nil {
				test.after(nodes)
				time.Sleep(200 * time.Millisecond)
			}
			qt.Check(t, got.status, qt.Equals, test.status)
			qt.Check(t, got.verdict, qt.Equals, test.verdict)
			if got.status == http.StatusServiceUnavailable {
				qt.Check(t, got.retryAfter, qt.Not(qt.Equals), "")
			}
			runs := r.RunCounts()[id]
			qt.Check(t, runs >= test.runs[0] && runs <= test.runs[1], qt.IsTrue, qt.Commentf("ran %d times", runs))
			for _, n := range append(nodes, entry) {
				n.SignalNode(syscall.SIGKILL)
				n.SignalUpstream(syscall.SIGKILL)
			}
		})
	}
}

// runnerOf returns the node whose upstream has run the request, or nil.
func runnerOf(nodes []*rig.Node, id string) *rig.Node {
	for _, n := range nodes {
		runs := make(map[string]int)
		if n.AddRunCounts(runs); runs[id] > 0 {
			return n
		}
	}
	return nil
}

// fnv returns a short hash of a string.
func fnv(s string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(s) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}
