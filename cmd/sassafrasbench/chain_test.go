// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/operator"
)

// TestRetriesDoNotMultiplyAlongChain sends idempotent requests through a chain of six services, the
// last of which fails every request. Only the last hop may retry, within its budget; if every hop
// retried, the number of attempts would grow exponentially with the depth.
func TestRetriesDoNotMultiplyAlongChain(t *testing.T) {
	const depth, requests, burst = 6, 100, 4
	var specs []rig.Spec
	var names []string
	for i := range depth {
		names = append(names, fmt.Sprint("chain", i))
		specs = append(specs, rig.Spec{
			Service:    names[i],
			Upstreams:  2,
			Slots:      20,
			Parameters: backend.Parameters{MeanMillis: 1},
			Config:     operator.Service{Retry: operator.Retry{Ratio: 0.1, Burst: burst}},
		})
	}
	ctx, r := start(t, specs...)
	entry := r.Nodes[0]
	statuses := make(map[int]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for worker := range 5 {
		all.Go(func() {
			for i := range requests / 5 {
				got := call(ctx, entry, names[0], http.MethodGet, "/?next="+strings.Join(names[1:], ","), fmt.Sprintf("chain-%d-%d", worker, i))
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	qt.Check(t, statuses[http.StatusBadGateway], qt.Equals, requests, qt.Commentf("%v", statuses))
	runs := make([]int, depth)
	for i, name := range names {
		for _, n := range nodesOf(r, name) {
			counts := make(map[string]int)
			n.AddRunCounts(counts)
			for _, k := range counts {
				runs[i] += k
			}
		}
	}
	t.Logf("runs by depth: %v", runs)
	// Two nodes call the last service, each with its own retry budget.
	maxRuns := requests + requests/10 + 2*burst
	for i, k := range runs {
		qt.Check(t, k >= requests && k <= maxRuns, qt.IsTrue, qt.Commentf("%d runs at depth %d", k, i))
	}
}

// TestIdempotencyKeyRunsOnce sends requests with the same Idempotency-Key repeatedly, concurrently
// and through all nodes. Both a request that succeeds and one whose upstream closes the connection
// must run only once.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	s := spec(3)
	s.Config.Resend = operator.Resend{Enabled: true, WritesPerSecond: 100}
	ctx, r := start(t, s)
	send := func(ctx context.Context, i int, target string) (int, string) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.Nodes[i%3].CallerURL()+target, strings.NewReader("letter"))
		qt.Assert(t, err, qt.IsNil)
		request.Host = "pledgebook.example"
		request.Header.Set("Idempotency-Key", "letter-7"+target)
		request.Header.Set(backend.IDHeader, "letter-7"+target)
		response, err := http.DefaultTransport.RoundTrip(request)
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode, response.Header.Get("Sassafras-Replayed")
	}
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() { send(ctx, i, "/?millis=50") })
	}
	all.Wait()
	err := rig.Poll(ctx, func() bool {
		status, replayed := send(ctx, 1, "/?millis=50")
		return status == http.StatusOK && replayed == "true"
	})
	qt.Assert(t, err, qt.IsNil)
	for i := range 3 {
		status, _ := send(ctx, i, "/?die=1")
		qt.Check(t, status, qt.Equals, http.StatusBadGateway)
	}
	runs := r.RunCounts()
	qt.Check(t, runs["letter-7/?millis=50"], qt.Equals, 1)
	qt.Check(t, runs["letter-7/?die=1"], qt.Equals, 1)
}
