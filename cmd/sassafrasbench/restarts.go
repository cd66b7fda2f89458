// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sassafrasfront.example/cmd/sassafrasbench/load"
	"sassafrasfront.example/cmd/sassafrasbench/rig"
)

// entryService returns a service whose nodes are only used as entries by callers.
func entryService() rig.Spec {
	return rig.Spec{
		Service:   "office",
		Upstreams: 3,
		Slots:     1,
	}
}

// nodesOf returns the nodes of a service.
func nodesOf(r *rig.Rig, service string) []*rig.Node {
	var list []*rig.Node
	for _, n := range r.Nodes {
		if n.Service == service {
			list = append(list, n)
		}
	}
	return list
}

// kill kills a node or an upstream every 1.5 s and restarts it cold. Callers use entries
// that are not killed.
func kill(ctx context.Context, b *bench) error {
	spec := pledgebookService()
	r, err := b.start(ctx, nil, spec, entryService())
	if err != nil {
		return err
	}
	defer b.stop(r)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var kills int
	var all sync.WaitGroup
	all.Go(func() {
		victims := nodesOf(r, spec.Service)
		for ; ctx.Err() == nil; kills++ {
			n := victims[rand.IntN(len(victims))]
			if kills%2 == 0 {
				n.SignalNode(syscall.SIGKILL)
				n.WaitNode()
				time.Sleep(300 * time.Millisecond)
				_ = n.StartNode()
			} else {
				n.SignalUpstream(syscall.SIGKILL)
				n.WaitUpstream()
				time.Sleep(300 * time.Millisecond)
				_ = n.StartUpstream()
			}
			sleep(ctx, 1200*time.Millisecond)
		}
	})
	result := b.load(ctx, load.Plan{
		Rate:         0.4 * capacity(spec),
		Duration:     20 * time.Second,
		PostFraction: 0.5,
		Host:         spec.Service + ".example",
	}, nodesOf(r, "office"))
	cancel()
	all.Wait()
	b.set("kills", kills)
	b.set("sent", result.Sent)
	b.set("refused", result.Refused)
	b.set("causes", causes(result))
	b.set("failedIdempotent", result.FailedIdempotent)
	b.set("failedOther", result.Failed+result.Incomplete-result.FailedIdempotent)
	b.set("p99Ms", result.Quantile(0.99))
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// rolling replaces all nodes and upstreams one by one: it drains and replaces each upstream,
// and stops and restarts its node. Callers skip nodes that report that they are not
// ready.
func rolling(ctx context.Context, b *bench) error {
	spec := pledgebookService()
	r, err := b.start(ctx, []string{"-drainTimeout", "10s"}, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ready := newReadiness(ctx, r.Nodes)
	var drainMillis []float64
	done := make(chan error, 1)
	go func() {
		for _, n := range r.Nodes {
			d, err := replace(ctx, r, n)
			if err != nil {
				done <- err
				return
			}
			drainMillis = append(drainMillis, d.Seconds()*1000)
		}
		done <- nil
	}()
	result := b.load(ctx, load.Plan{
		Rate:         0.4 * capacity(spec),
		Duration:     45 * time.Second,
		PostFraction: 0.5,
		Target:       func(int) string { return ready.pick().CallerURL() + "/" },
	}, r.Nodes)
	select {
	case err = <-done:
	default:
		err = fmt.Errorf("not all were replaced within the load")
	}
	b.set("replaced", len(drainMillis))
	b.set("sent", result.Sent)
	b.set("causes", causes(result))
	b.set("errors", result.Failed+result.Refused+result.Incomplete)
	b.set("refused", result.Refused)
	b.set("p99Ms", result.Quantile(0.99))
	b.set("drainToLastNewP50Ms", median(drainMillis))
	b.set("drainToLastNewMaxMs", maximum(drainMillis))
	return err
}

// replace drains and replaces the upstream of a node, and then restarts the node. It
// returns the time from the drain to the last request that reached the upstream.
func replace(ctx context.Context, r *rig.Rig, n *rig.Node) (time.Duration, error) {
	drained := time.Now()
	if err := n.Drain(true); err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	rec, err := n.Record()
	if err != nil {
		return 0, err
	}
	n.SignalUpstream(syscall.SIGTERM)
	n.WaitUpstream()
	n.SignalNode(syscall.SIGTERM)
	n.WaitNode()
	if err := n.StartNode(); err != nil {
		return 0, err
	}
	if err := n.StartUpstream(); err != nil {
		return 0, err
	}
	return max(0, rec.LastArrival.Sub(drained)), r.WaitForDiscovery(ctx)
}

// causes formats the number of failures by cause.
func causes(r *load.Result) string {
	var list []string
	for cause, n := range r.Causes {
		list = append(list, fmt.Sprint(cause, ":", n))
	}
	slices.Sort(list)
	return "[" + strings.Join(list, ",") + "]"
}

// readiness tracks which nodes are ready.
type readiness struct {
	mu    sync.Mutex
	ready []*rig.Node
}

func newReadiness(ctx context.Context, nodes []*rig.Node) *readiness {
	r := &readiness{ready: nodes}
	go func() {
		for ctx.Err() == nil {
			var ready []*rig.Node
			for _, n := range nodes {
				response, err := http.Get(n.OperatorURL() + "/readyz")
				if err != nil {
					continue
				}
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready = append(ready, n)
				}
			}
			r.mu.Lock()
			r.ready = ready
			r.mu.Unlock()
			sleep(ctx, 50*time.Millisecond)
		}
	}()
	return r
}

func (r *readiness) pick() *rig.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[rand.IntN(len(r.ready))]
}
