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
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// Response is a response as the sender of a call receives it.
type Response struct {
	Status int
	Header []Field
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	// Body yields the body. A truncated body ends in a *verdict.Error, never
	// in io.EOF.
	Body io.Reader
	// Trailer returns the trailer fields once Body has returned io.EOF.
	Trailer func() []Field
	// TransferTime and QueueTime are as in ResponseHead.
	TransferTime, QueueTime time.Duration
}

// informationalBuffer is the number of informational responses buffered for a slow caller.
// More are dropped, which is permitted.
const informationalBuffer = 4

// Exchange is a call that has been sent.
type Exchange struct {
	link            *link
	id              uint64
	ctx             context.Context
	stop            context.CancelFunc
	ready           chan struct{}
	informational   chan *Informational
	credit          *sendCredit
	body            *bodyReader
	earlyBody       bool // whether the body may be sent before the call is admitted
	sentNotice      bool // whether the call carried a notice of the peer's upstream
	silent          chan struct{}
	silenceNotified bool          // whether silent is closed or being closed; the link's lock guards it
	stage           atomic.Uint32 // how far the call has been written

	once     sync.Once
	response *Response
	failure  *verdict.Error
}

// The stages of writing a call.
const (
	stagePending   uint32 = iota // the peer can't start the call
	stageWritten                 // the peer may start it
	stageWithdrawn               // the peer can't start the call, and never will
)

func newExchange(ctx context.Context, l *link, id uint64) *Exchange {
	x := &Exchange{
		link:          l,
		id:            id,
		ready:         make(chan struct{}),
		silent:        make(chan struct{}),
		informational: make(chan *Informational, informationalBuffer),
		credit:        newSendCredit(0),
	}
	x.ctx, x.stop = context.WithCancel(ctx)
	x.body = newBodyReader(l.limits.WindowBytes, x.grant)
	context.AfterFunc(x.ctx, x.Close)
	return x
}

// Ready returns a channel that is closed when Result has something to return.
func (x *Exchange) Ready() <-chan struct{} { return x.ready }

// Silent returns a channel that is closed when nothing has been received from the peer for
// Limits.SilenceTimeout. The exchange continues.
func (x *Exchange) Silent() <-chan struct{} { return x.silent }

// SinceReceived returns the time since the last bytes were received from the peer.
func (x *Exchange) SinceReceived() time.Duration { return x.link.silence() }

// Informational yields the informational responses that precede the final one.
func (x *Exchange) Informational() <-chan *Informational { return x.informational }

// Result returns the response or the failure. It may be called once Ready is
// closed.
func (x *Exchange) Result() (*Response, *verdict.Error) { return x.response, x.failure }

// Abandon ends the exchange with e immediately, without a request to the peer, unless its
// result has arrived meanwhile. It returns the result.
func (x *Exchange) Abandon(e *verdict.Error) (*Response, *verdict.Error) {
	x.once.Do(func() {
		x.failure = e
		close(x.ready)
	})
	if x.failure != nil {
		x.Close()
	}
	return x.response, x.failure
}

// Wait waits for the result. When the exchange's context ends first, Wait
// abandons it: the call may have run.
func (x *Exchange) Wait() (*Response, *verdict.Error) {
	select {
	case <-x.ready:
		return x.response, x.failure
	case <-x.ctx.Done():
	}
	cause := verdict.TimedOut
	if errors.Is(x.ctx.Err(), context.Canceled) {
		cause = verdict.CallerGone
	}
	return x.Abandon(verdict.New(cause, context.Cause(x.ctx)))
}

// Revoke asks the peer to take the call back if it is still queued there. If it
// is, the result becomes a failure with the cause Revoked.
func (x *Exchange) Revoke() {
	go func() { _ = x.link.send(KindRevoke, &Revoke{ID: x.id}) }()
}

// Close ends the exchange. If it is still open at the peer, it is cancelled
// there, and frames that arrive late are dropped.
func (x *Exchange) Close() {
	if x.link.remove(x.id) != nil {
		// No more of its body may be written before the Cancel, which another goroutine sends.
		x.stage.CompareAndSwap(stagePending, stageWithdrawn)
		x.cancel()
		x.body.end(verdict.New(verdict.ResponseTruncated, eris.New("closed by the receiver")), nil)
	}
	x.stop()
}

// cancel tells the peer that the call's response is no longer wanted. It does not wait, as a
// write to a silent peer may block in the kernel.
func (x *Exchange) cancel() {
	go func() { _ = x.link.send(KindCancel, &Cancel{ID: x.id}) }() // a failure closes the connection
}

// handleResponse records the head of the response.
func (x *Exchange) handleResponse(m *ResponseHead) error {
	r := &Response{
		Status: m.Status,
		Header: m.Header,
		Length: m.Length,

		TransferTime: m.TransferTime,
		QueueTime:    m.QueueTime,
	}
	if m.Streams {
		if err := x.body.put(m.Body); err != nil {
			return err
		}
		r.Body = x.body
		r.Trailer = x.body.Trailer
	} else {
		r.Body = bytes.NewReader(m.Body)
		r.Trailer = func() []Field { return m.Trailer }
	}
	x.once.Do(func() {
		x.response = r
		close(x.ready)
	})
	return nil
}

// fail ends the exchange with e, or truncates the response that has begun.
func (x *Exchange) fail(e *verdict.Error) {
	x.once.Do(func() {
		x.failure = e
		close(x.ready)
	})
	x.body.end(verdict.New(verdict.ResponseTruncated, e), nil)
	x.stop()
}

// connectionLost ends the exchange because the connection was lost.
func (x *Exchange) connectionLost(reason error) {
	cause := verdict.NotWritten
	switch {
	case x.stage.Load() != stageWritten:
	case errors.Is(reason, errClosed):
		cause = verdict.Stopped
	default:
		cause = verdict.PeerLost
	}
	x.fail(verdict.New(cause, reason))
}

// markWritten records that the peer may start the call from now on, and returns whether it may.
func (x *Exchange) markWritten() bool {
	return x.stage.CompareAndSwap(stagePending, stageWritten) || x.stage.Load() == stageWritten
}

// handleSilence records that the peer is silent. A call that can't have been started there is
// withdrawn, and one that may have been continues.
func (x *Exchange) handleSilence(e *SilenceError) {
	if x.stage.CompareAndSwap(stagePending, stageWithdrawn) {
		x.fail(verdict.New(verdict.NotWritten, e))
		x.Close()
		return
	}
	close(x.silent)
}

func (x *Exchange) handleInformational(m *Informational) {
	select {
	case x.informational <- m:
	default:
	}
}

// grant gives the peer credit for the response's body.
func (x *Exchange) grant(n int) {
	credit := &Credit{
		ID:    x.id,
		Bytes: n,
	}
	go func() { _ = x.link.send(KindCredit, credit) }() // asynchronous, as buffered bytes can be read meanwhile
}

// TrailerReader is a body with trailer fields, which are complete at its end.
type TrailerReader interface {
	io.Reader
	Trailer() []Field
}

// errWithdrawn ends the sending of the body of a withdrawn call.
var errWithdrawn = eris.New("the call has been withdrawn")

// sendBody streams the body of the call once the peer grants credit for it.
func (x *Exchange) sendBody(body io.Reader) {
	if x.credit.wait(x.ctx) != nil {
		return
	}
	var unsent error
	err := x.credit.copyBody(x.ctx, body, func(data []byte) error {
		if x.stage.Load() == stageWithdrawn || !x.earlyBody && !x.markWritten() {
			return errWithdrawn
		}
		unsent = x.link.send(KindBody, &Body{
			ID:   x.id,
			Data: data,
		})
		return unsent
	})
	switch {
	case errors.Is(err, errWithdrawn):
		return
	case unsent != nil:
		x.link.remove(x.id)
		x.connectionLost(unsent) // not a failure of the caller's body
		return
	case err != nil:
		x.bodyFailed(err)
		return
	}
	end := &End{ID: x.id}
	if t, ok := body.(TrailerReader); ok {
		end.Trailer = t.Trailer()
	}
	if len(end.Trailer) > x.link.limits.MaxFields {
		x.bodyFailed(eris.Errorf("%d trailer fields", len(end.Trailer)))
		return
	}
	if x.markWritten() {
		_ = x.link.send(KindEnd, end)
	}
}

// bodyFailed ends the exchange because the caller's body failed, unless the
// exchange has ended and thereby stopped the body.
func (x *Exchange) bodyFailed(err error) {
	if x.ctx.Err() != nil || x.link.remove(x.id) == nil {
		return
	}
	x.cancel()
	e := verdict.As(err, verdict.BodyLost)
	if x.stage.Load() != stageWritten && e.Cause == verdict.BodyLost {
		e = verdict.New(verdict.BadRequest, err)
	}
	x.fail(e)
}
