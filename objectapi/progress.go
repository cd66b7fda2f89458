// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// minProgressBytes is the number of bytes of a response that count as progress: one that arrives byte by byte makes
// none.
const minProgressBytes = 1 << 10

// progressKey and stallKey are the keys of context values.
type (
	progressKey struct{}
	stallKey    struct{}
)

// WithProgress returns a context for calls with large responses: f is called with the number of bytes received so far
// each time that a part of the response to a call has been received.
func WithProgress(ctx context.Context, f func(received int)) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ErrTooLarge is the root of the errors of calls whose response is larger than the platform's are.
var ErrTooLarge = eris.New("response too large")

// ErrStalled is the root of the errors of calls whose response had begun and then made no progress.
var ErrStalled = errors.New("response stalled")

// stallTimer ends a call that makes no progress.
type stallTimer struct {
	timer       *time.Timer
	wait        time.Duration // until a response is expected to begin
	bodyTimeout time.Duration // without progress of a response
	begun       atomic.Bool   // whether a response has begun
}

// progressed records that a response has begun, or has made progress.
func (t *stallTimer) progressed() {
	t.begun.Store(true)
	t.timer.Reset(t.bodyTimeout)
}

// err returns the error of the call when its time has ended.
func (t *stallTimer) err(timeout time.Duration) error {
	if t.begun.Load() {
		return fmt.Errorf("%w: no progress for %v", ErrStalled, t.bodyTimeout)
	}
	return eris.Errorf("no progress for %v", timeout)
}

// WithStallTimeout returns a context for one call of the client, whose response is expected to begin after the time wait.
// The call ends once no response has begun for the time timeout beyond that, or a response has made no progress for a time, or
// is larger than maxResponseBytes. Its whole time is not bounded. The caller calls stop when the call has ended.
func (c *JSONClient) WithStallTimeout(ctx context.Context, wait, timeout time.Duration) (limited context.Context, stop func()) {
	limited, cancel := context.WithCancelCause(ctx)
	t := &stallTimer{
		wait:        wait,
		bodyTimeout: timeout,
	}
	if c.SilenceTimeout > 0 {
		t.bodyTimeout = min(timeout, c.SilenceTimeout*3/2) // a packet that is lost twice comes within it
	}
	t.timer = time.AfterFunc(wait+timeout, func() {
		cancel(t.err(timeout))
		if t.begun.Load() {
			c.silent(t.bodyTimeout)
		}
	})
	return context.WithValue(limited, stallKey{}, t), func() {
		t.timer.Stop()
		cancel(nil)
	}
}

// expectedWait returns the time after which the response to a call is expected to begin, and whether that is known.
func expectedWait(ctx context.Context) (wait time.Duration, known bool) {
	t, ok := ctx.Value(stallKey{}).(*stallTimer)
	if !ok {
		return 0, false
	}
	return t.wait, true
}

// progressBody is a response body whose bytes are counted and reported.
type progressBody struct {
	io.ReadCloser
	ctx      context.Context
	total    *atomic.Uint64
	report   func(received int) // or nil
	stall    *stallTimer        // or nil
	received int
	pending  int // bytes since the last progress
}

// newProgressBody returns a body that reports to what is in ctx, and adds its bytes to total.
func newProgressBody(ctx context.Context, body io.ReadCloser, total *atomic.Uint64) *progressBody {
	b := &progressBody{
		ReadCloser: body,
		ctx:        ctx,
		total:      total,
	}
	b.report, _ = ctx.Value(progressKey{}).(func(int))
	if b.stall, _ = ctx.Value(stallKey{}).(*stallTimer); b.stall != nil {
		b.stall.progressed()
	}
	return b
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	if b.stall != nil && b.received >= maxResponseBytes {
		return 0, eris.Wrapf(ErrTooLarge, "after %d bytes", b.received)
	}
	n, err := b.ReadCloser.Read(p)
	b.total.Add(uint64(n))
	b.received += n
	b.pending += n
	if b.pending >= minProgressBytes {
		b.pending = 0
		if b.stall != nil {
			b.stall.progressed()
		}
		if b.report != nil {
			b.report(b.received)
		}
	}
	if err != nil && err != io.EOF && b.ctx.Err() != nil {
		err = eris.Wrapf(context.Cause(b.ctx), "after %d bytes of the response", b.received)
	}
	return n, err
}
