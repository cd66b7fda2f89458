// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfront.example/claim"
	"sassafrasfront.example/connlimit"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/internal/tracing"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/ratelimit"
	"sassafrasfront.example/spool"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// Dispatcher sends requests to upstreams.
type Dispatcher interface {
	Do(ctx context.Context, r *entry.Request) (*entry.Result, *verdict.Error)
}

// Outcome describes a request that has ended.
type Outcome struct {
	// ID is the request ID.
	ID string
	// Service and Class are the service and class of the request. They are empty if its host
	// is unknown.
	Service, Class string
	// Route is the name of its route, or empty.
	Route string
	// Organisation is the name of the organisation on whose behalf it was sent, or empty.
	Organisation string
	// Method and Path are those of the request.
	Method, Path string
	// Fingerprint identifies the request. It is zero if the request was not accepted.
	Fingerprint quarantine.Fingerprint
	// Status is the HTTP status of the response to the caller.
	Status int
	// Failure is why there was no response, or why it was truncated, or nil.
	Failure *verdict.Error
	// Attempts is the number of attempts.
	Attempts int
	// Steps are the decisions made on the request.
	Steps []entry.Step
	// Duration is the time from the header of the request to the end of the response.
	Duration time.Duration
	// BodyBytes is the length of a body that was spooled, and BodyReceiveTime the time that
	// it took to receive it from the caller; 0 if it was not received completely.
	BodyBytes       int64
	BodyReceiveTime time.Duration
	// TransferTime is the time that the transfer of that body to the upstream's node took, and
	// QueueTime the time that the request then waited there for a slot, if it was answered.
	TransferTime, QueueTime time.Duration
}

// Handler is an http.Handler that forwards the requests of callers to upstreams. The exported
// fields are set before the first request.
type Handler struct {
	// Lookup returns the service that has the host, or nil. Ready is false
	// while no configuration is known at all.
	Lookup func(host string) (s *entry.Service, ready bool)
	// Resolver, if not nil, finds the targets of requests in place of Lookup.
	Resolver Resolver
	// FieldNames are the names of the header fields that callers use.
	FieldNames upstream.FieldNames
	// Service, if not nil, returns the service that runs beside this node. Its name when a request begins
	// is sent to upstreams as the origin of the request, if a header field is configured for it.
	Service func() string
	// LocalCallers is whether all callers are on this node's instance. Requests then get no
	// fields that describe their origin, as Service does so.
	LocalCallers bool
	// Dispatcher sends the requests.
	Dispatcher Dispatcher
	// MaySuspect, if not nil, returns whether a request with the header of p may be
	// suspected of crashing upstreams.
	MaySuspect func(p quarantine.Fingerprint) bool
	// Admit, if not nil, admits a request under its organisation's rate limit, or returns
	// why it must not run.
	Admit func(ctx context.Context, r ratelimit.Request) (*ratelimit.Permit, *verdict.Error)
	// ShutdownDeadline, if not nil, returns when the requests in flight are cancelled, or the
	// zero time if the node is not stopping. A request that may take longer is refused.
	ShutdownDeadline func() time.Time
	// Claims keeps retried requests from running twice, for the services that enable
	// this. If it is nil, their requests with an IdempotencyKey are refused.
	Claims *claim.Store
	// Node is the node's name, for Via and for the header field that names the node of the
	// upstream.
	Node string
	// Tracer starts a span for each request.
	Tracer trace.Tracer
	// OnRequestEnd, if not nil, is called at the end of each request.
	OnRequestEnd func(Outcome)

	inFlight inFlight
}

// exchange is the handling of one request.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	began   time.Time
	outcome Outcome
	// origin is the service beside this node when the request began.
	origin string
	// bodyReadFailed is whether reading the body failed, after which the start of the next
	// request can't be determined.
	bodyReadFailed atomic.Bool
	// bodyRead is whether the body has been read, or reading it has failed.
	bodyRead bool
	// streamed is the body if it is read while the request is in flight, or nil.
	streamed *streamedBody
	// spooled is the body if it is spooled as well, or nil.
	spooled *spool.Body
	// closesConnection is whether the response is the last one of its connection.
	closesConnection bool
	// permit is the permit of the organisation's rate limit, or nil.
	permit *ratelimit.Permit
	// held is what the request makes the process hold, or nil if that is not bounded.
	held *connlimit.Request
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if c := connectionOf(r); c != nil {
		c.markHandlerStarted()
	}
	x := &exchange{
		handler: h,
		w:       w,
		r:       r,
		began:   began,
		outcome: Outcome{
			ID:     requestID(r, h.FieldNames.OrDefault().RequestID),
			Method: r.Method,
			Path:   r.URL.Path,
		},
	}
	if h.Service != nil {
		x.origin = h.Service()
	}
	h.inFlight.add(x)
	defer h.inFlight.remove(x)
	defer func() { x.held.End() }()
	ctx := tracing.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	abort := x.serve(ctx)
	if f := x.outcome.Failure; f != nil && f.Verdict() == verdict.NotRun {
		x.permit.Refund()
	}
	x.outcome.Duration = time.Since(began)
	x.recordBodyTime()
	abort = !x.finishBody() || abort
	if span.IsRecording() {
		span.SetAttributes(attribute.String("http.request.method", r.Method), attribute.String("sassafras.service", x.outcome.Service), attribute.Int("sassafras.tries", x.outcome.Attempts))
	}
	tracing.EndSpan(span, x.outcome.Status, x.outcome.Failure)
	if h.OnRequestEnd != nil {
		h.OnRequestEnd(x.outcome)
	}
	if abort {
		if c := connectionOf(r); c != nil && !r.ProtoAtLeast(1, 1) {
			c.resetAtEnd() // a response without a length ends with its connection
		}
		panic(http.ErrAbortHandler)
	}
}

// recordBodyTime records how long it took to receive the body.
func (x *exchange) recordBodyTime() {
	if x.spooled == nil {
		return
	}
	x.outcome.BodyBytes = x.spooled.Length
	if receiveTime, complete := x.spooled.ReceiveTime(); complete {
		x.outcome.BodyReceiveTime = receiveTime
	}
}

// requestID returns the caller's request ID if it is valid, or a new one.
func requestID(r *http.Request, name string) string {
	const maxLength = 128
	id := r.Header.Get(name)
	plain := strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
	if id != "" && len(id) <= maxLength && plain {
		return id
	}
	return rand.Text()
}

// serve handles the request. It returns whether the response must be truncated.
func (x *exchange) serve(ctx context.Context) (truncated bool) {
	held, err := connlimit.Begin(x.r)
	if err != nil {
		x.writeFailure(overloaded(err))
		return false
	}
	x.held = held
	target, failure := x.resolver().Resolve(x.r)
	if failure == nil {
		failure = checkSupported(x.r, target.MaxHeaderBytes)
	}
	if failure != nil {
		x.writeFailure(failure)
		return false
	}
	s := target.Service
	x.outcome.Service = s.Name
	x.outcome.Class = target.Class
	x.outcome.Route = target.Route
	x.outcome.Organisation = target.Organisation
	if failure := x.admit(ctx, target); failure != nil {
		x.writeFailure(failure)
		return false
	}
	q, failure := x.buildRequest(ctx, target)
	if failure == nil {
		failure = x.checkShutdown(q)
	}
	if failure != nil {
		x.writeFailure(failure)
		return false
	}
	if key := x.r.Header.Get(IdempotencyKey); key != "" && s.Config.Resend.Enabled && !q.Idempotent {
		return x.serveClaimed(ctx, s, q, key)
	}
	return x.dispatch(ctx, q, nil)
}

// OverloadedRetryAfter is the time after which a caller may retry a request for which there was no
// room. The connections that take the room are closed within that time.
const OverloadedRetryAfter = 500 * time.Millisecond

// overloaded returns the failure of a request for which there is no room.
func overloaded(err error) *verdict.Error {
	return verdict.New(verdict.Overloaded, err).WithRetryAfter(OverloadedRetryAfter)
}

// admit admits the request under its organisation's rate limit. Retries on its behalf count as
// the same request.
func (x *exchange) admit(ctx context.Context, t *Target) (failure *verdict.Error) {
	if t.Organisation == "" || x.handler.Admit == nil {
		return nil
	}
	remaining, err := timeoutOf(x.r, x.handler.FieldNames.OrDefault().Timeout, math.MaxInt64)
	if err != nil {
		return verdict.New(verdict.BadRequest, err)
	}
	x.permit, failure = x.handler.Admit(ctx, ratelimit.Request{
		Organisation: t.Organisation,
		Class:        t.Class,
		Remaining:    remaining,
		Objective:    t.Objective,
	})
	return failure
}

// RetryElsewhereDelay is the time after which a caller may retry a request that a stopping node
// has refused, or no longer forwards. Other nodes accept it.
const RetryElsewhereDelay = 250 * time.Millisecond

// checkShutdown returns a failure if the request may still be in flight when the stopping node
// cancels those that remain.
func (x *exchange) checkShutdown(q *entry.Request) *verdict.Error {
	if x.handler.ShutdownDeadline == nil {
		return nil
	}
	deadline := x.handler.ShutdownDeadline()
	if deadline.IsZero() || !q.Deadline.After(deadline) {
		return nil
	}
	return verdict.New(verdict.NotSent, eris.New("this node stops before the request's deadline")).WithRetryAfter(RetryElsewhereDelay)
}

// resolver returns the resolver of the request's target.
func (x *exchange) resolver() Resolver {
	if x.handler.Resolver != nil {
		return x.handler.Resolver
	}
	return hostResolver(x.handler.Lookup)
}

// dispatch sends the request and forwards its response. Recorder, if not nil, also gets the
// response.
func (x *exchange) dispatch(ctx context.Context, q *entry.Request, recorder *claimRecorder) (truncated bool) {
	result, failure := x.handler.Dispatcher.Do(ctx, q)
	x.outcome.Steps = q.Steps
	x.outcome.Attempts = entry.CountAttempts(q.Steps)
	if failure != nil {
		failure = x.shutdownFailure(failure)
	}
	recorder.recordResult(result, failure)
	if failure != nil {
		x.writeFailure(failure)
		return false
	}
	defer result.Close()
	x.outcome.TransferTime, x.outcome.QueueTime = result.TransferTime, result.QueueTime
	truncated = x.writeResponse(result)
	recorder.recordEnd(truncated)
	return truncated
}

// shutdownFailure returns the failure of a request that has been forwarded: the cause Stopped in
// place of CallerGone if the request's context ended because the node had to stop.
func (x *exchange) shutdownFailure(failure *verdict.Error) *verdict.Error {
	reason, ok := errors.AsType[*verdict.Error](context.Cause(x.r.Context()))
	if !ok || failure.Cause != verdict.CallerGone {
		return failure
	}
	return verdict.New(verdict.Stopped, reason.Err).WithGivenUp()
}

// matchClass returns the first class that the request matches, or the first class.
func matchClass(s *operator.Service, r *http.Request) string {
	for _, c := range s.Classes {
		values := r.Header.Values(c.Header)
		if c.Header != "" && len(values) > 0 && (c.Value == "" || c.Value == values[0]) {
			return c.Name
		}
		for _, h := range c.Hosts {
			if strings.EqualFold(h, strings.Split(r.Host, ":")[0]) {
				return c.Name
			}
		}
	}
	return s.Classes[0].Name
}
