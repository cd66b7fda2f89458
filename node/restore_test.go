// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/blocklist"
	"sassafrasfront.example/contact"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/platform"
	"sassafrasfront.example/platform/platformtest"
)

// newEraWorld is a system whose store names eras.
func newEraSystem(t *testing.T) *testSystem {
	w := newTestSystem(t)
	w.store.Era = 3
	return w
}

// closable is a way to the store that can be closed.
type switchableStore struct {
	store http.Handler
	off   atomic.Bool
}

func (x *switchableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if x.off.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x.store.ServeHTTP(w, r)
}

// era returns the era that a node knows, as its metrics have it.
func (m *testNode) era() string {
	r, err := http.Get("http://" + m.settings.OperatorAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	_, rest, _ := strings.Cut(string(text), "sassafras_platform_era ")
	era, _, _ := strings.Cut(rest, "\n")
	return era
}

// allInEra waits until all nodes know an era.
func (z *zonedSystem) awaitEra(era string) {
	z.t.Helper()
	for _, n := range z.all() {
		z.eventually("each knows the era "+era, func() bool { return n.era() == era })
	}
}

// newRoute waits until all nodes have a route.
func (z *zonedSystem) awaitRoute(name string) {
	z.t.Helper()
	for _, n := range z.all() {
		z.sent++
		z.eventually("each has the route "+name, func() bool { return n.request("GET", "/"+name+"/x", fmt.Sprint("r-", z.sent), "").status == 200 })
	}
}

// newCutZoned is a system of two zones, one node of each of which reaches the store by a way
// that can be closed.
func newCutZoned(t *testing.T) (*zonedSystem, *switchableStore) {
	w := newEraSystem(t)
	proxy := &switchableStore{store: w.store}
	server := httptest.NewServer(proxy)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	open := w.url
	z := &zonedSystem{testSystem: w}
	z.configure(1, "")
	for _, url := range []string{open, server.URL} {
		w.url = url
		z.near = append(z.near, z.addIn("y", "b"))
		z.far = append(z.far, z.addIn("z", "b"))
	}
	w.url = open
	z.awaitServing()
	return z, proxy
}

// TestRestoredPlatform has the store be away for a moment and come back from a copy that is
// older than a table of routes and an evacuation, twice in a row, while it turns one node of
// each zone away. Callers see the table and the zones as they were; what the operator writes
// then binds at once, though its revisions were given out before.
func TestRestoredPlatform(t *testing.T) {
	z, proxy := newCutZoned(t)
	z.eventually("both zones are used", func() bool {
		for _, n := range z.all() {
			z.request(n)
		}
		return z.runCount(z.near) > 0 && z.runCount(z.far) > 0
	})
	backup := z.store.Snapshot()
	z.configure(2, "c")
	z.evacuate("z", true)
	for i := range 50 { // revisions that the next eras don't reach
		z.store.Put("other", fmt.Sprint(i), i)
	}
	z.awaitEvacuated(1)
	z.awaitRoute("c")
	z.checkUnused(z.far)
	reached := z.runCount(z.far)

	proxy.off.Store(true)
	for _, era := range []string{"4", "5"} {
		z.store.SetFaults(platformtest.Faults{Status: 503})
		z.checkUnused(z.far)
		z.store.Restore(backup)
		z.store.SetFaults(platformtest.Faults{})
		z.awaitEra(era)
		z.checkUnused(z.far)
		for _, n := range z.all() {
			qt.Check(t, n.request("GET", "/c/x", "kept-"+era, "").status, qt.Equals, 200, qt.Commentf("the table does not revert"))
			qt.Check(t, z.zones(n), qt.HasLen, 1, qt.Commentf("nor does the evacuation"))
		}
	}
	z.evacuate("y", true) // before the other one is written again
	z.awaitEvacuated(2)
	z.evacuate("y", false)
	z.awaitEvacuated(1)
	z.evacuate("z", true)
	z.configure(2, "c")
	z.checkUnused(z.far)
	z.configure(3, "d")
	z.awaitRoute("d")
	qt.Check(t, z.runCount(z.far), qt.Equals, reached, qt.Commentf("nothing reached the zone, over all of that"))

	proxy.off.Store(false)
	z.evacuate("z", false)
	z.awaitEvacuated(0)
	z.eventually("the zone serves again", func() bool {
		z.request(z.far[0])
		return z.runCount(z.far) > reached
	})
}

// TestRestartAfterRestore restarts nodes of an evacuated zone while the store has lost the
// evacuation and the table: they hear of both from the others.
func TestRestartAfterRestore(t *testing.T) {
	z, proxy := newCutZoned(t)
	backup := z.store.Snapshot()
	z.configure(2, "c")
	z.evacuate("z", true)
	z.awaitEvacuated(1)
	z.awaitRoute("c")

	z.store.Restore(backup)
	z.awaitEra("4")
	z.far[0].stop()
	z.run(z.far[0])
	proxy.off.Store(true)
	z.far[1].stop()
	z.run(z.far[1])
	z.awaitEvacuated(1)
	z.awaitRoute("c")
	z.awaitServing()
	z.checkUnused(z.far)
	z.evacuate("z", true)
	written := z.store.Revision(platform.EvacuationKind, "z")
	for _, n := range z.all() {
		z.eventually("each knows that it is written again", func() bool {
			zones := z.zones(n)
			return len(zones) == 1 && zones[0].Revision >= written
		})
	}
	z.evacuate("z", false)
	z.awaitEvacuated(0)
}

// TestContactsAfterRestore has the store lose the addresses of the nodes: they are written
// again, twice in a row.
func TestContactsAfterRestore(t *testing.T) {
	w := newEraSystem(t)
	w.configure(1, "")
	empty := w.store.Snapshot()
	var nodes []*testNode
	for range 6 {
		nodes = append(nodes, w.add("b"))
	}
	for _, n := range nodes {
		w.eventually("each node serves", func() bool { return n.request("GET", "/b/x", "warm", "").status == 200 })
	}
	w.eventually("some stand there", func() bool { return len(w.store.Names(contact.Kind)) > 0 })
	time.Sleep(time.Second) // for others that write themselves in at the start
	for range 2 {
		stood := w.store.Names(contact.Kind)
		w.store.Restore(empty)
		began := time.Now()
		w.eventually("they are there again", func() bool {
			for _, name := range stood {
				if !w.store.Has(contact.Kind, name) {
					return false
				}
			}
			return true
		})
		t.Logf("%d entries were back after %v", len(stood), time.Since(began))
	}
}

// TestBlocksAfterRestore has the store lose the block of a fatal request: the block is written
// again, and the request ends no more upstreams.
func TestBlocksAfterRestore(t *testing.T) {
	w := newEraSystem(t)
	m, nodes := newFatalSystemIn(w, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	backup := w.store.Snapshot()
	for i := range 6 {
		nodes[0].request("PUT", "/b/report", fmt.Sprint("fatal-", i), "fatal")
		time.Sleep(settleTime)
	}
	w.eventually("the block is kept", func() bool { return len(w.store.Names(blocklist.Kind)) == 1 })
	crashes := m.crashCount()
	w.store.Restore(backup)
	w.eventually("the block is written again", func() bool { return len(w.store.Names(blocklist.Kind)) == 1 })
	for i, n := range nodes {
		n.request("PUT", "/b/report", fmt.Sprint("again-", i), "fatal")
	}
	qt.Check(t, m.crashCount(), qt.Equals, crashes)
}

// TestReleaseAfterRestore has the store lose the release of a fatal request: its block is there
// again, and counts at no node, nor at one that has started since and read it.
func TestReleaseAfterRestore(t *testing.T) {
	w := newEraSystem(t)
	_, nodes := newFatalSystemIn(w, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	suspects := func(n *testNode) (list []operator.Suspect) {
		r, err := http.Get("http://" + n.settings.OperatorAddress + "/v1/suspects")
		if err != nil {
			return nil
		}
		defer r.Body.Close()
		_ = json.NewDecoder(r.Body).Decode(&list)
		return list
	}
	for i := range 6 {
		nodes[0].request("PUT", "/b/report", fmt.Sprint("fatal-", i), "fatal")
		time.Sleep(settleTime)
	}
	w.eventually("the block is kept", func() bool { return len(w.store.Names(blocklist.Kind)) == 1 })
	backup := w.store.Snapshot()
	fingerprint := suspects(nodes[0])[0].Fingerprint
	r, err := http.NewRequest(http.MethodDelete, "http://"+nodes[0].settings.OperatorAddress+"/v1/suspects/"+fingerprint, nil)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusNoContent)
	none := func() bool {
		for _, n := range nodes {
			if len(suspects(n)) > 0 {
				return false
			}
		}
		return true
	}
	w.eventually("all nodes know of the release", none)
	qt.Check(t, w.store.Names(blocklist.Kind), qt.HasLen, 0)

	w.store.Restore(backup)
	qt.Check(t, w.store.Names(blocklist.Kind), qt.HasLen, 1)
	for _, n := range nodes {
		w.eventually("each knows the era", func() bool { return n.era() == "4" })
	}
	nodes[1].stop()
	w.run(nodes[1])
	w.eventually("it serves again", func() bool { return nodes[1].request("PUT", "/b/x", "warm", "").status == 200 })
	time.Sleep(settleTime)
	w.eventually("none suspects it", none)
}

// TestDisbelievedPlatform has the store's answers name an earlier era, none, or no number, for
// some time: the nodes serve on as they were, and believe it again afterwards.
func TestWrongEraRejected(t *testing.T) {
	for name, header := range map[string]string{"earlier": "2", "none": "", "no number": "x"} {
		t.Run(name, func(t *testing.T) {
			w := newEraSystem(t)
			var wrong atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
				if !wrong.Load() {
					w.store.ServeHTTP(out, r)
					return
				}
				recorded := httptest.NewRecorder()
				w.store.ServeHTTP(recorded, r)
				out.Header().Set("Content-Type", "application/json")
				if header != "" {
					out.Header().Set(platformtest.EraHeader, header)
				}
				out.WriteHeader(recorded.Code)
				_, _ = out.Write(recorded.Body.Bytes())
			}))
			defer server.Close()
			defer server.CloseClientConnections()
			w.url = server.URL
			w.configure(1, "c")
			n := w.add("b")
			w.eventually("it serves", func() bool { return n.request("GET", "/c/x", "warm", "").status == 200 })
			wrong.Store(true)
			server.CloseClientConnections()
			w.configure(2, "d")
			time.Sleep(1500 * time.Millisecond) // a node that reads by itself has read by then
			qt.Check(t, n.request("GET", "/c/x", "kept", "").status, qt.Equals, 200)
			qt.Check(t, n.request("GET", "/d/x", "not yet", "").status, qt.Equals, 404)
			qt.Check(t, n.era(), qt.Equals, "3")
			wrong.Store(false)
			w.eventually("it is believed again", func() bool { return n.request("GET", "/d/x", "new", "").status == 200 })
			n.stop() // before its way to the store is closed
		})
	}
}
