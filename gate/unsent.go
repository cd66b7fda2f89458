// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"context"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// unsent is a call that has been admitted and not been written to its upstream: it waits for its body,
// for a connection or for a report of the upstream's speed.
type unsent struct {
	binding *binding
	cancel  context.CancelCauseFunc
}

// errClosed ends the context of an unsent call whose upstream gets no more requests.
var errClosed = eris.New("the upstream gets no more requests")

// unsentKey is the key of the unsent in the context of a call.
type unsentKey struct{}

// beginUnsent returns the context of a call that has been admitted, which ends with errClosed if the
// upstream of b gets no more requests before the call is written. The function end must be called at
// the end of the call.
func (g *Gate) beginUnsent(parent context.Context, b *binding) (ctx context.Context, end func()) {
	u := &unsent{binding: b}
	ctx, u.cancel = context.WithCancelCause(parent)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closedFor(b) {
		u.cancel(errClosed)
	} else {
		if g.unsent == nil {
			g.unsent = make(map[*unsent]struct{})
		}
		g.unsent[u] = struct{}{}
	}
	return context.WithValue(ctx, unsentKey{}, u), func() {
		g.mu.Lock()
		delete(g.unsent, u)
		g.mu.Unlock()
		u.cancel(nil)
	}
}

// closedFor returns whether the upstream of b gets no more requests: it drains, has left or was replaced,
// or its zone or version does not take any. The lock is held.
func (g *Gate) closedFor(b *binding) bool {
	now := g.current.Load()
	replaced := now == nil || now.start != b.start
	return replaced || b.start.draining.Load() || g.evacuated || g.versionWithheld || g.noticeLeaving
}

// cancelUnsent ends the unsent calls whose upstreams get no more requests. The lock is held.
func (g *Gate) cancelUnsent() {
	for u := range g.unsent {
		if g.closedFor(u.binding) {
			delete(g.unsent, u)
			u.cancel(errClosed)
		}
	}
}

// permitSend returns whether a call may be written to its upstream now. If so, the call is no longer
// unsent: what the upstream is running continues.
func (g *Gate) permitSend(ctx context.Context) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := ctx.Value(unsentKey{}).(*unsent)
	if !ok {
		return true
	}
	_, waiting := g.unsent[u]
	delete(g.unsent, u)
	return waiting && !g.closedFor(u.binding)
}

// closedFailure returns the failure of an unsent call: that its upstream gets no more requests if this
// has ended its context, and otherwise the given one.
func closedFailure(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if eris.Is(context.Cause(ctx), errClosed) {
		return verdict.New(verdict.Draining, nil)
	}
	return failure
}
