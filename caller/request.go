// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"sassafrasfront.example/bearer"
	"sassafrasfront.example/connlimit"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/internal/httpfield"
	"sassafrasfront.example/internal/tracing"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quarantine"
	"sassafrasfront.example/spool"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// maxClaimBodyBytes is the largest body that is read before a request with an IdempotencyKey
// is forwarded: the claim covers the whole body. Bodies of other requests are read up to the
// size that can be sent within the call.
const maxClaimBodyBytes = 64 << 10

// checkSupported returns a failure if the request can't be forwarded, or nil. A header of more
// than maxHeaderBytes can't, unless maxHeaderBytes is 0.
func checkSupported(r *http.Request, maxHeaderBytes int) *verdict.Error {
	if n := headerSize(r); maxHeaderBytes > 0 && n > maxHeaderBytes {
		return verdict.New(verdict.HeaderTooLarge, eris.Errorf("a header of %d bytes exceeds the limit of %d", n, maxHeaderBytes))
	}
	if r.Method == http.MethodConnect {
		return verdict.New(verdict.NotSupported, eris.New("CONNECT is not supported"))
	}
	if u := r.Header.Get("Upgrade"); u != "" && !strings.EqualFold(u, "h2c") {
		return verdict.New(verdict.NotSupported, eris.Errorf("Upgrade to %q is not supported", u))
	}
	if u := r.URL.RequestURI(); u != "*" && !strings.HasPrefix(u, "/") {
		return verdict.New(verdict.BadRequest, eris.New("the request target is not a path"))
	}
	return nil
}

// buildRequest returns the request as it is passed to the Dispatcher.
func (x *exchange) buildRequest(ctx context.Context, t *Target) (*entry.Request, *verdict.Error) {
	r := x.r
	names := x.handler.FieldNames.OrDefault()
	timeout, err := timeoutOf(r, names.Timeout, t.Timeout)
	if err != nil {
		return nil, verdict.New(verdict.BadRequest, err)
	}
	q := &entry.Request{
		Service:         t.Service.Name,
		Class:           t.Class,
		Organisation:    t.Organisation,
		Method:          r.Method,
		Target:          r.URL.RequestURI(),
		Host:            r.Host,
		Length:          r.ContentLength,
		Idempotent:      t.Idempotent,
		MaxAttempts:     t.MaxAttempts,
		Regions:         t.Regions,
		Objective:       t.Objective,
		Deadline:        x.began.Add(timeout),
		OnInformational: x.writeInformational,
	}
	if failure := x.readBody(q, t.MaxBodyBytes); failure != nil {
		return nil, failure
	}
	if failure := x.setFingerprint(q); failure != nil {
		return nil, failure
	}
	h := x.handler.forwardedHeader(r)
	x.setFields(h, names, t)
	tracing.Inject(ctx, propagation.HeaderCarrier(h))
	q.Header = httpfield.FromHeader(h)
	if len(q.Header) > peer.MaxFields {
		return nil, verdict.New(verdict.TooLarge, eris.Errorf("%d header fields exceed the limit of %d", len(q.Header), peer.MaxFields))
	}
	return q, nil
}

// setFingerprint sets the fingerprint of the request. It includes a streamed body only if a
// request with this header is suspected of crashing upstreams: the first bytes of the body are
// then waited for.
func (x *exchange) setFingerprint(q *entry.Request) *verdict.Error {
	q.Fingerprint = quarantine.NewFingerprint(x.origin, q.Method, q.Host, q.Target)
	switch {
	case q.Spooled == nil && q.Stream == nil:
		q.Fingerprint = q.Fingerprint.WithBody(q.Body)
	case x.handler.MaySuspect != nil && x.handler.MaySuspect(q.Fingerprint):
		body, err := x.readUntil(q.Deadline, func() ([]byte, error) { return x.streamed.peek(quarantine.MaxBodyBytes) })
		if err != nil {
			return x.bodyReadFailure(err)
		}
		q.Fingerprint = q.Fingerprint.WithBody(body)
	}
	x.outcome.Fingerprint = q.Fingerprint
	return nil
}

// readUntil returns what read reads of the body. It fails if the caller has not sent it by the
// given time, or if the request's context ends.
func (x *exchange) readUntil(until time.Time, read func() ([]byte, error)) ([]byte, error) {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(until)
	ended := make(chan struct{})
	stop := context.AfterFunc(x.r.Context(), func() {
		_ = control.SetReadDeadline(pastDeadline)
		close(ended)
	})
	data, err := read()
	if !stop() {
		<-ended
	}
	if err != nil {
		// The server reads the rest of the body before it writes the response, and must not wait for it.
		_ = control.SetReadDeadline(pastDeadline)
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}

// bodyReadFailure returns the failure of a request whose body could not be read: the cause with
// which its context was cancelled, if that is a verdict, or else a bad request.
func (x *exchange) bodyReadFailure(err error) *verdict.Error {
	if e, ok := errors.AsType[*verdict.Error](context.Cause(x.r.Context())); ok {
		return e
	}
	return verdict.New(verdict.BadRequest, eris.Wrap(err, "body"))
}

// setFields sets the fields that identify the request to the upstream, and removes the
// caller's key.
func (x *exchange) setFields(h http.Header, names upstream.FieldNames, t *Target) {
	h.Del(names.Timeout)
	if names.GeneratesRequestIDs() {
		h.Set(names.RequestID, x.outcome.ID)
	}
	if names.CallerService != "" {
		h.Set(names.CallerService, x.origin)
	}
	if names.ExpectedInstance != "" {
		h.Del(names.ExpectedInstance)
	}
	if t.Keyed {
		bearer.Strip(h, t.Organisation == "")
		setOrganisation(h, names.Organisation, t.Organisation)
	}
}

// timeoutOf returns the timeout of the request: the one that the caller requests, but at
// most limit.
func timeoutOf(r *http.Request, name string, limit time.Duration) (time.Duration, error) {
	v := r.Header.Get(name)
	if v == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil || ms < 0 {
		return 0, eris.Errorf("%s: %q is not a number of milliseconds", name, v)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// idempotent returns whether running a request with the method twice does no
// harm (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// maxBufferedBody returns the size in bytes up to which a body is read before the request is
// forwarded.
func (x *exchange) maxBufferedBody() int64 {
	if x.r.Header.Get(IdempotencyKey) != "" {
		return maxClaimBodyBytes
	}
	return entry.MaxInlineBodyBytes
}

// streamBody has the body read while the request is in flight: the response may begin before
// the body has ended.
func (x *exchange) streamBody(limit int64) *streamedBody {
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	x.streamed = &streamedBody{
		reader:         http.MaxBytesReader(x.w, x.r.Body, limit),
		request:        x.r,
		readFailed:     &x.bodyReadFailed,
		reservedFields: reservedFields(x.handler.FieldNames.OrDefault()),
	}
	return x.streamed
}

// streamBytes is what a body takes that is forwarded without being kept: chunks on their way to
// another node.
const streamBytes = 64 << 10

// bodyCost returns how many bytes a body of the given length, or -1, makes the process hold.
func bodyCost(length int64) int64 {
	if length < 0 || length > peer.MaxEarlyBodyBytes {
		return streamBytes
	}
	return length + min(length, streamBytes)
}

// readBody reads a small body; spools a larger one while it is forwarded, so that it can be
// sent again; and forwards a very large one without spooling it. A caller that expects
// 100-continue is asked for its body only once an upstream has admitted the request.
func (x *exchange) readBody(q *entry.Request, limit int64) *verdict.Error {
	r := x.r
	switch {
	case r.ContentLength > limit:
		return verdict.New(verdict.TooLarge, eris.Errorf("a body of %d bytes exceeds the limit of %d", r.ContentLength, limit))
	case r.ContentLength == 0:
		return nil
	case !x.held.Grow(bodyCost(r.ContentLength)):
		return overloaded(connlimit.ErrNoRoom)
	case r.ContentLength < 0 || r.ContentLength > peer.MaxEarlyBodyBytes || r.Header.Get("Expect") != "":
		q.Stream = entry.ReadOnce(x.streamBody(limit))
		return nil
	case r.ContentLength > x.maxBufferedBody():
		x.spooled = &spool.Body{
			Reader: x.streamBody(limit),
			Length: r.ContentLength,
		}
		q.Spooled = x.spooled
		return nil
	}
	x.bodyRead = true
	data, err := x.readUntil(q.Deadline, func() ([]byte, error) { return io.ReadAll(r.Body) })
	if err != nil {
		x.bodyReadFailed.Store(true)
		return x.bodyReadFailure(err)
	}
	q.Body = data
	return nil
}
