// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"
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

// stallTimer ends a call that makes no progress.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// WithStallTimeout returns a context for one call of a JSONClient, which ends once no response has begun after the time
// begin, or a response has made no progress for the time timeout. The size of a response, and so its whole time, is not
// bounded: others choose it. The caller calls stop when the call has ended.
func WithStallTimeout(ctx context.Context, begin, timeout time.Duration) (limited context.Context, stop func()) {
	limited, cancel := context.WithCancelCause(ctx)
	t := &stallTimer{timeout: timeout}
	t.timer = time.AfterFunc(begin, func() { cancel(eris.Errorf("no progress for %v", timeout)) })
	return context.WithValue(limited, stallKey{}, t), func() {
		t.timer.Stop()
		cancel(nil)
	}
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
		b.stall.timer.Reset(b.stall.timeout)
	}
	return b
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.total.Add(uint64(n))
	b.received += n
	b.pending += n
	if b.pending >= minProgressBytes {
		b.pending = 0
		if b.stall != nil {
			b.stall.timer.Reset(b.stall.timeout)
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
