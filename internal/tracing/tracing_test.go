// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package tracing_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"sassafrasfront.example/internal/tracing"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestSpansReachTheCollector makes a span within a caller's trace.
func TestSpansReachTheCollector(t *testing.T) {
	var mu sync.Mutex
	var got collector.ExportTraceServiceRequest
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		qt.Check(t, proto.Unmarshal(data, &got), qt.IsNil)
	}))
	defer s.Close()
	ctx := context.Background()
	tracer, stop, err := tracing.Config{URL: s.URL + "/v1/traces", Node: "n1", Zone: "z"}.Tracer(ctx)
	qt.Assert(t, err, qt.IsNil)
	in := &tracing.FieldCarrier{List: []peer.Field{{Name: "Traceparent", Value: "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"}}}
	spanCtx, span := tracer.Start(tracing.Extract(ctx, in), "gate")
	out := new(tracing.FieldCarrier)
	tracing.Inject(spanCtx, out)
	tracing.EndSpan(span, 0, verdict.New(verdict.Refused, nil))
	qt.Assert(t, stop(ctx), qt.IsNil)
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, got.ResourceSpans, qt.HasLen, 1)
	sent := got.ResourceSpans[0].ScopeSpans[0].Spans[0]
	qt.Check(t, sent.Name, qt.Equals, "gate")
	qt.Check(t, sent.ParentSpanId, qt.DeepEquals, []byte{0x01, 0x23, 0x45, 0x67, 0x89, 0xab, 0xcd, 0xef})
	qt.Check(t, out.Get("traceparent"), qt.Contains, "0123456789abcdef0123456789abcdef")
	qt.Check(t, out.Keys(), qt.HasLen, 1)
}

// TestUnresponsiveCollectorNeverBlocks makes many more spans than the queue holds while the
// collector does not respond.
func TestUnresponsiveCollectorNeverBlocks(t *testing.T) {
	hold := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer s.Close()
	defer close(hold)
	tracer, stop, err := tracing.Config{URL: s.URL + "/v1/traces", SampleRatio: 1}.Tracer(context.Background())
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			_, span := tracer.Start(context.Background(), "entry")
			span.End()
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("creating spans blocks on the collector")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_ = stop(ctx)
}

// TestFieldCarrierCopiesOnSet checks that Set does not modify a shared list.
func TestFieldCarrierCopiesOnSet(t *testing.T) {
	shared := []peer.Field{{Name: "Traceparent", Value: "old"}, {Name: "A", Value: "1"}}
	f := &tracing.FieldCarrier{List: shared}
	f.Set("traceparent", "new")
	qt.Check(t, f.Get("Traceparent"), qt.Equals, "new")
	qt.Check(t, shared[0].Value, qt.Equals, "old")
	qt.Check(t, f.List, qt.HasLen, 2)
}
