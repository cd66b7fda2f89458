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

// newEraSystem returns a system whose store names eras.
func newEraSystem(t *testing.T) *testSystem {
	w := newTestSystem(t)
	w.store.Era = 3
	return w
}

// switchableStore forwards requests to the store until it is switched off.
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

// era returns the platform's era according to the node's metrics.
func (n *testNode) era() string {
	r, err := http.Get("http://" + n.settings.OperatorAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	_, rest, _ := strings.Cut(string(text), "sassafras_platform_era ")
	era, _, _ := strings.Cut(rest, "\n")
	return era
}

// awaitEra waits until all nodes know an era.
func (z *zonedSystem) awaitEra(era string) {
	z.t.Helper()
	for _, n := range z.all() {
		z.eventually("each knows the era "+era, func() bool { return n.era() == era })
	}
}

// awaitRoute waits until all nodes have a route.
func (z *zonedSystem) awaitRoute(name string) {
	z.t.Helper()
	for _, n := range z.all() {
		z.sent++
		z.eventually("each has the route "+name, func() bool { return n.request("GET", "/"+name+"/x", fmt.Sprint("r-", z.sent), "").status == 200 })
	}
}

// newPartitionedSystem returns a system of two zones. One node of each reaches the store through a
// switchableStore.
func newPartitionedSystem(t *testing.T) (*zonedSystem, *switchableStore) {
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

// TestRestoredPlatform has the store be unavailable for a moment and then restored from a backup
// that is older than a table of routes and an evacuation, twice in a row, while one node of each
// zone can't reach it. Callers see the table and the zones as they were; what the operator writes
// then is active at once, though its revisions were used before.
func TestRestoredPlatform(t *testing.T) {
	z, proxy := newPartitionedSystem(t)
	z.eventually("both zones are used", func() bool {
		for _, n := range z.all() {
			z.request(n)
		}
		return z.runCount(z.near) > 0 && z.runCount(z.far) > 0
	})
	backup := z.store.Snapshot()
	z.configure(2, "c")
	z.evacuate("z", true)
	for i := range 50 { // revisions that the next eras do not reach
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
	qt.Check(t, z.runCount(z.far), qt.Equals, reached, qt.Commentf("no request reached the zone"))

	proxy.off.Store(false)
	z.evacuate("z", false)
	z.awaitEvacuated(0)
	z.eventually("the zone serves again", func() bool {
		z.request(z.far[0])
		return z.runCount(z.far) > reached
	})
}

// TestRestartAfterRestore restarts nodes of an evacuated zone while the store has lost the
// evacuation and the table: they receive both from the other nodes.
func TestRestartAfterRestore(t *testing.T) {
	z, proxy := newPartitionedSystem(t)
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

// TestContactsAfterRestore has the store lose the addresses of the nodes, twice in a row: the nodes
// write them again.
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
	w.eventually("some addresses are stored", func() bool { return len(w.store.Names(contact.Kind)) > 0 })
	time.Sleep(time.Second) // in which some nodes write their addresses at their start
	for range 2 {
		stored := w.store.Names(contact.Kind)
		w.store.Restore(empty)
		began := time.Now()
		w.eventually("they are stored again", func() bool {
			for _, name := range stored {
				if !w.store.Has(contact.Kind, name) {
					return false
				}
			}
			return true
		})
		t.Logf("%d entries were stored again after %v", len(stored), time.Since(began))
	}
}

// TestBlocksAfterRestore has the store lose the block of a fatal request: the block is written
// again, and the request crashes no more upstreams.
func TestBlocksAfterRestore(t *testing.T) {
	w := newEraSystem(t)
	m, nodes := newFatalSystemIn(w, func(r platformtest.Run) bool { return r.Body == "fatal" }, 3)
	backup := w.store.Snapshot()
	for i := range 6 {
		nodes[0].request("PUT", "/b/report", fmt.Sprint("fatal-", i), "fatal")
		time.Sleep(settleTime)
	}
	w.eventually("the block is stored", func() bool { return len(w.store.Names(blocklist.Kind)) == 1 })
	crashes := m.crashCount()
	w.store.Restore(backup)
	w.eventually("the block is written again", func() bool { return len(w.store.Names(blocklist.Kind)) == 1 })
	for i, n := range nodes {
		n.request("PUT", "/b/report", fmt.Sprint("again-", i), "fatal")
	}
	qt.Check(t, m.crashCount(), qt.Equals, crashes)
}

// TestReleaseAfterRestore has the store lose the release of a fatal request: its block is stored
// again, and no node applies it, not even one that has started since and read it.
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
	w.eventually("the block is stored", func() bool { return len(w.store.Names(blocklist.Kind)) == 1 })
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
	w.eventually("all nodes have received the release", none)
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

// TestWrongEraRejected has the store's responses name an earlier era, none, or no number, for some
// time: the nodes continue to serve, and accept its responses again afterwards.
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
			time.Sleep(1500 * time.Millisecond) // a node that reads on its own has read by then
			qt.Check(t, n.request("GET", "/c/x", "kept", "").status, qt.Equals, 200)
			qt.Check(t, n.request("GET", "/d/x", "not yet", "").status, qt.Equals, 404)
			qt.Check(t, n.era(), qt.Equals, "3")
			wrong.Store(false)
			w.eventually("its responses are accepted again", func() bool { return n.request("GET", "/d/x", "new", "").status == 200 })
			n.stop() // before the server in front of the store is closed
		})
	}
}
