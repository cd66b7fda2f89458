// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sassafrasfront.example/operator"
)

const (
	// defaultShownNodes is the default number of nodes that are shown.
	defaultShownNodes = 5
	// maxShownCauses is the maximum number of causes that are shown for a node.
	maxShownCauses = 3
)

// usage is the resource usage of a node. Except for memory and files it is per second.
type usage struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Cores is the processor time, Bytes the traffic to and from peers, Memory the resident
	// bytes, Files the open file descriptors, and Calls the calls to the platform.
	Cores  float64 `json:"cores"`
	Bytes  float64 `json:"bytesPerSecond"`
	Memory float64 `json:"memoryBytes"`
	Files  float64 `json:"openFiles"`
	Calls  float64 `json:"platformCallsPerSecond"`
	// Refused is the number of requests refused because of the limit that the upstream beside
	// the node advertises.
	Refused float64 `json:"refusedForLimitPerSecond"`
	// Causes are the rates of the metrics that may explain the chosen measure, by name.
	Causes map[string]float64 `json:"causesPerSecond"`
}

// measures are the measures by which nodes can be compared, with the metrics that explain them.
var measures = map[string]struct {
	value  func(u usage) float64
	causes []string
}{
	"bytes":    {value: func(u usage) float64 { return u.Bytes }, causes: []string{"sassafras_control_bytes_total", "sassafras_peer_bytes_total", "sassafras_gate_body_bytes_total"}},
	"cores":    {value: func(u usage) float64 { return u.Cores }, causes: []string{"sassafras_control_requests_total", "sassafras_requests_total", "sassafras_gate_calls_total"}},
	"memory":   {value: func(u usage) float64 { return u.Memory }, causes: []string{"sassafras_gate_body_bytes_total", "sassafras_peer_bytes_total"}},
	"files":    {value: func(u usage) float64 { return u.Files }, causes: []string{"sassafras_control_requests_total", "sassafras_requests_total", "sassafras_gate_calls_total"}},
	"refused":  {value: func(u usage) float64 { return u.Refused }, causes: []string{"sassafras_upstream_limit_refused_total", "sassafras_gate_calls_total"}},
	"platform": {value: func(u usage) float64 { return u.Calls }, causes: []string{"sassafras_platform_calls_by_kind_total"}},
}

// measureNames returns the sorted names of the measures.
func measureNames() []string {
	var names []string
	for name := range measures {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// busiest shows the nodes with the highest resource usage, the median node, and the metrics
// that explain the usage.
func (t *tool) busiest(ctx context.Context, args []string) error {
	measure, ok := measures[t.measure]
	switch {
	case len(args) > 0:
		return exitError{exitUsage, errors.New("usage: sassafrasctl busiest -node ADDRESS [-by MEASURE] [-over TIME] [-show N]")}
	case !ok:
		return exitError{exitUsage, fmt.Errorf("-by: %q is not one of %s", t.measure, strings.Join(measureNames(), ", "))}
	case t.interval <= 0:
		return exitError{exitUsage, fmt.Errorf("-over: %v is not positive", t.interval)}
	case t.maxRows <= 0:
		return exitError{exitUsage, fmt.Errorf("-show: %d is not positive", t.maxRows)}
	}
	list, failures, err := t.usages(ctx, measure.causes)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return fmt.Errorf("none of the %d nodes responds on the port of %s", len(failures), t.node)
	}
	slices.SortFunc(list, func(a, b usage) int {
		return cmp.Or(cmp.Compare(measure.value(b), measure.value(a)), cmp.Compare(a.Node, b.Node))
	})
	if t.output == "json" {
		return json.NewEncoder(t.out).Encode(list[:min(t.maxRows, len(list))])
	}
	median := list[len(list)/2]
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tCORES\tKB/S\tMEMORY MB\tFILES\tPLATFORM CALLS/S\tMOSTLY, PER SECOND")
	for _, u := range list[:min(t.maxRows, len(list))] {
		fmt.Fprintln(w, u.row())
	}
	median.Node = fmt.Sprintf("middle of %d", len(list))
	median.Zone = "-"
	fmt.Fprintln(w, median.row())
	if err := w.Flush(); err != nil {
		return err
	}
	if len(failures) > 0 {
		fmt.Fprintf(t.out, "%d nodes not read, %s among them: %v\n", len(failures), failures[0].node, failures[0].err)
	}
	return nil
}

// row formats the usage as a row of the table.
func (u usage) row() string {
	var names []string
	for name := range u.Causes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(u.Causes[b], u.Causes[a]), cmp.Compare(a, b))
	})
	var causes []string
	for _, name := range names[:min(maxShownCauses, len(names))] {
		causes = append(causes, fmt.Sprintf("%s %.4g", name, u.Causes[name]))
	}
	return fmt.Sprintf("%s\t%s\t%.3f\t%.1f\t%.1f\t%.0f\t%.2f\t%s", u.Node, u.Zone, u.Cores, u.Bytes/1000, u.Memory/1e6, u.Files, u.Calls, strings.Join(causes, ", "))
}

// readFailure is a node whose metrics could not be read.
type readFailure struct {
	node string
	err  error
}

// usages reads the metrics of all nodes twice and returns their usage in between.
func (t *tool) usages(ctx context.Context, causes []string) (list []usage, failures []readFailure, err error) {
	nodes, addrs, err := t.nodes(ctx)
	if err != nil {
		return nil, nil, err
	}
	before := readAll(ctx, addrs, read)
	select {
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	case <-time.After(t.interval):
	}
	after := readAll(ctx, addrs, read)
	for i, n := range nodes {
		if err := errors.Join(before[i].err, after[i].err); err != nil {
			failures = append(failures, readFailure{
				node: n.Node,
				err:  err,
			})
			continue
		}
		list = append(list, usageBetween(n, before[i], after[i], causes))
	}
	return list, failures, nil
}

// sample is the metrics of a node at one time.
type sample struct {
	at     time.Time
	values map[string]float64
	err    error
}

// read reads the metrics of the node at an operator address.
func read(ctx context.Context, addr string) sample {
	data, err := callNode(ctx, addr, http.MethodGet, "/metrics")
	if err != nil {
		return sample{err: err}
	}
	return sample{
		at:     time.Now(),
		values: parseMetrics(string(data)),
	}
}

// usageBetween returns the usage of a node between two samples.
func usageBetween(n operator.NodeAddress, before, after sample, causes []string) usage {
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(name string) float64 { return max(0, after.values[name]-before.values[name]) / seconds }
	u := usage{
		Node:    n.Node,
		Zone:    n.Zone,
		Cores:   rate("process_cpu_seconds_total"),
		Memory:  after.values["process_resident_memory_bytes"],
		Files:   after.values["process_open_fds"],
		Calls:   rate("sassafras_platform_calls_total"),
		Refused: rate("sassafras_upstream_limit_refused_total"),
		Causes:  make(map[string]float64),
	}
	for name := range after.values {
		if strings.HasPrefix(name, "sassafras_peer_bytes_total{") {
			u.Bytes += rate(name)
		}
		family, labels, _ := strings.Cut(name, "{")
		if r := rate(name); r > 0 && slices.Contains(causes, family) {
			family = strings.TrimSuffix(strings.TrimPrefix(family, "sassafras_"), "_total")
			u.Causes[family+"{"+labels] = r
		}
	}
	return u
}

// parseMetrics parses metrics in the Prometheus text format. Lines in any other format are
// skipped.
func parseMetrics(text string) map[string]float64 {
	values := make(map[string]float64)
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		var v float64
		if _, err := fmt.Sscanf(line[i+1:], "%g", &v); err == nil {
			values[line[:i]] = v
		}
	}
	return values
}
