// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
	"sassafrasfront.example/platform/platformtest"
)

const (
	// settleTime is the time between two attempts of a fatal request. What the nodes learn
	// from the first has reached all of them by the second: it takes two or three exchanges
	// between nodes.
	settleTime = 500 * time.Millisecond
	// maxCrashes is how many upstreams one request may crash: the first three, before it
	// is identified as fatal, and three more.
	maxCrashes = 6
)

// crashingUpstreams are upstreams that crash under some requests and restart at once, each
// time as a new start.
type crashingUpstreams struct {
	system *testSystem
	fatal  func(r platformtest.Run) bool

	mu      sync.Mutex
	crashes int
	closed  bool
	all     []*platformtest.Upstream
}

// add starts a node beside a new upstream that crashes under fatal requests.
func (c *crashingUpstreams) add(service string) *testNode {
	n := c.system.add(service)
	n.upstream.Close()
	c.start(n, 0)
	return n
}

// start starts the upstream of a node again.
func (c *crashingUpstreams) start(n *testNode, generation int) {
	u := &platformtest.Upstream{
		ID:          fmt.Sprintf("%s-%d", n.settings.Node, generation),
		Service:     n.settings.Service,
		Slots:       8,
		ServiceTime: 20 * time.Millisecond,
		Address:     n.settings.UpstreamAddress,
	}
	u.ShouldCrash = func(r platformtest.Run) bool {
		if !c.fatal(r) {
			return false
		}
		time.Sleep(u.ServiceTime / 2) // other requests are in flight
		c.mu.Lock()
		c.crashes++
		c.mu.Unlock()
		go func() {
			time.Sleep(2 * u.ServiceTime)
			c.start(n, generation+1)
		}()
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if _, err := u.Start(); err != nil {
		c.system.t.Errorf("upstream: %v", err)
		return
	}
	c.all = append(c.all, u)
	go c.announce(u, n)
}

// announce announces a start until its node has received the announcement.
func (c *crashingUpstreams) announce(u *platformtest.Upstream, n *testNode) {
	for !u.SendHeartbeat(n.settings.AnnounceAddress) {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// crashCount returns how many upstreams have crashed.
func (c *crashingUpstreams) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// close stops all upstreams for good.
func (c *crashingUpstreams) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, u := range c.all {
		u.Close()
	}
}

// TestFatalRequest repeats a request that crashes each upstream that begins to run it, at one
// node after the other.
//
// It guards against the loss of a whole service: three of its six upstreams crashed within a
// moment, and each crashed again as soon as it had restarted, for ten seconds at a time;
// nineteen crashes in all under one request. The caller retried the request at any node, and
// nodes retried it at the next upstream, as it was idempotent. No node remembered what was in
// flight when an upstream crashed, and none knew of the crashes that others had seen. The
// fingerprint of the fatal request was the only one in flight at every crash.
//
// Other requests must not be affected: those of the same path, of the same caller, or in
// flight at the same time.
func TestFatalRequest(t *testing.T) {
	w := newTestSystem(t)
	m := &crashingUpstreams{system: w, fatal: func(r platformtest.Run) bool {
		return r.Path == "/b/report" && r.Body == "fatal" && r.Caller == "b"
	}}
	t.Cleanup(m.close)
	w.configure(1, "")
	var nodes []*testNode
	for range 6 {
		nodes = append(nodes, m.add("b"))
	}
	other := w.add("a")
	for _, n := range append(nodes, other) {
		w.eventually("each node serves", func() bool { return n.request("PUT", "/b/x", "warm", "").status == 200 })
	}
	time.Sleep(settleTime)
	for round := range 12 {
		var bystanders sync.WaitGroup
		for i, n := range nodes {
			bystanders.Go(func() { n.request("PUT", "/b/bystander", fmt.Sprintf("bystander-%d-%d", round, i), "") })
		}
		time.Sleep(5 * time.Millisecond)
		got := nodes[round%len(nodes)].request("PUT", "/b/report", fmt.Sprint("fatal-", round), "fatal")
		qt.Check(t, got.status == 502 || got.status == 503, qt.IsTrue, qt.Commentf("%+v", got))
		bystanders.Wait()
		time.Sleep(settleTime)
	}
	qt.Check(t, m.crashCount() >= 3, qt.IsTrue, qt.Commentf("%d upstreams crashed: the request can't be identified before", m.crashCount()))
	qt.Check(t, m.crashCount() <= maxCrashes, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
	for i, n := range nodes {
		id := fmt.Sprint("harmless-", i)
		qt.Check(t, n.request("PUT", "/b/report", id+"-path", "harmless").status, qt.Equals, 200, qt.Commentf("the same path and caller"))
		qt.Check(t, n.request("PUT", "/b/other", id+"-body", "fatal").status, qt.Equals, 200, qt.Commentf("the same body and caller"))
		qt.Check(t, n.request("PUT", "/b/bystander", id+"-moment", "").status, qt.Equals, 200, qt.Commentf("in flight at the same time"))
	}
	qt.Check(t, other.request("PUT", "/b/report", "harmless-caller", "fatal").status, qt.Equals, 200, qt.Commentf("another caller"))
}

// newFatalSystem returns a small system whose upstreams crash under some requests.
func newFatalSystem(t *testing.T, fatal func(r platformtest.Run) bool, upstreams int) (*crashingUpstreams, []*testNode) {
	return newFatalSystemIn(newTestSystem(t), fatal, upstreams)
}

// newFatalSystemIn does what newFatalSystem does, in an empty system.
func newFatalSystemIn(w *testSystem, fatal func(r platformtest.Run) bool, upstreams int) (*crashingUpstreams, []*testNode) {
	m := &crashingUpstreams{system: w, fatal: fatal}
	w.t.Cleanup(m.close)
	w.configure(1, "")
	var nodes []*testNode
	for range upstreams {
		nodes = append(nodes, m.add("b"))
	}
	for _, n := range nodes {
		w.eventually("each node serves", func() bool { return n.request("PUT", "/b/x", "warm", "").status == 200 })
	}
	time.Sleep(settleTime)
	return m, nodes
}

// TestFatalRequestBlockedAcrossRestarts restarts a node, and then all of them at once, after a
// request was found to be fatal: it stays blocked, by what the other nodes know, and by what
// the platform stores.
func TestFatalRequestBlockedAcrossRestarts(t *testing.T) {
	m, nodes := newFatalSystem(t, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	w := m.system
	id := 0
	sendFatal := func(n *testNode) {
		id++
		got := n.request("PUT", "/b/report", fmt.Sprint("fatal-", id), "fatal")
		qt.Check(t, got.status == 502 || got.status == 503, qt.IsTrue, qt.Commentf("%+v", got))
	}
	for range 6 {
		sendFatal(nodes[0])
		time.Sleep(settleTime)
	}
	crashes := m.crashCount()
	qt.Check(t, crashes <= maxCrashes, qt.IsTrue, qt.Commentf("%d upstreams crashed", crashes))

	restart := func(list ...*testNode) {
		for _, n := range list {
			n.stop()
		}
		for _, n := range list {
			w.run(n)
		}
		for _, n := range list {
			w.eventually("it serves again", func() bool { return n.request("PUT", "/b/x", "warm", "").status == 200 })
		}
		time.Sleep(settleTime)
	}
	restart(nodes[1])
	sendFatal(nodes[1])
	restart(nodes...)
	for _, n := range nodes {
		sendFatal(n)
	}
	qt.Check(t, m.crashCount(), qt.Equals, crashes, qt.Commentf("upstreams crashed under a blocked request"))
}

// TestReleaseSuspect releases a blocked request: it runs again at all nodes, and is blocked
// again once it has crashed upstreams again.
func TestReleaseSuspect(t *testing.T) {
	m, nodes := newFatalSystem(t, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	list := func(n *testNode) (suspects []operator.Suspect) {
		r, err := http.Get("http://" + n.settings.OperatorAddress + "/v1/suspects")
		qt.Assert(t, err, qt.IsNil)
		defer r.Body.Close()
		qt.Assert(t, json.NewDecoder(r.Body).Decode(&suspects), qt.IsNil)
		return suspects
	}
	release := func(n *testNode, fingerprint string) int {
		r, _ := http.NewRequest("DELETE", "http://"+n.settings.OperatorAddress+"/v1/suspects/"+fingerprint, nil)
		response, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode
	}
	id := 0
	sendFatal := func() {
		for range 4 {
			id++
			nodes[id%len(nodes)].request("PUT", "/b/report", fmt.Sprint("fatal-", id), "fatal")
			time.Sleep(settleTime)
		}
	}
	sendFatal()
	first := m.crashCount()
	for _, n := range nodes {
		suspects := list(n)
		qt.Assert(t, suspects, qt.HasLen, 1)
		qt.Check(t, suspects[0].State, qt.Equals, "blocked")
		qt.Check(t, suspects[0].Crashes, qt.Equals, first)
		qt.Check(t, suspects[0].BlockedUntil.After(time.Now()), qt.IsTrue)
	}
	fingerprint := list(nodes[0])[0].Fingerprint
	qt.Check(t, release(nodes[0], "no print"), qt.Equals, 400)
	qt.Check(t, release(nodes[0], strings.Repeat("1", 16)+"."+strings.Repeat("2", 16)), qt.Equals, 404)
	qt.Check(t, release(nodes[1], fingerprint), qt.Equals, 204)
	time.Sleep(settleTime)
	qt.Check(t, release(nodes[2], fingerprint), qt.Equals, 404, qt.Commentf("all nodes know"))
	sendFatal()
	qt.Check(t, m.crashCount() > first, qt.IsTrue, qt.Commentf("it runs again"))
	qt.Check(t, list(nodes[2])[0].State, qt.Equals, "blocked")
}

// TestFatalStream sends a fatal request whose body comes in chunks, so that a node forwards it
// before it knows its fingerprint, and harmless ones that differ from it in their bodies only.
func TestFatalStream(t *testing.T) {
	m, nodes := newFatalSystem(t, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	send := func(n *testNode, id, body string) int {
		r, _ := http.NewRequest("PUT", "http://"+n.settings.CallerAddress+"/b/report", struct{ io.Reader }{strings.NewReader(body)})
		r.Host = "h.example"
		r.Header.Set(platformtest.RequestID, id)
		r.Header.Set(platformtest.Timeout, "900")
		response, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	for round := range 8 {
		send(nodes[round%len(nodes)], fmt.Sprint("fatal-", round), "fatal")
		time.Sleep(settleTime)
	}
	qt.Check(t, m.crashCount() >= 3 && m.crashCount() <= maxCrashes, qt.IsTrue, qt.Commentf("%d upstreams crashed", m.crashCount()))
	for i, n := range nodes {
		qt.Check(t, send(n, fmt.Sprint("harmless-", i), "harmless"), qt.Equals, 200)
	}
}
