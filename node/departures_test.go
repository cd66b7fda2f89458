// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// depart has the upstream of the node drain or leave, and returns whether that was acknowledged.
func (n *testNode) depart(drains bool) bool {
	if drains {
		return n.upstream.PrepareHeartbeat("draining")(n.settings.AnnounceAddress)
	}
	return n.upstream.SendLeave(n.settings.AnnounceAddress)
}

// awaitMembers waits until all nodes know each other.
func (s *testSystem) awaitMembers() {
	s.eventually("all know each other", func() bool {
		for _, m := range s.nodes {
			if m.members() != len(s.nodes) {
				return false
			}
		}
		return true
	})
}

// checkNotServed sends requests that only an upstream which has departed could run, after a late heartbeat of
// its start, and checks that it gets none.
func (n *testNode) checkNotServed(w *testSystem, caller *testNode) {
	before := len(n.upstream.Runs())
	w.eventually("a late heartbeat is answered", func() bool {
		return n.upstream.SendHeartbeatAs(n.settings.AnnounceAddress, n.upstream.ID, 1)
	})
	for i := range 100 {
		qt.Check(w.t, caller.request("PUT", "/a/x", fmt.Sprint("late", i), "").status, qt.Equals, 503)
	}
	qt.Check(w.t, len(n.upstream.Runs()), qt.Equals, before)
}

// TestDrainOutlivesNode guards against requests to an upstream whose drain or leave was acknowledged by
// a former process of its node: the present one must not announce it, whatever it says or responds. While
// the platform is away, neither is acknowledged, but other nodes know of it.
func TestDrainOutlivesNode(t *testing.T) {
	tests := map[string]struct {
		drains    bool // the upstream drains instead of leaving
		allNodes  bool // all nodes are restarted at once, not only the one beside it
		storeAway bool // the platform does not respond from before the call until the end
	}{
		"it leaves":                              {},
		"it drains":                              {drains: true},
		"it leaves, and all nodes are restarted": {allNodes: true},
		"it drains, and all nodes are restarted": {drains: true, allNodes: true},
		"it leaves during an outage":             {storeAway: true},
		"it drains during an outage":             {drains: true, storeAway: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestSystem(t)
			w.configure(1, "")
			nodes := []*testNode{w.add("a"), w.add("b")}
			nodes = append(nodes, w.add("b", nodes[1].settings.PeerAddress), w.add("b", nodes[1].settings.PeerAddress))
			leaving, caller := nodes[0], nodes[1]
			w.eventually("it serves", func() bool { return caller.request("PUT", "/a/x", "warm", "").status == 200 })
			w.awaitMembers()
			if test.storeAway {
				w.store.SetFaults(platformtest.Faults{Hang: true})
			}
			qt.Assert(t, leaving.upstream.SendHeartbeat(leaving.settings.AnnounceAddress), qt.IsTrue)
			qt.Assert(t, leaving.depart(test.drains), qt.Equals, !test.storeAway)
			restarted := nodes[:1]
			if test.allNodes {
				restarted = nodes
			}
			for _, m := range restarted {
				m.stop()
			}
			for _, m := range restarted {
				w.run(m)
			}
			w.eventually("all are ready", func() bool {
				for _, m := range nodes {
					if !m.ready() {
						return false
					}
				}
				return caller.request("GET", "/b/x", "other", "").status == 200
			})
			leaving.checkNotServed(w, caller)

			leaving.upstream.ID = "i-next"
			qt.Assert(t, leaving.upstream.SendHeartbeat(leaving.settings.AnnounceAddress), qt.IsTrue)
			n := 0
			w.eventually("the next start serves", func() bool {
				n++
				return caller.request("PUT", "/a/x", fmt.Sprint("next", n), "").status == 200
			})
		})
	}
}

// TestDepartureInOutageOutlivesAllNodes guards against a departure that is acknowledged while only processes
// know of it: all of them may end before the platform is back.
func TestDepartureInOutageOutlivesAllNodes(t *testing.T) {
	faults := map[string]platformtest.Faults{
		"the platform is silent":          {Hang: true},
		"the platform refuses all calls":  {Status: http.StatusServiceUnavailable},
		"the platform is slow":            {Delay: 900 * time.Millisecond},
		"responses to writes are lost":    {LoseWriteResponses: true},
		"the platform works all the time": {},
	}
	for name, fault := range faults {
		for kind, drains := range map[string]bool{"it leaves": false, "it drains": true} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				w := newTestSystem(t)
				w.configure(1, "")
				leaving, caller := w.add("a"), w.add("b")
				w.add("b", caller.settings.PeerAddress)
				w.add("b", caller.settings.PeerAddress)
				w.eventually("it serves", func() bool { return caller.request("PUT", "/a/x", "warm", "").status == 200 })
				w.awaitMembers()
				w.store.SetFaults(fault)
				back := time.AfterFunc(2*time.Second, func() { w.store.SetFaults(platformtest.Faults{}) })
				w.eventually("its departure is acknowledged", func() bool { return leaving.depart(drains) })
				for _, m := range w.nodes {
					m.stop()
				}
				back.Stop()
				w.store.SetFaults(platformtest.Faults{})
				for _, m := range w.nodes {
					w.run(m)
				}
				w.eventually("all are ready", func() bool {
					for _, m := range w.nodes {
						if !m.ready() {
							return false
						}
					}
					return caller.request("GET", "/b/x", "other", "").status == 200
				})
				leaving.checkNotServed(w, caller)
			})
		}
	}
}

// TestDepartureOfStartWithEarlierTime guards against an upstream that gets requests after the node has
// acknowledged that it drains or leaves, because a start with its ID and a later start time was current: the
// clock of its instance was set back between the two starts.
func TestDepartureOfStartWithEarlierTime(t *testing.T) {
	const startMillis = 1_700_000_000_000
	for name, test := range map[string]struct {
		drains  bool
		silent  bool // the second start sends no heartbeat before
		restart bool // the node is restarted after the acknowledgement
	}{
		"it drains":                            {drains: true},
		"it leaves":                            {},
		"it drains, as its first announcement": {drains: true, silent: true},
		"it leaves, as its first announcement": {silent: true},
		"it drains, and its node is restarted": {drains: true, restart: true},
		"it leaves, and its node is restarted": {restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestSystem(t)
			w.configure(1, "")
			m := w.addUpstream("z", &platformtest.Upstream{
				Service:     "a",
				StartMillis: startMillis + 2000,
			})
			caller := w.add("b")
			w.eventually("it serves", func() bool { return caller.request("PUT", "/a/x", "warm", "").status == 200 })
			w.awaitMembers()
			qt.Assert(t, m.upstream.SendHeartbeat(m.settings.AnnounceAddress), qt.IsTrue)
			m.upstream.Close()
			first := m.upstream
			m.upstream = &platformtest.Upstream{
				Service:     "a",
				ID:          first.ID,
				Slots:       first.Slots,
				StartMillis: startMillis + 1000,
				Address:     m.settings.UpstreamAddress,
			}
			_, err := m.upstream.Start()
			qt.Assert(t, err, qt.IsNil)
			if !test.silent {
				qt.Assert(t, m.upstream.SendHeartbeat(m.settings.AnnounceAddress), qt.IsTrue)
			}
			w.eventually("its departure is acknowledged", func() bool { return m.depart(test.drains) })
			if test.restart {
				m.stop()
				w.run(m)
				w.eventually("its node is ready", m.ready)
			}
			m.checkNotServed(w, caller)
		})
	}
}
