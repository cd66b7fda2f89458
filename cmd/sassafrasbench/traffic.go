// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sassafrasfront.example/cmd/sassafrasbench/load"
	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/operator"
)

// added compares calls through an entry and a gate with direct calls to the
// same upstreams, which respond immediately.
func added(ctx context.Context, b *bench) error {
	for _, processors := range []string{"0", "1", "2"} {
		if err := addedWith(ctx, b, processors); err != nil {
			return err
		}
	}
	return nil
}

// addedWith measures nodes that use the given number of processors.
func addedWith(ctx context.Context, b *bench, processors string) error {
	spec := pledgebookService()
	spec.Upstreams = 3
	spec.Slots = 64
	spec.Parameters = backend.Parameters{}
	r, err := b.start(ctx, []string{"-processors", processors}, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	const rate = 1500
	plan := load.Plan{
		Rate:     rate,
		Duration: 2 * time.Second,
	}
	direct := plan
	direct.Target = func(i int) string { return r.Nodes[i%len(r.Nodes)].BackendURL() + "/" }
	b.load(ctx, plan, r.Nodes) // warm-up
	var seconds float64
	var addedP50, addedP99, addedP999 []float64
	for range 5 {
		d := b.load(ctx, direct, r.Nodes)
		before := nodeSeconds(r.Nodes)
		t := b.load(ctx, plan, r.Nodes)
		seconds += nodeSeconds(r.Nodes) - before
		addedP50 = append(addedP50, t.Quantile(0.5)-d.Quantile(0.5))
		addedP99 = append(addedP99, t.Quantile(0.99)-d.Quantile(0.99))
		addedP999 = append(addedP999, t.Quantile(0.999)-d.Quantile(0.999))
		fmt.Printf("direct p50=%.3g p99=%.3g p999=%.3g ms, through p50=%.3g p99=%.3g p999=%.3g ms\n",
			d.Quantile(0.5), d.Quantile(0.99), d.Quantile(0.999), t.Quantile(0.5), t.Quantile(0.99), t.Quantile(0.999))
	}
	name := "processors" + processors
	b.set(name+"AddedP50Ms", median(addedP50))
	b.set(name+"AddedP99Ms", median(addedP99))
	b.set(name+"AddedP999Ms", median(addedP999))
	b.set(name+"MicrosPerCall", 1e6*seconds/(5*rate*plan.Duration.Seconds()))
	return nil
}

func nodeSeconds(nodes []*rig.Node) float64 {
	var sum float64
	for _, n := range nodes {
		sum += processSeconds(n.NodePID())
	}
	return sum
}

// slow makes one upstream 10x slower at 70% load, for each routing policy.
func slow(ctx context.Context, b *bench) error {
	for _, policy := range []string{"twoChoice", "roundRobin", "random", "leastOutstanding", "hotCold", "twoChoice+hedge"} {
		if err := slowWith(ctx, b, policy); err != nil {
			return err
		}
	}
	return nil
}

func slowWith(ctx context.Context, b *bench, policy string) error {
	spec := pledgebookService()
	name := policy
	if policy == "twoChoice+hedge" {
		name, policy = "hedged", "twoChoice"
		spec.Config.Hedge.Ratio = 0.05
	}
	r, err := b.start(ctx, []string{"-policy", policy}, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	plan := load.Plan{
		Rate:         0.7 * capacity(spec),
		Duration:     6 * time.Second,
		PostFraction: 0.5,
	}
	b.load(ctx, plan, r.Nodes)
	before := b.load(ctx, plan, r.Nodes)
	parameters := spec.Parameters
	parameters.SlowFactor = 10
	if err := r.Nodes[0].SetParameters(parameters); err != nil {
		return err
	}
	during := b.load(ctx, plan, r.Nodes)
	fmt.Printf("%s: before p99=%.4g p999=%.4g, during p99=%.4g p999=%.4g ms, refused %d of %d\n",
		name, before.Quantile(0.99), before.Quantile(0.999), during.Quantile(0.99), during.Quantile(0.999), during.Refused, during.Sent)
	b.set(name+"P99Ms", during.Quantile(0.99))
	b.set(name+"P999Ms", during.Quantile(0.999))
	b.set(name+"P99Ratio", during.Quantile(0.99)/before.Quantile(0.99))
	b.set(name+"Refused", during.Refused)
	return nil
}

// overload sends 150% of the load that the service can run.
func overload(ctx context.Context, b *bench) error {
	spec := pledgebookService()
	r, err := b.start(ctx, nil, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	plan := load.Plan{
		Rate:         0.7 * capacity(spec),
		Duration:     5 * time.Second,
		PostFraction: 0.5,
	}
	b.load(ctx, plan, r.Nodes)
	normal := b.load(ctx, plan, r.Nodes)
	plan.Rate = 1.5 * capacity(spec)
	plan.Duration = 10 * time.Second
	over := b.load(ctx, plan, r.Nodes)
	b.set("usefulShareOfCapacity", float64(over.Useful)/plan.Duration.Seconds()/capacity(spec))
	b.set("refusalP99Ms", over.RefusalQuantile(0.99))
	b.set("admittedP99Ms", over.Quantile(0.99))
	b.set("normalP99Ms", normal.Quantile(0.99))
	b.set("admittedP99Ratio", over.Quantile(0.99)/normal.Quantile(0.99))
	b.set("failed", over.Failed)
	return nil
}

// neighbour runs reconciliation jobs at five times their share beside interactive
// requests.
func neighbour(ctx context.Context, b *bench) error {
	spec := pledgebookService()
	const header = "X-Job"
	spec.Config.Classes = []operator.Class{
		{Name: "interactive", Weight: 4, Priority: 1},
		{Name: "reconciliation", Weight: 1, MaxShare: 0.3, Header: header},
	}
	r, err := b.start(ctx, nil, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	interactive := load.Plan{
		Rate:         0.3 * capacity(spec),
		Duration:     8 * time.Second,
		PostFraction: 0.5,
	}
	jobs := interactive
	jobs.Rate = capacity(spec) // five times its fair share of a fifth
	jobs.Header = http.Header{header: {"1"}}
	b.load(ctx, interactive, r.Nodes)
	alone := b.load(ctx, interactive, r.Nodes)
	var job *load.Result
	var mu sync.Mutex
	var all sync.WaitGroup
	all.Go(func() {
		j := load.Run(ctx, withTarget(jobs, r.Nodes))
		mu.Lock()
		job = j
		mu.Unlock()
	})
	beside := b.load(ctx, interactive, r.Nodes)
	all.Wait()
	b.results = append(b.results, job)
	b.set("aloneP99Ms", alone.Quantile(0.99))
	b.set("besideP99Ms", beside.Quantile(0.99))
	b.set("ratio", beside.Quantile(0.99)/alone.Quantile(0.99))
	b.set("interactiveRefused", beside.Refused)
	b.set("jobsUseful", job.Useful)
	b.set("jobsRefused", job.Refused)
	return nil
}

// withTarget sets the fields that bench.load sets, for a load that runs concurrently with another.
func withTarget(p load.Plan, nodes []*rig.Node) load.Plan {
	p.Target = func(i int) string { return nodes[i%len(nodes)].CallerURL() + "/" }
	p.Host = nodes[0].Service + ".example"
	p.Prefix = load.Prefix("beside")
	return p
}

// budget measures the cost of load reports and the control state at 1x and 10x callers.
func budget(ctx context.Context, b *bench) error {
	spec := pledgebookService()
	r, err := b.start(ctx, nil, spec)
	if err != nil {
		return err
	}
	defer b.stop(r)
	cost := make(map[float64]float64)
	for _, rate := range []float64{300, 3000} {
		plan := load.Plan{
			Rate:     rate,
			Duration: 3 * time.Second,
		}
		b.load(ctx, plan, r.Nodes)
		plan.Duration = 10 * time.Second
		var bytes, messages float64
		for _, n := range r.Nodes {
			bytes -= sumMetric(n.OperatorURL(), "sassafras_watch_bytes_total", "")
			messages -= sumMetric(n.OperatorURL(), "sassafras_watch_messages_total", "")
		}
		b.load(ctx, plan, r.Nodes)
		for _, n := range r.Nodes {
			bytes += sumMetric(n.OperatorURL(), "sassafras_watch_bytes_total", "")
			messages += sumMetric(n.OperatorURL(), "sassafras_watch_messages_total", "")
		}
		nodeSeconds := plan.Duration.Seconds() * float64(len(r.Nodes))
		cost[rate] = bytes / nodeSeconds
		b.set(fmt.Sprintf("bytesPerNodeAndSecondAt%.0f", rate), cost[rate])
		b.set(fmt.Sprintf("messagesPerNodeAndSecondAt%.0f", rate), messages/nodeSeconds)
	}
	b.set("ratio", cost[3000]/cost[300])
	return nil
}

// hedge compares the tail latency with and without hedging of idempotent requests, with
// upstreams whose service times vary widely.
func hedge(ctx context.Context, b *bench) error {
	for _, share := range []float64{0, 0.05} {
		spec := pledgebookService()
		spec.Parameters.Sigma = 1.2
		spec.Config.Hedge.Ratio = share
		r, err := b.start(ctx, nil, spec)
		if err != nil {
			return err
		}
		plan := load.Plan{
			Rate:     0.4 * capacity(spec),
			Duration: 4 * time.Second,
		}
		b.load(ctx, plan, r.Nodes)
		plan.Duration = 12 * time.Second
		before := totalRuns(r)
		result := b.load(ctx, plan, r.Nodes)
		name := fmt.Sprintf("share%g", share)
		b.set(name+"P99Ms", result.Quantile(0.99))
		b.set(name+"P999Ms", result.Quantile(0.999))
		b.set(name+"ExtraRuns", float64(totalRuns(r)-before)/float64(result.Sent)-1)
		b.stop(r)
	}
	return nil
}

func totalRuns(r *rig.Rig) int {
	var sum int
	for _, n := range r.RunCounts() {
		sum += n
	}
	return sum
}
