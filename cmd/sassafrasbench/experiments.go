// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"sassafrasfront.example/cmd/sassafrasbench/load"
	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
	"sassafrasfront.example/operator"
)

// experiment is a named measurement.
type experiment struct {
	name  string
	about string
	run   func(ctx context.Context, b *bench) error
}

// experiments are all experiments.
var experiments = []experiment{
	{"added", "latency and processor time that entry and gate add to a call", added},
	{"slow", "one upstream becomes 10x slower at 70% load, for each policy", slow},
	{"overload", "load of 150% of the capacity", overload},
	{"neighbour", "reconciliation at 5x its share beside interactive requests", neighbour},
	{"kill", "upstreams and nodes killed at random and restarted", kill},
	{"rolling", "all nodes and upstreams replaced one by one", rolling},
	{"budget", "cost of load reports and the control state at 1x and 10x callers", budget},
	{"hedge", "tail latency with and without hedging", hedge},
	{"config", "a change each second at 30 nodes, with kills", config},
	{"outage", "the platform down for longer than every lease", outage},
	{"race", "concurrent writes of operators and representatives with lost responses", race},
	{"platformcost", "calls to the platform at 9, 30 and 90 nodes", platformCost},
	{"controlcost", "control traffic, processor time and memory per node at 9, 30 and 90 nodes", controlCost},
}

// bench is the state of one run of an experiment.
type bench struct {
	name       string
	binaries   string
	dir        string
	startTimes processorTimes
	results    []*load.Result
	runCounts  map[string]int
	figures    []string
}

// runExperiment runs the named experiment and prints its results.
func runExperiment(ctx context.Context, name string) error {
	for _, e := range experiments {
		if e.name != name {
			continue
		}
		b, err := newBench(name)
		if err != nil {
			return err
		}
		defer os.RemoveAll(b.dir)
		if err := e.run(ctx, b); err != nil {
			return err
		}
		return b.print()
	}
	return fmt.Errorf("no experiment %q; the list command shows all", name)
}

func newBench(name string) (*bench, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "sassafrasbench")
	return &bench{
		name:       name,
		binaries:   filepath.Dir(exe),
		dir:        dir,
		startTimes: readProcessorTimes(),
		runCounts:  make(map[string]int),
	}, err
}

// set adds a key and its value to the results.
func (b *bench) set(key string, value any) {
	if f, ok := value.(float64); ok {
		value = fmt.Sprintf("%.3g", f)
	}
	b.figures = append(b.figures, fmt.Sprintf("%s=%v", key, value))
}

// print prints the results, with the violated guarantees counted over all load.
func (b *bench) print() error {
	var doubleRuns, falseNotRun, wrongBodies, incomplete int
	for _, r := range b.results {
		d, f := r.CountViolations(b.runCounts)
		doubleRuns += d
		falseNotRun += f
		wrongBodies += r.WrongBody
		incomplete += r.Incomplete
	}
	if len(b.results) > 0 {
		b.set("doubleRuns", doubleRuns)
		b.set("falseNotRun", falseNotRun)
		b.set("wrongAnswers", wrongBodies)
		b.set("cutAnswers", incomplete)
	}
	busy := readProcessorTimes().busySince(b.startTimes)
	b.set("busy", busy)
	if busy > 0.5 {
		fmt.Println("invalid: the machine was more than half busy")
	}
	fmt.Printf("experiment=%s %s\n", b.name, strings.Join(b.figures, " "))
	if doubleRuns+falseNotRun+wrongBodies > 0 {
		return fmt.Errorf("guarantees violated")
	}
	return nil
}

// start starts a system. The caller must pass the result to stop.
func (b *bench) start(ctx context.Context, flags []string, specs ...rig.Spec) (*rig.Rig, error) {
	dir, err := os.MkdirTemp(b.dir, "rig")
	if err != nil {
		return nil, err
	}
	r, err := rig.Start(ctx, b.binaries, rig.Options{
		Zones: benchZones,
		Flags: flags,
		Dir:   dir,
	}, specs...)
	if err != nil {
		r.Stop()
	}
	return r, err
}

// stop stops a system and adds the counts of its request logs to those of the run.
func (b *bench) stop(r *rig.Rig) {
	r.Stop()
	for id, n := range r.RunCounts() {
		b.runCounts[id] += n
	}
}

// load runs a plan against the nodes of a system and records its result.
func (b *bench) load(ctx context.Context, p load.Plan, nodes []*rig.Node) *load.Result {
	if p.Target == nil {
		p.Target = func(i int) string { return nodes[i%len(nodes)].CallerURL() + "/" }
	}
	if p.Host == "" {
		p.Host = nodes[0].Service + ".example"
	}
	p.Prefix = load.Prefix(b.name)
	r := load.Run(ctx, p)
	b.results = append(b.results, r)
	return r
}

var benchZones = []string{"hob-a", "hob-b", "kingston"}

// pledgebookService returns the service pledgebook at its present size, whose capacity is 5,000
// requests per second.
func pledgebookService() rig.Spec {
	return rig.Spec{
		Service:   "pledgebook",
		Upstreams: 10,
		Slots:     10,
		Parameters: backend.Parameters{
			MeanMillis: 20,
			Sigma:      0.8,
		},
		Config: operator.Service{
			Timeout: operator.Duration(2 * time.Second),
		},
	}
}

// capacity returns the number of requests per second that a service can run.
func capacity(s rig.Spec) float64 {
	return float64(s.Upstreams*s.Slots) * 1000 / s.Parameters.MeanMillis
}

// list prints the experiments.
func list() {
	sort.Slice(experiments, func(i, j int) bool { return experiments[i].name < experiments[j].name })
	for _, e := range experiments {
		fmt.Printf("%-14s %s\n", e.name, e.about)
	}
}
