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
)

// Bounds limit how long a caller may take. A zero field leaves the server's own
// limit as it is.
type Timeouts struct {
	// Head bounds the time in which the head of a request has to come in.
	Header time.Duration
	// Idle bounds the time between two requests of a connection.
	Idle time.Duration
}

// Listener gives out callers' connections that know more of their requests than
// a server tells its handlers, and ends them in good order. ConnContext and ConnState
// are to be those of the server that accepts from it. The exported fields are set
// before the first Accept.
type Listener struct {
	net.Listener
	// Bounds returns the bounds in force. Nil means none beside the server's own.
	Timeouts func() Timeouts

	keepAlivesDisabled atomic.Bool
	closeOnce          sync.Once

	mu         sync.Mutex
	open       map[*connection]struct{} // connections that are not closed
	draining   bool                     // whether those that are accepted still are to end
	drainStart time.Time                // since when
	closed     bool                     // whether the listener is closed
	changes    chan struct{}            // closed at the next change of one, if anybody waits for it
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
			_ = d.SetDeadline(pastDeadline) // the next one is accepted if it waits already
		}
	}
	return c, nil
}

// acceptWithin bounds an Accept for which a connection waits.
const lastAcceptTimeout = time.Second

// mayLook returns whether a listener that has been told to close accepts once more, as callers
// have opened connections that wait: to close it resets those.
func (l *Listener) allowsLastAccept() bool {
	l.mu.Lock()
	inTime := l.draining && time.Since(l.drainStart) < headerTimeoutAfterClose
	l.mu.Unlock()
	d, ok := l.Listener.(deadliner)
	return ok && inTime && hasPending(d) && d.SetDeadline(time.Now().Add(lastAcceptTimeout)) == nil
}

// waits returns whether a connection waits to be accepted. An Accept whose deadline has passed
// does not tell.
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

// deadliner is a listener whose Accept can be told to return.
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

// Leave makes each answer of a Handler the last one of its connection. Connections
// without a request stay open: a caller that sends one more gets its answer.
func (l *Listener) DisableKeepAlives() { l.keepAlivesDisabled.Store(true) }

// Drain closes the listener, and the connections on which nothing of a request has
// come in. It returns once a Handler has the request of each other one, or it speaks
// HTTP/2; a head that is coming in gets a short time for that. A server must not be
// shut down before: it drops the requests that have not come to their handlers. Drain
// fails if ctx ends first.
func (l *Listener) Drain(ctx context.Context) error {
	l.DisableKeepAlives()
	l.closeAfterAccepting(ctx)
	for _, c := range l.connections() {
		c.closeWhenIdle()
	}
	heads, cancel := context.WithTimeout(ctx, headerTimeoutAfterClose)
	defer cancel()
	_ = l.await(heads, l.noneMatches((*connection).awaitsHandler))
	return context.Cause(ctx)
}

// closeLooking closes the listener once its Accept has taken the connections that
// callers have opened, or does not come to it in time.
func (l *Listener) closeAfterAccepting(ctx context.Context) {
	l.mu.Lock()
	l.draining = true
	l.drainStart = time.Now()
	l.mu.Unlock()
	if d, ok := l.Listener.(deadliner); ok && d.SetDeadline(pastDeadline) == nil {
		accepting, cancel := context.WithTimeout(ctx, headerTimeoutAfterClose)
		defer cancel()
		_ = l.await(accepting, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.closed
		})
	}
	_ = l.Close()
}

// Quiesce waits until all connections are closed, or ctx ends. A server that is
// shut down does not wait for those that it took for idle while a request came in.
func (l *Listener) AwaitClosed(ctx context.Context) error {
	return l.await(ctx, l.noneMatches(func(*connection) bool { return true }))
}

// Cut closes all connections, whatever is under way on them, and returns how many
// they were.
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

// without returns what says whether no connection is such.
func (l *Listener) noneMatches(matches func(*connection) bool) func() bool {
	return func() bool { return !slices.ContainsFunc(l.connections(), matches) }
}

// await waits until a condition holds that changed tells of, or ctx ends.
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

// changed takes in that a connection is in another state, or closed, or that the listener
// is.
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

// ConnState takes in what a server says of a connection.
func ConnState(c net.Conn, s http.ConnState) {
	if o, ok := c.(*connection); ok {
		o.stateChanged(s)
	}
}

// connectionKey is the key of a request's *connection in its context.
type connectionKey struct{}

// ConnContext lets the requests of a connection know it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request, or nil if it does not come from a
// Listener.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// leaving returns whether the answer of a request is the last one of its connection.
func keepAlivesDisabled(r *http.Request) bool {
	c := connectionOf(r)
	return c != nil && c.listener.keepAlivesDisabled.Load()
}

// twoLengths returns whether a request came in with both a Content-Length and
// the chunked coding. The server has ignored the length, as RFC 9112, section
// 6.3, wants it; other servers on the way may have not.
func hasBothLengths(r *http.Request) bool {
	c := connectionOf(r)
	return c != nil && len(r.TransferEncoding) > 0 && c.receivedContentLength()
}
