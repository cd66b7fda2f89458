// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sassafrasfront.example/connlimit"
)

// Timeouts limit how long a caller may take. A zero field leaves the server's own
// timeout unchanged.
type Timeouts struct {
	// Header bounds the time in which the header of a request has to be received.
	Header time.Duration
	// Idle bounds the time between two requests of a connection.
	Idle time.Duration
}

// Listener accepts callers' connections, records what a server does not tell its handlers
// about their requests, and closes them gracefully. ConnContext and ConnState must be set in the
// server that accepts from it. The exported fields are set before the first Accept.
type Listener struct {
	net.Listener
	// Timeouts returns the current timeouts. If it is nil, only the server's own apply.
	Timeouts func() Timeouts

	keepAlivesDisabled atomic.Bool
	closeOnce          sync.Once

	mu         sync.Mutex
	open       map[*connection]struct{} // connections that are not closed
	draining   bool                     // whether newly accepted connections are to be closed
	drainStart time.Time                // when draining was set
	closed     bool                     // whether the listener is closed
	changes    chan struct{}            // closed by the next call of notify; nil if nothing waits for it
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		if !l.allowsLastAccept() {
			_ = l.Close()
			return nil, net.ErrClosed
		}
		raw, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	c := &connection{
		Conn:     raw,
		listener: l,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*connection]struct{})
	}
	l.open[c] = struct{}{}
	if l.draining {
		c.closeWhenIdle()
		if d, ok := l.Listener.(deadliner); ok {
			_ = d.SetDeadline(pastDeadline) // accept the next one only if it is pending
		}
	}
	return c, nil
}

// lastAcceptTimeout bounds an Accept that is called when a connection is pending.
const lastAcceptTimeout = time.Second

// allowsLastAccept returns whether a listener that is being closed accepts once more, because
// connections are pending: closing the listener would reset them.
func (l *Listener) allowsLastAccept() bool {
	l.mu.Lock()
	inTime := l.draining && time.Since(l.drainStart) < headerTimeoutAfterClose
	l.mu.Unlock()
	d, ok := l.Listener.(deadliner)
	return ok && inTime && hasPending(d) && d.SetDeadline(time.Now().Add(lastAcceptTimeout)) == nil
}

// hasPending returns whether a connection is waiting to be accepted. An Accept whose deadline
// has passed does not tell.
func hasPending(l deadliner) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	var ready int
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// deadliner is a listener whose Accept can be interrupted.
type deadliner interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Close implements net.Listener. It may be called more than once: the server that
// accepts from it closes it as well.
func (l *Listener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		l.notify(nil, false)
	})
	return err
}

// DisableKeepAlives makes each response of a Handler the last one of its connection.
// Connections without a request stay open: a caller that sends one more request gets its
// response.
func (l *Listener) DisableKeepAlives() { l.keepAlivesDisabled.Store(true) }

// Drain closes the listener, and the connections on which nothing of a request has been
// received. It returns once a Handler has the request of each remaining connection, or the
// connection uses HTTP/2; a header that is being received gets a short time for that. A server
// must not be shut down before: it drops the requests that have not reached their handlers.
// Drain fails if ctx ends first.
func (l *Listener) Drain(ctx context.Context) error {
	l.DisableKeepAlives()
	l.closeAfterAccepting(ctx)
	for _, c := range l.connections() {
		c.closeWhenIdle()
	}
	waitCtx, cancel := context.WithTimeout(ctx, headerTimeoutAfterClose)
	defer cancel()
	_ = l.await(waitCtx, l.noneMatches((*connection).awaitsHandler))
	return context.Cause(ctx)
}

// closeAfterAccepting closes the listener once Accept has returned the connections that callers
// have opened, or a timeout has passed.
func (l *Listener) closeAfterAccepting(ctx context.Context) {
	l.mu.Lock()
	l.draining = true
	l.drainStart = time.Now()
	l.mu.Unlock()
	if d, ok := l.Listener.(deadliner); ok && d.SetDeadline(pastDeadline) == nil {
		waitCtx, cancel := context.WithTimeout(ctx, headerTimeoutAfterClose)
		defer cancel()
		_ = l.await(waitCtx, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.closed
		})
	}
	_ = l.Close()
}

// AwaitClosed waits until all connections are closed, or ctx ends. A server that is shut down
// does not wait for the connections that it considered idle while a request was received.
func (l *Listener) AwaitClosed(ctx context.Context) error {
	return l.await(ctx, l.noneMatches(func(*connection) bool { return true }))
}

// CloseAll closes all connections, even those with requests in flight, and returns their
// number.
func (l *Listener) CloseAll() int {
	list := l.connections()
	for _, c := range list {
		_ = c.closeNow()
	}
	return len(list)
}

// connections returns the connections that are open.
func (l *Listener) connections() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// noneMatches returns a function that returns whether no open connection matches.
func (l *Listener) noneMatches(matches func(*connection) bool) func() bool {
	return func() bool { return !slices.ContainsFunc(l.connections(), matches) }
}

// await waits until the condition holds, or ctx ends. The condition is checked again after each
// call of notify.
func (l *Listener) await(ctx context.Context, condition func() bool) error {
	for {
		l.mu.Lock()
		if l.changes == nil {
			l.changes = make(chan struct{})
		}
		changes := l.changes
		l.mu.Unlock()
		if condition() {
			return nil
		}
		select {
		case <-changes:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// notify records that the state of a connection or of the listener has changed, or that the
// connection c has been closed.
func (l *Listener) notify(c *connection, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if closed {
		delete(l.open, c)
	}
	if l.changes != nil {
		close(l.changes)
		l.changes = nil
	}
}

// ConnState records a change of a connection's state. It is for http.Server.ConnState.
func ConnState(c net.Conn, s http.ConnState) {
	if o, ok := c.(*connection); ok {
		connlimit.ConnState(o.Conn, s)
		o.stateChanged(s)
	}
}

// connectionKey is the key of a request's *connection in its context.
type connectionKey struct{}

// ConnContext adds the connection to the context of its requests. It is for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if o, ok := c.(*connection); ok {
		ctx = connlimit.ConnContext(ctx, o.Conn)
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request, or nil if it does not come from a
// Listener.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// keepAlivesDisabled returns whether the response to a request is the last one of its
// connection.
func keepAlivesDisabled(r *http.Request) bool {
	c := connectionOf(r)
	return c != nil && c.listener.keepAlivesDisabled.Load()
}

// hasBothLengths returns whether a request was received with both a Content-Length and the
// chunked coding. The server has ignored the length, as RFC 9112, section 6.3, requires; other
// servers on the way may not have.
func hasBothLengths(r *http.Request) bool {
	c := connectionOf(r)
	return c != nil && len(r.TransferEncoding) > 0 && c.receivedContentLength()
}
