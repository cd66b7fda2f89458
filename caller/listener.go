// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds limit how long a caller may take. A zero field leaves the server's own
// limit as it is.
type Bounds struct {
	// Head bounds the time in which the head of a request has to come in.
	Head time.Duration
	// Idle bounds the time between two requests of a connection.
	Idle time.Duration
}

// Listener gives out callers' connections that know more of their requests than
// a server tells its handlers. Its ConnContext and ConnState are to be those of
// the server that accepts from it. The exported fields are set before the first
// Accept.
type Listener struct {
	net.Listener
	// Bounds returns the bounds in force. Nil means none beside the server's own.
	Bounds func() Bounds
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:   c,
		bounds: l.Bounds,
	}, nil
}

// phase is where a connection stands between two requests.
type phase uint8

const (
	phaseHead    phase = iota // the head of a request is due or coming in
	phaseHandled              // a request is being handled
	phaseIdle                 // nothing of the next request has come in
)

// connection is a caller's connection. It notes whether a head with a
// Content-Length came in since the connection was last idle, and keeps the
// server's deadlines for reading within the bounds.
type connection struct {
	net.Conn
	bounds func() Bounds

	mu     sync.Mutex
	phase  phase
	length bool   // whether a Content-Length came in
	tail   []byte // the last bytes read, where the field's name may have begun
}

// lengthField is what a Content-Length looks like on the wire, in lower case. A
// body may hold the same bytes, which then costs its connection and nothing
// else.
const lengthField = "\ncontent-length"

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.scan(p[:n])
	}
	return n, err
}

// scan looks for a Content-Length in what was read. The server reads only when
// it has used up what it read before, so what comes in on an idle connection
// begins a request.
func (c *connection) scan(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase = phaseHead
		c.length = false
		c.tail = c.tail[:0]
	}
	if c.length {
		return
	}
	seen := append(c.tail, bytes.ToLower(p)...)
	c.length = bytes.Contains(seen, []byte(lengthField))
	c.tail = append(c.tail[:0], seen[max(0, len(seen)-len(lengthField)+1):]...)
}

// SetReadDeadline implements net.Conn. The server sets a deadline before it
// reads a head, another while it waits for the next request, and none while a
// handler runs.
func (c *connection) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && c.bounds != nil {
		t = c.bounded(t)
	}
	return c.Conn.SetReadDeadline(t)
}

// bounded returns the earlier of t and what the bounds say.
func (c *connection) bounded(t time.Time) time.Time {
	c.mu.Lock()
	now := c.phase
	c.mu.Unlock()
	var most time.Duration
	switch now {
	case phaseHead:
		most = c.bounds().Head
	case phaseIdle:
		most = c.bounds().Idle
	}
	if limit := time.Now().Add(most); most > 0 && limit.Before(t) {
		return limit
	}
	return t
}

// ambiguous returns whether a Content-Length came in with the present request.
func (c *connection) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.length
}

// ConnState takes in what a server says of a connection.
func ConnState(c net.Conn, s http.ConnState) {
	o, ok := c.(*connection)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch s {
	case http.StateActive:
		o.phase = phaseHandled
	case http.StateIdle:
		o.phase = phaseIdle
	}
}

// connectionKey is the key of a request's *connection in its context.
type connectionKey struct{}

// ConnContext lets the requests of a connection know it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// twoLengths returns whether a request came in with both a Content-Length and
// the chunked coding. The server has ignored the length, as RFC 9112, section
// 6.3, wants it; other servers on the way may have not.
func twoLengths(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && len(r.TransferEncoding) > 0 && c.ambiguous()
}
