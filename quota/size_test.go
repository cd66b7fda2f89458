// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/quota"
)

// organisations returns n limits.
func organisations(n int) map[string]quota.Limit {
	limits := make(map[string]quota.Limit, n)
	for i := range n {
		limits[fmt.Sprintf("organisation-%05d", i)] = quota.Limit{Rate: 100, Burst: 100}
	}
	return limits
}

// TestMessageSize checks the size of messages: it depends on the number of tokens requested, and
// not on that of organisations or nodes.
func TestMessageSize(t *testing.T) {
	for _, wanted := range []int{0, 1, 10} {
		r := quota.Request{
			Incarnation: 1796255000000,
			Sequence:    123456,
			Coordinator: 1 << 31,
			Clock:       time.Hour,
			Elapsed:     150 * time.Millisecond,
			Nodes:       18000,
		}
		response := quota.Response{
			Coordinator: 1 << 31,
			Clock:       time.Hour,
			Nodes:       18000,
		}
		for i := range wanted {
			name := fmt.Sprintf("org%05d", i)
			r.Wanted = append(r.Wanted, quota.TokenCount{Organisation: name, Tokens: 1})
			response.Grants = append(response.Grants, quota.Grant{Organisation: name, Tokens: 1})
		}
		request, err := msgpack.Marshal(r)
		qt.Assert(t, err, qt.IsNil)
		back, err := msgpack.Marshal(response)
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%d organisations: request of %d B, response of %d B", wanted, len(request), len(back))
		qt.Check(t, len(request) <= 80+wanted*20, qt.IsTrue)
		qt.Check(t, len(back) <= 60+wanted*20, qt.IsTrue)
	}
}

// TestExchangeRate has 70 nodes without requests, and with eleven requests a second each. A node
// sends as many messages as it needs for its share or for its requests, but not for both.
func TestExchangeRate(t *testing.T) {
	for name, rate := range map[string]float64{"idle": 0, "eleven a second": 11} {
		const nodes = 70
		c := newCluster(8, nodes, limited(2000, 2000))
		if rate > 0 {
			c.load("o", rate*nodes, 0, 20*time.Second, func() *simNode { return c.nodes[c.random.IntN(nodes)] })
		}
		c.runUntil(5 * time.Second)
		before := c.exchanges
		c.runUntil(15 * time.Second)
		each := float64(c.exchanges-before) / 10 / nodes
		t.Logf("%s: %.1f exchanges per second and node", name, each)
		qt.Check(t, each <= 5+rate, qt.IsTrue)
	}
}

// TestCoordinatorSize checks that a coordinator keeps less than a megabyte for each thousand
// organisations, and as much for each thousand nodes.
func TestCoordinatorSize(t *testing.T) {
	for _, size := range []struct{ organisations, nodes int }{{1000, 70}, {10000, 70}, {10000, 1000}, {10000, 18000}} {
		limits := organisations(size.organisations)
		before := heapInUse()
		c := quota.NewCoordinator(1, exact, 0)
		c.SetLimits(limits, 0)
		for i := range size.nodes {
			node := fmt.Sprint("node-", i)
			for number := range uint64(2) {
				c.HandleRequest(node, &quota.Request{Incarnation: 1, Sequence: number + 1, Coordinator: 1, Nodes: size.nodes}, 0)
			}
		}
		after := heapInUse()
		t.Logf("%d organisations, %d nodes: %.2f MB", size.organisations, size.nodes, float64(after-before)/1e6)
		qt.Check(t, after-before < int64(size.organisations+size.nodes)*1000, qt.IsTrue)
		runtime.KeepAlive(c)
		runtime.KeepAlive(limits)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHandleRequest handles a Request for one token of a node whose share is held.
func BenchmarkHandleRequest(b *testing.B) {
	for _, nodes := range []int{70, 1000, 18000} {
		b.Run(fmt.Sprint("nodes ", nodes), func(b *testing.B) {
			c := quota.NewCoordinator(1, exact, 0)
			c.SetLimits(organisations(10000), 0)
			names := make([]string, nodes)
			for i := range names {
				names[i] = fmt.Sprint("node-", i)
			}
			wanted := []quota.TokenCount{{Organisation: "organisation-00007", Tokens: 1}}
			for _, name := range names {
				c.HandleRequest(name, &quota.Request{Incarnation: 1, Sequence: 1, Coordinator: 1, Nodes: nodes}, 0)
			}
			b.ResetTimer()
			for i := range uint64(b.N) {
				c.HandleRequest(names[i%uint64(nodes)], &quota.Request{Incarnation: 1, Sequence: i + 2, Coordinator: 1, Nodes: nodes, Wanted: wanted}, 0)
			}
		})
	}
}

// BenchmarkJoin adds the share of one more node, which updates all buckets.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{100, 10000} {
		b.Run(fmt.Sprint("organisations ", n), func(b *testing.B) {
			c := quota.NewCoordinator(1, exact, 0)
			c.SetLimits(organisations(n), 0)
			for i := range uint64(b.N) {
				nodes := int(i%2) * 70 // delegated and withdrawn
				c.HandleRequest("n", &quota.Request{Incarnation: 1, Sequence: i + 1, Coordinator: 1, Nodes: nodes}, 0)
			}
		})
	}
}
