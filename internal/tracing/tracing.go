// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package tracing

import (
	"context"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// Config configures the export of traces. The zero value disables it, at no cost.
type Config struct {
	// URL is the URL of the OTLP collector, such as http://10.0.0.1:4318/v1/traces.
	URL string
	// SampleRatio is the fraction of the traces started here that are sampled. Traces started
	// by a caller keep the caller's decision.
	SampleRatio float64
	// Node and Zone identify this process in its spans.
	Node, Zone string
}

// maxQueuedSpans bounds the spans that wait for the collector. More are dropped, so that
// requests never wait for it.
const maxQueuedSpans = 2048

// Tracer returns a tracer, and a function that flushes the pending spans and stops it.
func (c Config) Tracer(ctx context.Context) (trace.Tracer, func(context.Context) error, error) {
	if c.URL == "" {
		return noop.NewTracerProvider().Tracer(""), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.URL))
	if err != nil {
		return nil, nil, err
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithBatchTimeout(time.Second)),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(c.SampleRatio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "sassafrasnode"),
			attribute.String("service.instance.id", c.Node),
			attribute.String("cloud.availability_zone", c.Zone),
		)),
	)
	return provider.Tracer("sassafrasfront.example"), provider.Shutdown, nil
}

// propagator decodes and encodes W3C trace contexts.
var propagator = propagation.TraceContext{}

// Extract returns ctx with the trace context of the header h.
func Extract(ctx context.Context, h propagation.TextMapCarrier) context.Context {
	return propagator.Extract(ctx, h)
}

// Inject writes the trace context of ctx into the header h, if it has one.
func Inject(ctx context.Context, h propagation.TextMapCarrier) {
	propagator.Inject(ctx, h)
}

// FieldCarrier is a list of header fields as a carrier of trace contexts.
type FieldCarrier struct {
	List []peer.Field
}

// Get implements propagation.TextMapCarrier.
func (f *FieldCarrier) Get(key string) string {
	for _, x := range f.List {
		if strings.EqualFold(x.Name, key) {
			return x.Value
		}
	}
	return ""
}

// Set implements propagation.TextMapCarrier. The list is copied before it is
// changed.
func (f *FieldCarrier) Set(key, value string) {
	list := make([]peer.Field, 0, len(f.List)+1)
	for _, x := range f.List {
		if !strings.EqualFold(x.Name, key) {
			list = append(list, x)
		}
	}
	f.List = append(list, peer.Field{
		Name:  key,
		Value: value,
	})
}

// Keys implements propagation.TextMapCarrier.
func (f *FieldCarrier) Keys() []string {
	keys := make([]string, len(f.List))
	for i, x := range f.List {
		keys[i] = x.Name
	}
	return keys
}

// EndSpan ends a span with the verdict on its request. A nil failure means that
// the request got a response with the given status.
func EndSpan(span trace.Span, status int, failure *verdict.Error) {
	if failure == nil {
		span.SetAttributes(attribute.Int("http.response.status_code", status), attribute.String("sassafras.verdict", verdict.Ran.String()))
	} else {
		span.SetAttributes(attribute.String("sassafras.verdict", failure.Verdict().String()), attribute.String("sassafras.cause", string(failure.Cause)))
		span.SetStatus(codes.Error, failure.Error())
	}
	span.End()
}
