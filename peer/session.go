// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

// session is one connection of a Server.
type session struct {
	*conn
	server        *Server
	from          Hello
	handshakeDone atomic.Bool            // whether from is set
	pendingReport atomic.Pointer[Report] // report to be sent, or nil

	mu     sync.Mutex
	open   map[uint64]*InboundCall
	lastID uint64
}

// run performs the handshake and handles frames until the connection ends. It returns the
// reason for the end.
func (n *session) run(ctx context.Context) error {
	from, err := n.handshake(n.server.Hello, false)
	if err != nil {
		return err
	}
	n.from = *from
	n.handshakeDone.Store(true)
	n.server.endHandshake(n)
	// Calls end with the connection and not with ctx: their cause is the connection's reason.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	for {
		k, payload, err := n.read()
		if err == nil {
			err = n.handle(ctx, k, payload)
		}
		if err != nil {
			n.closeWith(err)
			cancel(verdict.New(verdict.PeerLost, n.closeReason()))
			return err
		}
	}
}

// handle handles one frame. An error closes the connection.
func (n *session) handle(ctx context.Context, k Kind, payload []byte) error {
	switch {
	case k == KindPing:
		return handleMessage(payload, func(m *Ping) error { return n.send(KindPong, &Pong{Number: m.Number}) })
	case n.from.Control && k == KindRequest:
		return handleMessage(payload, func(m *Request) error { return n.handleRequest(ctx, m) })
	case n.from.Control:
		return eris.Wrapf(ErrProtocol, "kind %d on a control connection", k)
	}
	switch k {
	case KindCall:
		return handleMessage(payload, func(m *Call) error { return n.handleCall(ctx, m) })
	case KindBody:
		return handleMessage(payload, n.handleBody)
	case KindEnd:
		return handleMessage(payload, n.handleEnd)
	case KindCancel:
		return handleMessage(payload, n.handleCancel)
	case KindRevoke:
		return handleMessage(payload, n.handleRevoke)
	case KindCredit:
		return handleMessage(payload, n.handleCredit)
	}
	return eris.Wrapf(ErrProtocol, "unexpected kind %d", k)
}

func (n *session) handleRequest(ctx context.Context, m *Request) error {
	if n.server.HandleControl == nil {
		return eris.Wrap(ErrProtocol, "control requests are not accepted")
	}
	payload, err := n.server.HandleControl(ctx, n.from, m)
	if m.ID == 0 {
		return nil
	}
	r := &Reply{
		ID:      m.ID,
		Payload: payload,
	}
	if err != nil {
		r.Detail = err.Error()
	}
	err = n.send(KindReply, r)
	if errors.Is(err, errFrameTooLarge) {
		return n.send(KindReply, &Reply{
			ID:     m.ID,
			Detail: err.Error(),
		})
	}
	return err
}

func (n *session) handleCall(ctx context.Context, m *Call) error {
	if err := n.checkFields(m.Header); err != nil {
		return err
	}
	if m.EarlyBody && (!m.Streams || m.Length < 0 || m.Length > MaxEarlyBodyBytes) {
		return eris.Wrapf(ErrProtocol, "early body of %d bytes", m.Length)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.ID <= n.lastID {
		return eris.Wrapf(ErrProtocol, "call id %d after %d", m.ID, n.lastID)
	}
	n.lastID = m.ID
	if len(n.open) >= n.limits.MaxOpenCalls {
		// The peer stops counting a cancelled call before this side does.
		go n.rejectCall(m.ID, len(n.open))
		return nil
	}
	in := newInboundCall(ctx, n, m)
	n.open[m.ID] = in
	n.server.calls.Add(1)
	go in.serve()
	return nil
}

// rejectCall fails a call that exceeds the limit of open calls.
func (n *session) rejectCall(id uint64, open int) {
	_ = n.send(KindFailure, &Failure{
		ID:     id,
		Cause:  string(verdict.Refused),
		Detail: fmt.Sprintf("%d calls are open", open),
	})
}

// bodyLimiter returns the limiter for the link that carries bodies to this node, or nil if the
// peer is this node itself.
func (n *session) bodyLimiter() *inFlightLimiter {
	if n.from.Node == n.server.Hello.Node && n.from.Node != "" {
		return nil
	}
	return n.server.bodyLimiter
}

func (n *session) find(id uint64) *InboundCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open[id]
}

func (n *session) remove(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, id)
}

func (n *session) handleBody(m *Body) error {
	if in := n.find(m.ID); in != nil {
		n.bodyLimiter().received(&in.flow, len(m.Data))
		return in.body.put(m.Data)
	}
	return nil
}

func (n *session) handleEnd(m *End) error {
	if err := n.checkFields(m.Trailer); err != nil {
		return err
	}
	if in := n.find(m.ID); in != nil {
		n.bodyLimiter().close(&in.flow)
		in.body.end(io.EOF, m.Trailer)
	}
	return nil
}

func (n *session) handleCancel(m *Cancel) error {
	in := n.find(m.ID)
	if in == nil {
		return nil
	}
	in.tryRevoke()
	in.cancel(verdict.New(verdict.CallerGone, nil))
	return nil
}

func (n *session) handleRevoke(m *Revoke) error {
	in := n.find(m.ID)
	if in == nil || !in.tryRevoke() {
		return nil
	}
	return in.end(KindCancelled, &Cancelled{ID: m.ID})
}

func (n *session) handleCredit(m *Credit) error {
	if in := n.find(m.ID); in != nil {
		return in.credit.add(m.Bytes, 2*n.limits.WindowBytes)
	}
	return nil
}
