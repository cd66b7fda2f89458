// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"sassafrasfront.example/cmd/sassafrasbench/load"
	"sassafrasfront.example/cmd/sassafrasbench/rig"
	"sassafrasfront.example/internal/backend"
)

// spanCollector is a fake OTLP collector. It keeps the spans it receives.
type spanCollector struct {
	mu   sync.Mutex
	list []*tracepb.Span
}

// ServeHTTP implements http.Handler.
func (s *spanCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var m collector.ExportTraceServiceRequest
	if err != nil || proto.Unmarshal(data, &m) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, resource := range m.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			s.list = append(s.list, scope.Spans...)
		}
	}
}

// trace returns the spans of a trace in the order of their start times.
func (s *spanCollector) trace(id string) []*tracepb.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*tracepb.Span
	for _, x := range s.list {
		if fmt.Sprintf("%x", x.TraceId) == id {
			list = append(list, x)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].StartTimeUnixNano < list[j].StartTimeUnixNano })
	return list
}

// demo demonstrates the system: where requests run, a complete trace, and what
// callers observe while one upstream drains and one is killed under load.
func demo(ctx context.Context) error {
	b, err := newBench("demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(b.dir)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	collected := new(spanCollector)
	collectorServer := &http.Server{Handler: collected}
	go func() { _ = collectorServer.Serve(l) }()
	defer collectorServer.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	fmt.Println("starting a fake platform, and three upstreams with a node beside each, in three zones")
	spec := smallService(3)
	spec.Parameters = backend.Parameters{MeanMillis: 5}
	r, err := b.start(ctx, []string{"-traceURL", "http://" + l.Addr().String() + "/v1/traces"}, spec)
	if err != nil {
		return err
	}
	defer r.Stop()
	if err := showRouting(ctx, r); err != nil {
		return err
	}
	if err := showTrace(ctx, r, collected); err != nil {
		return err
	}
	result := runUnderLoad(ctx, b, r)
	r.Stop()
	for id, n := range r.RunCounts() {
		b.runCounts[id] += n
	}
	doubleRuns, falseNotRun := result.CountViolations(b.runCounts)
	fmt.Printf("\nsummary: sent=%d answered=%d refused=%d failed=%d cut=%d wrong=%d doubleRuns=%d falseNotRun=%d p99=%.1fms\n",
		result.Sent, result.Useful, result.Refused, result.Failed, result.Incomplete, result.WrongBody, doubleRuns, falseNotRun, result.Quantile(0.99))
	fmt.Printf("requests in flight on the killed upstream may fail if they are not idempotent; %d idempotent ones failed\n", result.FailedIdempotent)
	if result.FailedIdempotent+result.WrongBody+doubleRuns+falseNotRun+result.Incomplete > 0 || result.Useful < result.Sent*99/100 {
		return fmt.Errorf("the demonstration failed: see the summary")
	}
	fmt.Println("all guarantees held")
	return nil
}

// showRouting sends a few requests and prints where each ran.
func showRouting(ctx context.Context, r *rig.Rig) error {
	fmt.Println("\nrequests through different nodes, and where each one ran:")
	for i := range 6 {
		entry := r.Nodes[i%len(r.Nodes)]
		response, body, err := sendDemoRequest(ctx, entry, fmt.Sprint("demo-", i), "")
		if err != nil {
			return err
		}
		fmt.Printf("  demo-%d through %-14s -> %-14s %s %q\n", i, entry.Name, response.Header.Get("Sassafras-Node"), response.Status, body)
	}
	return nil
}

func sendDemoRequest(ctx context.Context, entry *rig.Node, id, parent string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.CallerURL()+"/enquiries", strings.NewReader("hello"))
	if err != nil {
		return nil, "", err
	}
	request.Host = entry.Service + ".example"
	request.Header.Set(backend.IDHeader, id)
	if parent != "" {
		request.Header.Set("traceparent", parent)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// showTrace sends a request as part of a trace and prints the spans of the trace.
func showTrace(ctx context.Context, r *rig.Rig, collected *spanCollector) error {
	const id = "0123456789abcdef0123456789abcdef"
	if _, _, err := sendDemoRequest(ctx, r.Nodes[0], "demo-trace", "00-"+id+"-0123456789abcdef-01"); err != nil {
		return err
	}
	const wantSpans = 3 // entry, gate, upstream
	if err := rig.Poll(ctx, func() bool { return len(collected.trace(id)) >= wantSpans }); err != nil {
		return fmt.Errorf("trace %s has %d spans, not %d: %w", id, len(collected.trace(id)), wantSpans, err)
	}
	fmt.Println("\na complete trace:")
	for _, s := range collected.trace(id) {
		attributes := make(map[string]string)
		for _, a := range s.Attributes {
			text, _ := json.Marshal(a.Value.Value)
			attributes[a.Key] = string(text)
		}
		fmt.Printf("  %-9s span=%x parent=%x took=%.2fms %v\n", s.Name, s.SpanId, s.ParentSpanId,
			float64(s.EndTimeUnixNano-s.StartTimeUnixNano)/1e6, attributes)
	}
	return nil
}

// runUnderLoad sends requests while one upstream drains and another is killed.
func runUnderLoad(ctx context.Context, b *bench, r *rig.Rig) *load.Result {
	fmt.Println("\n200 requests a second for 5 s; one upstream drains after 1 s and comes back, another is killed after 3 s")
	go func() {
		time.Sleep(time.Second)
		fmt.Println("  draining", r.Nodes[0].Name, r.Nodes[0].Drain(true))
		time.Sleep(time.Second)
		fmt.Println("  back:", r.Nodes[0].Name, r.Nodes[0].Drain(false))
		time.Sleep(time.Second)
		fmt.Println("  killing the upstream of", r.Nodes[1].Name)
		r.Nodes[1].SignalUpstream(syscall.SIGKILL)
	}()
	return b.load(ctx, load.Plan{
		Rate:         200,
		Duration:     5 * time.Second,
		PostFraction: 0.5,
	}, r.Nodes)
}
