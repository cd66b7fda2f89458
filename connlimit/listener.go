// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Limits are the limits on each connection and request. It is an immutable value.
type Limits struct {
	// MaxHeadBytes is the size of the largest head of a request, in bytes.
	MaxHeadBytes int
	// MaxFreeFields is the number of fields up to which a request is not costly.
	MaxFreeFields int
	// WriteTimeout bounds the time for which a client may read nothing of a response. Zero means
	// no bound.
	WriteTimeout time.Duration
}

// Listener accepts connections within a Budget. The server that accepts from it must use its
// ConnState, and its ConnContext or one that keeps what that returns. The exported fields are set before
// the first Accept.
type Listener struct {
	net.Listener
	// Budget bounds what the connections hold.
	Budget *Budget
	// Lane bounds how many costly requests are handled at once.
	Lane *Lane
	// IsCostly, if not nil, returns whether a request is costly although its head is small.
	IsCostly func(r *http.Request) bool
	// Limits returns the current limits.
	Limits func() Limits
	// ReadLane bounds of how many HTTP/2 connections what was received is handled at once. If it is nil,
	// the server does not accept HTTP/2.
	ReadLane *Lane
	// Refusal returns the response to a request that is refused before it reaches its handler.
	Refusal func(status int) string
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{
			Conn:     raw,
			listener: l,
			since:    time.Now(),
		}
		c.account = l.Budget.open(c.evict)
		if c.account == nil {
			_ = raw.Close()
			continue
		}
		return c, nil
	}
}

// SetDeadline bounds a pending Accept, if the listener supports that.
func (l *Listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn, if the listener does.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if s, ok := l.Listener.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// ConnState records a change of a connection's state. It is for http.Server.ConnState.
func ConnState(c net.Conn, s http.ConnState) {
	if o, ok := c.(*Conn); ok {
		o.SetState(s)
	}
}

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil if it does not come from a Listener.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Begin records that a request has reached its handler. It waits for a turn if the request is costly,
// or was sent before the response to an earlier one. An error means that the request must be
// refused. It returns nil for a request that does not come from a Listener.
func Begin(r *http.Request) (*Request, error) { return connOf(r).begin(r) }

// Handler returns a handler that calls h for the requests for which there is room.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := Begin(r)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer request.End()
		h.ServeHTTP(w, r)
	})
}
