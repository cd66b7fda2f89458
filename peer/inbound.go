// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// InboundCall is a call that a Server has received. Its methods are for the goroutine that
// handles the call, unless they say otherwise.
type InboundCall struct {
	// Call is the call as it was sent.
	Call *Call
	// From is the node that sent it.
	From Hello
	// Notice, if not nil, is sent with the response or the failure.
	Notice *Notice

	session        *session
	ctx            context.Context
	cancel         context.CancelCauseFunc
	arrived        time.Time
	deadlineTimer  *time.Timer // cancels the call at its deadline, until its response begins
	body           *bodyReader
	credit         *sendCredit
	flow           bodyFlow // of the body
	requestedBytes int64    // body bytes requested so far, by one goroutine at a time

	mu     sync.Mutex
	revoke func() bool
	ended  bool
}

func newInboundCall(ctx context.Context, n *session, m *Call) *InboundCall {
	in := &InboundCall{
		Call:    m,
		From:    n.from,
		session: n,
		arrived: time.Now(),
		credit:  newSendCredit(n.limits.WindowBytes),
	}
	window := n.limits.WindowBytes
	if m.EarlyBody {
		window = max(window, MaxEarlyBodyBytes)
	}
	in.body = newBodyReader(window, in.requestBody)
	in.flow.grant = in.grant
	in.ctx, in.cancel = context.WithCancelCause(ctx)
	in.deadlineTimer = time.AfterFunc(m.Remaining, func() {
		in.cancel(verdict.New(verdict.TimedOut, eris.New("deadline passed")))
	})
	context.AfterFunc(in.ctx, func() {
		in.body.end(verdict.As(context.Cause(in.ctx), verdict.BodyLost), nil)
	})
	return in
}

// serve runs the handler, and fails the call if the handler has not ended it.
func (in *InboundCall) serve() {
	defer in.session.server.calls.Done()
	defer in.session.bodyLimiter().close(&in.flow)
	in.session.server.HandleCall(in)
	in.Fail(verdict.New(verdict.PeerLost, eris.New("the handler sent no response")), nil)
	in.deadlineTimer.Stop()
	in.cancel(nil)
}

// Context returns a context that ends when the call is cancelled, its connection is lost, or
// its deadline passes before its response has begun. Its cause is a *verdict.Error.
func (in *InboundCall) Context() context.Context { return in.ctx }

// Deadline returns the time after which the call's response is of no use.
func (in *InboundCall) Deadline() time.Time { return in.arrived.Add(in.Call.Remaining) }

// OnRevoke sets the function that takes the call back while it is queued. The function
// returns whether it is certain that the call never runs. It is called from another goroutine.
func (in *InboundCall) OnRevoke(f func() bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.revoke = f
}

func (in *InboundCall) tryRevoke() bool {
	in.mu.Lock()
	f := in.revoke
	in.mu.Unlock()
	return f != nil && f()
}

// Body returns the body of the call. Admit must be called before a streamed body is
// read.
func (in *InboundCall) Body() io.Reader {
	if in.Call.Streams {
		return in.body
	}
	return bytes.NewReader(in.Call.Body)
}

// BodyReceived returns whether the whole body of the call has been received. It may be called from
// any goroutine.
func (in *InboundCall) BodyReceived() bool { return !in.Call.Streams || in.body.received() }

// Trailer returns the trailer fields of the body, after its end.
func (in *InboundCall) Trailer() []Field { return in.body.Trailer() }

// Admit requests the body of a streamed call from its sender, and waits for the first chunk or
// the end, or until ctx ends: the call must not be started before. It does nothing for other calls.
func (in *InboundCall) Admit(ctx context.Context) error {
	if !in.Call.Streams || in.Call.EarlyBody {
		return nil
	}
	in.requestBody(in.session.limits.WindowBytes)
	return in.body.waitFirst(ctx)
}

// ExpectedTransferTime returns how long the early body of the call is likely to take to
// arrive, or 0 if that is not known.
func (in *InboundCall) ExpectedTransferTime() time.Duration {
	return in.session.bodyLimiter().expectedTransferTime(in.Call.Length)
}

// ReceiveBody requests the early body of the call, and waits until it is complete, ctx ends, or
// the peer has been silent for the silence timeout: one that has lost power sends nothing
// more. It returns the time since the arrival of the call.
func (in *InboundCall) ReceiveBody(ctx context.Context) (time.Duration, error) {
	in.requestBody(MaxEarlyBodyBytes)
	silence := in.session.limits.SilenceTimeout
	for {
		waiting, cancel := context.WithTimeout(ctx, silence)
		err := in.body.waitComplete(waiting)
		cancel()
		stalled := errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil
		switch {
		case !stalled:
			return time.Since(in.arrived), err
		case in.session.silence() >= silence:
			return time.Since(in.arrived), eris.Errorf("nothing heard for %v", silence)
		}
	}
}

// requestBody requests up to n more bytes of the body.
func (in *InboundCall) requestBody(n int) {
	if in.Call.Length > 0 {
		n = int(min(int64(n), in.Call.Length-in.requestedBytes))
	}
	if n == 0 {
		return
	}
	in.requestedBytes += int64(n)
	in.session.bodyLimiter().request(&in.flow, n)
}

// grant allows the sender to send n more bytes of the body.
func (in *InboundCall) grant(n int) {
	credit := &Credit{
		ID:    in.Call.ID,
		Bytes: n,
	}
	go func() { _ = in.session.send(KindCredit, credit) }() // asynchronous, as other flows wait for their grants
}

// end writes the last frame of the call, if the call has not ended yet.
func (in *InboundCall) end(k Kind, message any) error {
	in.mu.Lock()
	ended := in.ended
	in.ended = true
	in.mu.Unlock()
	if ended {
		return nil
	}
	in.session.remove(in.Call.ID)
	return in.session.send(k, message)
}

// Fail ends the call with e, before or during its response. It does nothing if
// the call has ended.
func (in *InboundCall) Fail(e *verdict.Error, r *Report) {
	m := &Failure{
		ID:         in.Call.ID,
		Cause:      string(e.Cause),
		RetryAfter: e.RetryAfter,
		GivenUp:    e.GivenUp,
		Report:     r,
		Notice:     in.Notice,
	}
	if e.Err != nil {
		m.Detail = e.Err.Error()
	}
	_ = in.end(KindFailure, m)
}

// SendInformational sends an informational response.
func (in *InboundCall) SendInformational(status int, header []Field) error {
	return in.session.send(KindInformational, &Informational{
		ID:     in.Call.ID,
		Status: status,
		Header: header,
	})
}

// Reply ends the call with a complete response.
func (in *InboundCall) Reply(h *ResponseHead) error {
	h.ID = in.Call.ID
	h.Streams = false
	h.Notice = in.Notice
	return in.end(KindResponse, h)
}

// BeginResponse sends the head of a response whose body follows through CopyBody. Bytes in
// a.Body are sent with the head; there must be no more than the window.
func (in *InboundCall) BeginResponse(h *ResponseHead) error {
	h.ID = in.Call.ID
	h.Streams = true
	h.Notice = in.Notice
	in.deadlineTimer.Stop()
	if len(h.Body) > 0 {
		if _, err := in.credit.acquire(in.ctx, len(h.Body)); err != nil {
			return err
		}
	}
	return in.session.send(KindResponse, h)
}

// CopyBody sends what r yields as the body of the response that has begun, as
// the receiver's credit allows. It returns nil at the end of r.
func (in *InboundCall) CopyBody(r io.Reader) error {
	return in.credit.copyBody(in.ctx, r, func(data []byte) error {
		return in.session.send(KindBody, &Body{
			ID:   in.Call.ID,
			Data: data,
		})
	})
}

// FinishResponse ends the response that has begun.
func (in *InboundCall) FinishResponse(trailer []Field) error {
	return in.end(KindEnd, &End{
		ID:      in.Call.ID,
		Trailer: trailer,
	})
}
