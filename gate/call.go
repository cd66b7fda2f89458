// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfront.example/internal/httpfield"
	"sassafrasfront.example/internal/tracing"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/verdict"
)

// maxSingleFrameBytes is the largest response body that is sent in one frame.
const maxSingleFrameBytes = 32 << 10

// call is the handling of one call.
type call struct {
	gate   *Gate
	in     *peer.InboundCall
	status int
	waited time.Duration
	// bodyTime is how long the body took to arrive, if it was sent ahead of admission.
	bodyTime time.Duration
	body     *quarantine.BodyHasher // hashes the body as it passes through, if the entry node has not buffered it
}

// runRecovered calls run and turns a panic into a failure of the call: a fault that one request
// triggers must not end the node. The call is not sent to another node, as that would fail in
// the same way.
func (c *call) runRecovered(ctx context.Context) (failure *verdict.Error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		failure = verdict.New(verdict.GateFailed, eris.Errorf("panic: %v", value))
		if c.gate.Panicked != nil {
			c.gate.Panicked(c.in.Call, value, debug.Stack())
		}
	}()
	return c.run(ctx)
}

// run handles the call up to the end of its response, or returns why there is none or why
// it was cut off.
func (c *call) run(ctx context.Context) *verdict.Error {
	if failure := c.gate.Quarantine.Assess(c.in.Call.Fingerprint).Failure(); failure != nil {
		return failure
	}
	ticket, b, failure := c.admit(ctx)
	if failure != nil {
		return failure
	}
	c.waited = ticket.Waited()
	var healthy, abandoned bool
	released := false
	release := func() {
		switch {
		case released:
			return
		case abandoned:
			ticket.Abandon()
		default:
			ticket.Release(healthy)
		}
		released = true
	}
	defer release()
	ctx, end := c.gate.beginUnsent(ctx, b)
	defer end()
	if slowFailure := c.gate.checkSlowed(ctx, c.in); slowFailure != nil {
		return closedFailure(ctx, slowFailure)
	}
	endUpload, failure := c.gate.beginUpload(c.in, b)
	if failure != nil {
		return failure
	}
	defer endUpload()
	if err := c.in.Admit(ctx); err != nil {
		e := verdict.As(err, verdict.BodyLost)
		return closedFailure(ctx, verdict.New(verdict.Revoked, e))
	}
	assessment, unlock, failure := c.gate.isolate(c.in.Call.Fingerprint)
	if failure != nil {
		return failure
	}
	defer unlock()
	b.start.calls.Add(1)
	defer b.start.calls.Add(-1)
	run := c.track(b, assessment.State == quarantine.Isolated)
	defer run.End()
	r, err := c.request(ctx, b)
	if err != nil {
		return verdict.New(verdict.BadRequest, err)
	}
	ctx, span := c.gate.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	tracing.Inject(ctx, propagation.HeaderCarrier(r.Header))
	began := time.Now()
	response, failure := b.transport.Send(r, c.forwardInformational)
	if failure = closedFailure(ctx, failure); failure != nil {
		tracing.EndSpan(span, 0, failure)
		if failure.Verdict() != verdict.NotRun {
			run.Abandon()
			abandoned = ctx.Err() != nil
		}
		if failure.Cause == verdict.UpstreamRefused {
			ticket.UpstreamRefused()
		}
		c.recordOutcome(b, failure, time.Since(began))
		c.gate.handleSendFailure(b, failure)
		return failure
	}
	defer response.Body.Close()
	c.status = response.StatusCode
	c.recordOutcome(b, nil, time.Since(began)) // before the response, whose load report includes it
	failure = c.forwardResponse(response, func() {
		healthy = c.status < http.StatusInternalServerError && c.gate.isCurrent(b) // the time of an error is no sample
		release()
	})
	tracing.EndSpan(span, c.status, failure)
	if failure != nil {
		run.Abandon()
		abandoned = ctx.Err() != nil
		c.recordOutcome(b, failure, time.Since(began))
		return failure
	}
	if c.status < http.StatusInternalServerError {
		c.gate.recordCompleted(c.fingerprint())
	}
	return nil
}

// fingerprint returns the fingerprint of the call, including the part of its body passed on so far.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.body == nil {
		return c.in.Call.Fingerprint
	}
	return c.body.Fingerprint(c.in.Call.Fingerprint)
}

// recordOutcome records whether the upstream failed the call. A passed deadline or a caller that
// left says nothing about the upstream, and the outcome at an earlier start says nothing about
// the current one. For an abandoned request the time that it has taken so far still counts.
func (c *call) recordOutcome(b *binding, failure *verdict.Error, took time.Duration) {
	if !c.gate.isCurrent(b) {
		return
	}
	failed := c.status == http.StatusInternalServerError
	known := failure == nil
	if failure != nil {
		switch failure.Cause {
		case verdict.UpstreamLost, verdict.UpstreamRefused, verdict.ResponseMalformed, verdict.ResponseInvalid, verdict.ResponseTruncated:
			failed, known = true, true
		case verdict.UpstreamDialFailed, verdict.NotWritten, verdict.WrongUpstream, verdict.Draining, verdict.Refused:
			return // nothing ran
		}
	}
	if known {
		c.gate.admit.RecordResult(failed)
	}
	if c.gate.RequestCompleted != nil {
		c.gate.RequestCompleted(c.in.Call.Class, known && failed, took)
	}
}

// request returns the request for the upstream.
func (c *call) request(ctx context.Context, b *binding) (*http.Request, error) {
	m := c.in.Call
	target, err := url.ParseRequestURI(m.Target)
	if err != nil {
		return nil, err
	}
	r := (&http.Request{
		Method:        m.Method,
		URL:           target,
		Host:          m.Host,
		Header:        httpfield.ToHeader(m.Header),
		ContentLength: m.Length,
	}).WithContext(ctx)
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // keeps the library from adding its own
	}
	remaining := max(1, time.Until(c.in.Deadline()).Milliseconds())
	names := c.gate.Names.OrDefault()
	r.Header.Set(names.Timeout, strconv.FormatInt(remaining, 10))
	if names.ExpectedInstance != "" {
		r.Header.Set(names.ExpectedInstance, b.announcement.StartID)
	}
	if m.Length != 0 {
		r.Body = io.NopCloser(c.bodyReader())
	}
	if m.Streams && m.Length < 0 {
		r.Trailer = make(http.Header)
		r.Body = &trailerReader{
			Reader:  c.bodyReader(),
			in:      c.in,
			trailer: r.Trailer,
		}
	}
	return r, nil
}

// bodyReader returns a reader of the call's body.
func (c *call) bodyReader() io.Reader {
	if c.body != nil {
		return c.body
	}
	return c.in.Body()
}

// trailerReader is a body that fills in the trailer when it ends.
type trailerReader struct {
	io.Reader
	in      *peer.InboundCall
	trailer http.Header
}

// Read implements io.Reader.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if err == io.EOF {
		for _, f := range t.in.Trailer() {
			t.trailer.Add(f.Name, f.Value)
		}
	}
	return n, err
}

// Close implements io.Closer.
func (t *trailerReader) Close() error { return nil }

// forwardInformational passes an informational (1xx) response on. One with too many header fields
// is dropped, which HTTP allows.
func (c *call) forwardInformational(status int, h http.Header) {
	if fields := httpfield.FromHeader(h); len(fields) <= peer.MaxFields {
		_ = c.in.SendInformational(status, fields)
	}
}

// forwardResponse passes the upstream's response on. It calls ended once the upstream has sent all
// of it, so that the slot is free before the last frame is written.
func (c *call) forwardResponse(r *http.Response, ended func()) *verdict.Error {
	head := &peer.ResponseHead{
		Status: r.StatusCode,
		Header: httpfield.FromHeader(r.Header),
		Length: r.ContentLength,
		Report: c.gate.reportFor(c.in.From.Node),

		TransferTime: c.bodyTime,
		QueueTime:    c.waited,
	}
	c.in.Notice = c.gate.peerNotice()
	if len(head.Header) > peer.MaxFields {
		return verdict.New(verdict.ResponseInvalid, eris.Errorf("%d header fields in the response", len(head.Header)))
	}
	if r.ContentLength < 0 || r.ContentLength > maxSingleFrameBytes {
		return c.streamResponse(r, head, ended)
	}
	data, err := io.ReadAll(r.Body)
	head.Body = data
	if err != nil && c.gate.Names.Signature != "" {
		// Nothing of the response has been sent yet: another upstream may still give one.
		return verdict.New(verdict.ResponseMalformed, err)
	}
	if err != nil {
		// Send the header and the part of the body that was read, then report the truncation.
		_ = c.in.BeginResponse(head)
		return verdict.As(err, verdict.ResponseTruncated)
	}
	ended()
	head.Trailer = httpfield.FromHeader(r.Trailer)
	if c.in.Reply(head) != nil {
		return verdict.New(verdict.ResponseTruncated, nil)
	}
	return nil
}

// streamResponse passes on a response that is large or of unknown length.
func (c *call) streamResponse(r *http.Response, head *peer.ResponseHead, ended func()) *verdict.Error {
	if err := c.in.BeginResponse(head); err != nil {
		return verdict.As(err, verdict.ResponseTruncated)
	}
	if err := c.in.CopyBody(r.Body); err != nil {
		return verdict.As(err, verdict.ResponseTruncated)
	}
	ended()
	trailer := httpfield.FromHeader(r.Trailer)
	if len(trailer) > peer.MaxFields || c.in.FinishResponse(trailer) != nil {
		return verdict.New(verdict.ResponseTruncated, nil)
	}
	return nil
}
