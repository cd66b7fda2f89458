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
	// settle is the time between two sendings of a fatal request. What the nodes learn
	// from the one has reached all of them by the next: it takes two or three exchanges
	// between nodes.
	settle = 500 * time.Millisecond
	// allowedEnds is how many upstreams one request may end: the first three, before
	// it is known for what it is, and three more.
	allowedEnds = 6
)

// mortals are upstreams that end under some requests and come back at once, each time
// as a new start.
type mortals struct {
	w     *world
	fatal func(r platformtest.Run) bool

	mu     sync.Mutex
	ends   int
	closed bool
	all    []*platformtest.Upstream
}

// add starts a node beside a new upstream that ends under fatal requests.
func (m *mortals) add(service string) *managed {
	n := m.w.add(service)
	n.upstream.Close()
	m.start(n, 0)
	return n
}

// start starts the upstream of a node anew.
func (m *mortals) start(n *managed, generation int) {
	u := &platformtest.Upstream{
		ID:          fmt.Sprintf("%s-%d", n.settings.Node, generation),
		Service:     n.settings.Service,
		Slots:       8,
		ServiceTime: 20 * time.Millisecond,
		Address:     n.settings.UpstreamAddress,
	}
	u.ShouldCrash = func(r platformtest.Run) bool {
		if !m.fatal(r) {
			return false
		}
		time.Sleep(u.ServiceTime / 2) // other requests are in flight
		m.mu.Lock()
		m.ends++
		m.mu.Unlock()
		go func() {
			time.Sleep(2 * u.ServiceTime)
			m.start(n, generation+1)
		}()
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	if _, err := u.Start(); err != nil {
		m.w.t.Errorf("upstream: %v", err)
		return
	}
	m.all = append(m.all, u)
	go m.announce(u, n)
}

// announce announces a start until its node has heard it.
func (m *mortals) announce(u *platformtest.Upstream, n *managed) {
	for !u.SendHeartbeat(n.settings.AnnounceAddress) {
		m.mu.Lock()
		closed := m.closed
		m.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ended returns how many upstreams have ended.
func (m *mortals) ended() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// close ends all upstreams for good.
func (m *mortals) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, u := range m.all {
		u.Close()
	}
}

// TestFatalRequest has a request that ends each upstream that begins to run it come
// again and again, at one node after the other.
//
// Seen: of six upstreams of a service three ended within a moment, and each ended again
// as soon as it was back, for ten seconds at a time; nineteen in all under one request.
// It came about through a caller that sent the same request again to any node, and
// through nodes that sent it to the next upstream, as it may run twice. The cause: no
// node remembered what an upstream had ended under, and none knew what the others had
// seen. The request's fingerprint stood among those in flight at every end, and no other
// stood in each.
//
// Others must not pay: requests of the same path, of the same caller, or in flight at
// the same moment.
func TestFatalRequest(t *testing.T) {
	w := newWorld(t)
	m := &mortals{w: w, fatal: func(r platformtest.Run) bool {
		return r.Path == "/b/report" && r.Body == "fatal" && r.Caller == "b"
	}}
	t.Cleanup(m.close)
	w.configure(1, "")
	var nodes []*managed
	for range 6 {
		nodes = append(nodes, m.add("b"))
	}
	other := w.add("a")
	for _, n := range append(nodes, other) {
		w.eventually("each node serves", func() bool { return n.ask("PUT", "/b/x", "warm", "").status == 200 })
	}
	time.Sleep(settle)
	for round := range 12 {
		var bystanders sync.WaitGroup
		for i, n := range nodes {
			bystanders.Go(func() { n.ask("PUT", "/b/bystander", fmt.Sprintf("bystander-%d-%d", round, i), "") })
		}
		time.Sleep(5 * time.Millisecond)
		got := nodes[round%len(nodes)].ask("PUT", "/b/report", fmt.Sprint("fatal-", round), "fatal")
		qt.Check(t, got.status == 502 || got.status == 503, qt.IsTrue, qt.Commentf("%+v", got))
		bystanders.Wait()
		time.Sleep(settle)
	}
	qt.Check(t, m.ended() >= 3, qt.IsTrue, qt.Commentf("%d upstreams ended: nothing is known before", m.ended()))
	qt.Check(t, m.ended() <= allowedEnds, qt.IsTrue, qt.Commentf("%d upstreams ended", m.ended()))
	for i, n := range nodes {
		id := fmt.Sprint("harmless-", i)
		qt.Check(t, n.ask("PUT", "/b/report", id+"-path", "harmless").status, qt.Equals, 200, qt.Commentf("the same path and caller"))
		qt.Check(t, n.ask("PUT", "/b/other", id+"-body", "fatal").status, qt.Equals, 200, qt.Commentf("the same body and caller"))
		qt.Check(t, n.ask("PUT", "/b/bystander", id+"-moment", "").status, qt.Equals, 200, qt.Commentf("the same moments"))
	}
	qt.Check(t, other.ask("PUT", "/b/report", "harmless-caller", "fatal").status, qt.Equals, 200, qt.Commentf("another caller"))
}

// fatalWorld is a small system that knows of a fatal request.
func fatalWorld(t *testing.T, fatal func(r platformtest.Run) bool, upstreams int) (*mortals, []*managed) {
	return fatalWorldIn(newWorld(t), fatal, upstreams)
}

// fatalWorldIn does what fatalWorld does, in an empty system.
func fatalWorldIn(w *world, fatal func(r platformtest.Run) bool, upstreams int) (*mortals, []*managed) {
	m := &mortals{w: w, fatal: fatal}
	w.t.Cleanup(m.close)
	w.configure(1, "")
	var nodes []*managed
	for range upstreams {
		nodes = append(nodes, m.add("b"))
	}
	for _, n := range nodes {
		w.eventually("each node serves", func() bool { return n.ask("PUT", "/b/x", "warm", "").status == 200 })
	}
	time.Sleep(settle)
	return m, nodes
}

// TestFatalRequestBlockedOverRestarts restarts a node, and then all of them at once, after
// a request was found to be fatal: it stays blocked, by what the other nodes know, and by
// what the platform keeps.
func TestFatalRequestBlockedOverRestarts(t *testing.T) {
	m, nodes := fatalWorld(t, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	w := m.w
	id := 0
	fatal := func(n *managed) {
		id++
		got := n.ask("PUT", "/b/report", fmt.Sprint("fatal-", id), "fatal")
		qt.Check(t, got.status == 502 || got.status == 503, qt.IsTrue, qt.Commentf("%+v", got))
	}
	for range 6 {
		fatal(nodes[0])
		time.Sleep(settle)
	}
	ended := m.ended()
	qt.Check(t, ended <= allowedEnds, qt.IsTrue, qt.Commentf("%d upstreams ended", ended))

	restart := func(list ...*managed) {
		for _, n := range list {
			n.stop()
		}
		for _, n := range list {
			w.run(n)
		}
		for _, n := range list {
			w.eventually("it serves again", func() bool { return n.ask("PUT", "/b/x", "warm", "").status == 200 })
		}
		time.Sleep(settle)
	}
	restart(nodes[1])
	fatal(nodes[1])
	restart(nodes...)
	for _, n := range nodes {
		fatal(n)
	}
	qt.Check(t, m.ended(), qt.Equals, ended, qt.Commentf("upstreams ended under a request that was blocked"))
}

// TestReleaseSuspect has an operator release a request that is blocked: it runs again at all
// nodes, and is blocked anew when it ends upstreams again.
func TestReleaseSuspect(t *testing.T) {
	m, nodes := fatalWorld(t, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	list := func(n *managed) (suspects []operator.Suspect) {
		r, err := http.Get("http://" + n.settings.OperatorAddress + "/v1/suspects")
		qt.Assert(t, err, qt.IsNil)
		defer r.Body.Close()
		qt.Assert(t, json.NewDecoder(r.Body).Decode(&suspects), qt.IsNil)
		return suspects
	}
	release := func(n *managed, print string) int {
		r, _ := http.NewRequest("DELETE", "http://"+n.settings.OperatorAddress+"/v1/suspects/"+print, nil)
		response, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode
	}
	id := 0
	fatal := func() {
		for range 4 {
			id++
			nodes[id%len(nodes)].ask("PUT", "/b/report", fmt.Sprint("fatal-", id), "fatal")
			time.Sleep(settle)
		}
	}
	fatal()
	first := m.ended()
	for _, n := range nodes {
		suspects := list(n)
		qt.Assert(t, suspects, qt.HasLen, 1)
		qt.Check(t, suspects[0].State, qt.Equals, "blocked")
		qt.Check(t, suspects[0].Crashes, qt.Equals, first)
		qt.Check(t, suspects[0].BlockedUntil.After(time.Now()), qt.IsTrue)
	}
	print := list(nodes[0])[0].Fingerprint
	qt.Check(t, release(nodes[0], "no print"), qt.Equals, 400)
	qt.Check(t, release(nodes[0], strings.Repeat("1", 16)+"."+strings.Repeat("2", 16)), qt.Equals, 404)
	qt.Check(t, release(nodes[1], print), qt.Equals, 204)
	time.Sleep(settle)
	qt.Check(t, release(nodes[2], print), qt.Equals, 404, qt.Commentf("all nodes know"))
	fatal()
	qt.Check(t, m.ended() > first, qt.IsTrue, qt.Commentf("it runs again"))
	qt.Check(t, list(nodes[2])[0].State, qt.Equals, "blocked")
}

// TestFatalStream has a fatal request whose body comes in chunks, so that a node sends it
// on before it knows it, and harmless ones that differ from it in their bodies only.
func TestFatalStream(t *testing.T) {
	m, nodes := fatalWorld(t, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	send := func(n *managed, id, body string) int {
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
		time.Sleep(settle)
	}
	qt.Check(t, m.ended() >= 3 && m.ended() <= allowedEnds, qt.IsTrue, qt.Commentf("%d upstreams ended", m.ended()))
	for i, n := range nodes {
		qt.Check(t, send(n, fmt.Sprint("harmless-", i), "harmless"), qt.Equals, 200)
	}
}
