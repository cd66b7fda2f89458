// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform"
	"sassafrasfront.example/platform/platformtest"
)

// rolloutSystem is a system with upstreams of a service in two versions.
type rolloutSystem struct {
	*testSystem
	oldNodes, newNodes []*testNode
	sent, served       atomic.Int64 // requests that callers sent, and those that were served
}

// heartbeatInterval is the time between two heartbeats of an upstream.
const heartbeatInterval = 100 * time.Millisecond

// newRolloutSystem starts three upstreams of the version v1.
func newRolloutSystem(t *testing.T) *rolloutSystem {
	v := &rolloutSystem{testSystem: newTestSystem(t)}
	v.rolloutShare = 0.1
	v.configure(1, "")
	for range 3 {
		v.oldNodes = append(v.oldNodes, v.addWithHeartbeats("v1", nil))
	}
	for _, n := range v.oldNodes {
		v.eventually("each node serves", func() bool { return n.request("PUT", "/b/x", "first", "").status == 200 })
	}
	return v
}

// addWithHeartbeats starts a node beside an upstream of a version that sends heartbeats.
func (v *rolloutSystem) addWithHeartbeats(version string, failing func(platformtest.Run) bool) *testNode {
	m := v.addUpstream("z", &platformtest.Upstream{Service: "b", Version: version, ShouldFail: failing})
	ctx, cancel := context.WithCancel(context.Background())
	v.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			m.upstream.SendHeartbeat(m.settings.AnnounceAddress)
			time.Sleep(heartbeatInterval)
		}
	}()
	return m
}

// order writes the order for the version v2 of the service, whose upstreams then start.
func (v *rolloutSystem) order(seconds float64, failing func(platformtest.Run) bool) {
	v.store.Put(platform.RolloutKind, "b", map[string]any{"service": "b", "targetVersion": "v2", "durationS": seconds})
	for range 3 {
		v.newNodes = append(v.newNodes, v.addWithHeartbeats("v2", failing))
	}
}

// startCallers sends requests to the nodes of the old version until the returned function is
// called.
func (v *rolloutSystem) startCallers() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() {
			for ctx.Err() == nil {
				n := v.sent.Add(1)
				if v.oldNodes[i%3].request("GET", "/b/x", fmt.Sprint("v-", n), "").status == 200 {
					v.served.Add(1)
				}
			}
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// state returns the state of the rollout that is stored on the platform.
func (v *rolloutSystem) state() string {
	var s struct{ State, TargetVersion string }
	_ = json.Unmarshal(v.store.Status(platform.RolloutKind, "b"), &s)
	return s.State
}

// runsOf returns how many requests the upstreams of some nodes have run.
func runsOf(nodes []*testNode) (runs int) {
	for _, n := range nodes {
		runs += len(n.upstream.Runs())
	}
	return runs
}

// TestRolloutOfFaulty orders a version that fails half of its requests: it gets no more than
// its share, is rolled back, and gets nothing from then on, also after all nodes have been
// restarted.
func TestRolloutOfFaulty(t *testing.T) {
	v := newRolloutSystem(t)
	var i atomic.Int64
	stop := v.startCallers()
	v.order(20, func(platformtest.Run) bool { return i.Add(1)%2 == 0 })
	v.eventually("it is reported as running", func() bool { return v.state() == "running" || v.state() == "rolled_back" })
	v.eventually("it is rolled back", func() bool { return v.state() == "rolled_back" })
	stop()
	received := runsOf(v.newNodes)
	qt.Check(t, received > 0, qt.IsTrue)
	qt.Check(t, float64(received) <= 0.1*float64(v.sent.Load())+50, qt.IsTrue, qt.Commentf("%d of %d", received, v.sent.Load()))
	for _, n := range v.nodes {
		n.stop()
		v.run(n)
	}
	for _, n := range v.oldNodes {
		v.eventually("each node serves", func() bool { return n.request("PUT", "/b/x", "again", "").status == 200 })
	}
	received = runsOf(v.newNodes)
	stop = v.startCallers()
	time.Sleep(time.Second)
	stop()
	qt.Check(t, runsOf(v.newNodes), qt.Equals, received)
}

// TestRolloutOfGood orders a version that is as good as the old one: all requests move there
// before the rollout is completed.
func TestRolloutOfGood(t *testing.T) {
	v := newRolloutSystem(t)
	stop := v.startCallers()
	v.order(8, nil)
	v.eventually("it is completed", func() bool { return v.state() == "completed" })
	before := runsOf(v.oldNodes)
	for range 200 {
		n := v.oldNodes[v.sent.Add(1)%3]
		qt.Check(t, n.request("GET", "/b/x", fmt.Sprint("after-", v.sent.Load()), "").status, qt.Equals, 200)
	}
	stop()
	qt.Check(t, runsOf(v.oldNodes)-before <= 20, qt.IsTrue, qt.Commentf("%d went to the old version", runsOf(v.oldNodes)-before))
}
