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

// Outcome is what became of a request.
type Outcome struct {
	// ID is the request id.
	ID string
	// Service and Class are what the request was taken for. They are empty if
	// its host is unknown.
	Service, Class string
	// Route is the name of its route, or empty.
	Route string
	// Organisation is the name of the organisation on whose behalf it was sent, or empty.
	Organisation string
	// Method and Path are the request's.
	Method, Path string
	// Print tells the request from others. It is zero if the request was not taken up.
	Fingerprint quarantine.Fingerprint
	// Status is the HTTP status that the caller got.
	Status int
	// Failure is why there was no answer, or why it was cut, or nil.
	Failure *verdict.Error
	// Tries is the number of sendings.
	Attempts int
	// Steps are the decisions on the request.
	Steps []entry.Step
	// Took is the time from the head of the request to the end of the answer.
	Duration time.Duration
	// Body is the length of a body that was kept as it came in, in bytes, and BodyTook how
	// long it took to come in from the caller; 0 if it has not.
	BodyBytes       int64
	BodyReceiveTime time.Duration
	// Arrived and Waited are how long that body took to the upstream's node, and the
	// request then waited there for a slot, if it was answered.
	TransferTime, QueueTime time.Duration
}

// Handler is an http.Handler. The exported fields are set before the first
// request.
type Handler struct {
	// Lookup returns the service that has the host, or nil. Ready is false
	// while no configuration is known at all.
	Lookup func(host string) (s *entry.Service, ready bool)
	// Resolver, if not nil, finds the targets of requests in place of Lookup.
	Resolver Resolver
	// Names are the header fields that callers use.
	FieldNames upstream.FieldNames
	// Service is the service that runs beside this node. It is named to the
	// upstream as the one that the request comes from, if there is a field for it.
	Service string
	// Beside is whether all callers are on this node's instance. Nothing is added
	// then to a request of where it comes from: Service says it.
	LocalCallers bool
	// Dispatcher sends the requests.
	Dispatcher Dispatcher
	// Suspects, if not nil, returns whether a request with the head of p may be one that
	// ends upstreams.
	MaySuspect func(p quarantine.Fingerprint) bool
	// Admit, if not nil, lets a request in as far as its organisation's rate limit allows,
	// or returns why it must not run.
	Admit func(ctx context.Context, r ratelimit.Request) (*ratelimit.Permit, *verdict.Error)
	// Ends, if not nil, returns when the requests that are under way are cut, or the zero
	// time if that is not to come. One that may take longer is refused.
	ShutdownDeadline func() time.Time
	// Claims keeps resent requests from running twice, for the services that ask
	// for it. Nil refuses their requests that have an IdempotencyKey.
	Claims *claim.Store
	// Node is named in Via and in the header that says where a request ran.
	Node string
	// Tracer makes a span for each request.
	Tracer trace.Tracer
	// Ended, if not nil, is called at the end of each request.
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
	// broken is whether reading the body failed, after which nobody knows where
	// the next request begins.
	bodyReadFailed atomic.Bool
	// streamed is the body if it is read while the request is under way, or nil.
	streamed *streamedBody
	// kept is the body if it is kept besides, or nil.
	spooled *spool.Body
	// closes is whether the answer is the last one of its connection.
	closesConnection bool
	// pass is what its organisation's rate limit lets it in by, or nil.
	permit *ratelimit.Permit
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
	h.inFlight.add(x)
	defer h.inFlight.remove(x)
	ctx := tracing.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	truncated := x.serve(ctx)
	if f := x.outcome.Failure; f != nil && f.Verdict() == verdict.NotRun {
		x.permit.Refund()
	}
	x.outcome.Duration = time.Since(began)
	x.recordBodyTime()
	truncated = !x.finishBody() || truncated
	if span.IsRecording() {
		span.SetAttributes(attribute.String("http.request.method", r.Method), attribute.String("sassafras.service", x.outcome.Service), attribute.Int("sassafras.tries", x.outcome.Attempts))
	}
	tracing.EndSpan(span, x.outcome.Status, x.outcome.Failure)
	if h.OnRequestEnd != nil {
		h.OnRequestEnd(x.outcome)
	}
	if truncated {
		panic(http.ErrAbortHandler)
	}
}

// noteBody notes how long the body took to come in.
func (x *exchange) recordBodyTime() {
	if x.spooled == nil {
		return
	}
	x.outcome.BodyBytes = x.spooled.Length
	if took, whole := x.spooled.ReceiveTime(); whole {
		x.outcome.BodyReceiveTime = took
	}
}

// requestID returns the caller's request id if it is a plain one, or a new one.
func requestID(r *http.Request, name string) string {
	const maxLength = 128
	id := r.Header.Get(name)
	plain := strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
	if id != "" && len(id) <= maxLength && plain {
		return id
	}
	return rand.Text()
}

// serve handles the request. It returns whether the answer must be cut.
func (x *exchange) serve(ctx context.Context) (truncated bool) {
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

// admit lets the request in as far as its organisation's rate limit allows. What is sent
// again on its behalf is the same request.
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

// ComeBackElsewhere is what callers are told to wait for whose requests a stopping node does
// not take, or does not send on any more. Other nodes take them.
const RetryElsewhereDelay = 250 * time.Millisecond

// inTime returns why a request is not taken that may still be under way when all are cut.
func (x *exchange) checkShutdown(q *entry.Request) *verdict.Error {
	if x.handler.ShutdownDeadline == nil {
		return nil
	}
	deadline := x.handler.ShutdownDeadline()
	if deadline.IsZero() || !q.Deadline.After(deadline) {
		return nil
	}
	return verdict.New(verdict.NotSent, eris.New("this node stops before the request's time is over")).WithRetryAfter(RetryElsewhereDelay)
}

// resolver returns what finds the target of a request.
func (x *exchange) resolver() Resolver {
	if x.handler.Resolver != nil {
		return x.handler.Resolver
	}
	return hostResolver(x.handler.Lookup)
}

// dispatch sends the request and passes its answer on. Keep, if not nil, gets
// the answer as well.
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

// stopped returns the failure of a request that has been sent on, which its caller is not
// to blame for if the request's context ended because the node had to stop.
func (x *exchange) shutdownFailure(failure *verdict.Error) *verdict.Error {
	reason, ok := errors.AsType[*verdict.Error](context.Cause(x.r.Context()))
	if !ok || failure.Cause != verdict.CallerGone {
		return failure
	}
	return verdict.New(verdict.Stopped, reason.Err).WithGivenUp()
}

// classOf returns the first class that the request matches, or the first class.
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
