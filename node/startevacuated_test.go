// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// TestStartInEvacuatedZone guards against a node of an evacuated zone that has just started, has not
// discovered the nodes of the other zone and refuses its callers (noUpstream): from the moment at
// which it is ready, the nodes of the other zone serve its callers.
func TestStartInEvacuatedZone(t *testing.T) {
	tests := map[string]struct {
		faults  platformtest.Faults // while nodes of the evacuated zone restart
		onlyOne bool                // whether only one of them restarts
		before  bool                // whether all nodes have run and served before
	}{
		"all nodes at once":                         {},
		"restarted":                                 {before: true},
		"one of them":                               {before: true, onlyOne: true},
		"restarted, the platform is slow":           {before: true, faults: platformtest.Faults{Delay: 200 * time.Millisecond}},
		"restarted, the platform is unavailable":    {before: true, faults: platformtest.Faults{Status: 503}},
		"restarted, the platform hangs":             {before: true, faults: platformtest.Faults{Hang: true}},
		"one of them, the platform is unavailable":  {before: true, onlyOne: true, faults: platformtest.Faults{Status: 503}},
		"one of them, the platform loses responses": {before: true, onlyOne: true, faults: platformtest.Faults{LoseWriteResponses: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := &zonedSystem{testSystem: newTestSystem(t)}
			z.configure(1, "")
			z.evacuate("z", true)
			for range 2 {
				z.near = append(z.near, z.addIn("y", "b"))
				z.far = append(z.far, z.addIn("z", "b"))
			}
			starting := z.far
			if test.before {
				z.awaitEvacuated(1)
				z.awaitServing()
				if test.onlyOne {
					starting = z.far[:1]
				}
				for _, n := range starting {
					n.stop()
				}
				z.store.SetFaults(test.faults)
				for _, n := range starting {
					z.run(n)
				}
			}
			for _, n := range starting {
				z.eventually("it is ready", n.ready)
				got := z.request(n)
				qt.Check(t, got.status, qt.Equals, 200, qt.Commentf("%s: %s", n.settings.Node, got.body))
			}
			qt.Check(t, z.runCount(z.far), qt.Equals, 0)
		})
	}
}

// TestOnlyNodeInEvacuatedZone starts a node that has no other node to discover: it becomes ready,
// refuses what it can't serve, and serves its callers itself once the evacuation ends.
func TestOnlyNodeInEvacuatedZone(t *testing.T) {
	z := &zonedSystem{testSystem: newTestSystem(t)}
	z.configure(1, "")
	z.evacuate("z", true)
	z.far = []*testNode{z.addIn("z", "b")}
	z.eventually("it is ready", z.far[0].ready)
	got := z.request(z.far[0])
	qt.Check(t, got.status, qt.Equals, 503, qt.Commentf("%s", got.body))
	qt.Check(t, got.retryAfter, qt.Not(qt.Equals), "")
	qt.Check(t, z.runCount(z.far), qt.Equals, 0)
	z.evacuate("z", false)
	z.awaitServing()
}
