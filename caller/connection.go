// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// phase is the state of a connection between two requests.
type phase uint8

const (
	phaseHeader  phase = iota // the header of a request is expected or being received
	phaseHandler              // a request is being handled
	phaseIdle                 // nothing of the next request has been received
)

// closeState is the progress of closing a connection.
type closeState uint8

const (
	closeNone          closeState = iota
	closeAfterResponse            // to be closed after the response to the current request
	closeInterrupted              // its reader has been interrupted
	closeLastRead                 // its reader reads once more, in case a request was received
)

// connection is a caller's connection. It records whether a header with a Content-Length was
// received since the connection was last idle, keeps the server's read deadlines within the
// configured timeouts, and is not closed while a request is being received.
type connection struct {
	net.Conn
	listener *Listener

	mu               sync.Mutex
	phase            phase
	headerBegun      bool       // whether part of the current header has been read
	handlerStarted   bool       // whether the current request has reached its handler
	closeState       closeState // progress of closing the connection
	serverDeadline   time.Time  // read deadline that the server set last
	isHTTP2          bool       // whether it uses HTTP/2, whose server closes it gracefully
	hasContentLength bool       // whether a Content-Length was received
	scanTail         []byte     // the last bytes read, which may be the start of contentLengthField
	resetsAtEnd      bool       // whether the connection is to be reset when it is closed
}

const (
	// contentLengthField is the start of a Content-Length field on the wire, in lower
	// case. A body may contain the same bytes, which only prevents the connection from
	// being reused.
	contentLengthField = "\ncontent-length"
	// http2Preface is the start of an HTTP/2 connection (RFC 9113, section 3.4).
	http2Preface = "PRI "
	// headerTimeoutAfterClose bounds the time for the rest of a request header whose first
	// bytes arrived while the connection was being closed, if no shorter timeout applies. A
	// header arrives within a few round trips.
	headerTimeoutAfterClose = 2 * time.Second
	// lastReadTimeout is how long an interrupted reader still looks for a request. A read
	// after its deadline returns nothing, even if data has been received.
	lastReadTimeout = 100 * time.Millisecond
)

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && c.allowsLastRead(err) {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.scan(p[:n])
	}
	return n, err
}

// allowsLastRead returns whether a read that ended with err is repeated once, because it was
// interrupted in order to close the connection.
func (c *connection) allowsLastRead(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeState != closeInterrupted {
		return false
	}
	c.closeState = closeLastRead
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil
}

// scan records what was read. The server reads only when it has consumed what it read
// before, so data received on an idle connection begins a request.
func (c *connection) scan(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle && !c.isHTTP2 {
		c.phase = phaseHeader
		c.hasContentLength = false
		c.scanTail = c.scanTail[:0]
	}
	if c.phase == phaseHeader && !c.headerBegun {
		c.beginHeader(p)
	}
	if c.hasContentLength {
		return
	}
	seen := append(c.scanTail, bytes.ToLower(p)...)
	c.hasContentLength = bytes.Contains(seen, []byte(contentLengthField))
	c.scanTail = append(c.scanTail[:0], seen[max(0, len(seen)-len(contentLengthField)+1):]...)
}

// beginHeader records the first bytes of a request. The caller holds c.mu.
func (c *connection) beginHeader(p []byte) {
	c.headerBegun = true
	c.isHTTP2 = c.isHTTP2 || bytes.HasPrefix(p, []byte(http2Preface))
	if c.closeState >= closeInterrupted {
		c.closeState = closeAfterResponse
		_ = c.Conn.SetReadDeadline(c.boundDeadline(time.Now().Add(headerTimeoutAfterClose)))
	}
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. The server sets a deadline before it
// reads a header, another while it waits for the next request, and none while a
// handler runs.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	if c.closeState >= closeInterrupted {
		return nil // the deadline for closing applies
	}
	return c.Conn.SetReadDeadline(c.boundDeadline(t))
}

// boundDeadline returns t, or the deadline of the configured timeout if that is earlier. The
// caller holds c.mu.
func (c *connection) boundDeadline(t time.Time) time.Time {
	timeouts := c.listener.Timeouts
	if t.IsZero() || timeouts == nil {
		return t
	}
	var timeout time.Duration
	switch c.phase {
	case phaseHeader:
		timeout = timeouts().Header
	case phaseIdle:
		timeout = timeouts().Idle
	}
	if limit := time.Now().Add(timeout); timeout > 0 && limit.Before(t) {
		return limit
	}
	return t
}

// Close implements net.Conn. A server that shuts down closes the connections that it considers
// idle. It considers a connection idle until the header of the next request has been read
// completely, or longer: it checks the state of a connection first and closes it afterwards.
// The response to such a request would be lost. So Close does not close the connection, but
// only has it end when it has no request. The server then reports the connection as closed,
// which stateChanged handles.
func (c *connection) Close() error {
	c.mu.Lock()
	serverDone := c.isHTTP2 && c.phase != phaseHeader
	c.mu.Unlock()
	if serverDone {
		return c.closeNow() // the HTTP/2 server closes a connection only when it has finished with it
	}
	c.closeWhenIdle()
	return nil
}

// closeWhenIdle closes the connection as soon as it has no request. Between two requests its
// reader is interrupted, and then finds either nothing or a request, which is served. A
// connection with a request is closed after the response.
func (c *connection) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isHTTP2 || c.closeState != closeNone:
	case c.phase == phaseHandler || c.headerBegun:
		c.closeState = closeAfterResponse
	default:
		c.interruptRead()
	}
}

// interruptRead interrupts the reader of a connection between two requests. The caller holds
// c.mu.
func (c *connection) interruptRead() {
	c.closeState = closeInterrupted
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails if the connection is closed
}

// awaitsHandler returns whether a request is expected or being received, or has not reached
// its handler. For HTTP/2 it returns false once the server has taken over the connection.
func (c *connection) awaitsHandler() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2 {
		return c.phase == phaseHeader
	}
	return !c.handlerStarted
}

// markHandlerStarted records that the current request has reached its handler.
func (c *connection) markHandlerStarted() {
	c.mu.Lock()
	c.handlerStarted = true
	c.mu.Unlock()
	c.listener.notify(c, false)
}

// linger closes the connection, which its server no longer uses. After a response it waits until
// the caller has closed its side, at most for maxDrainTime and maxDrainBytes: closing a
// connection with unread input, such as a further request, resets it, and loses what has not
// arrived of the response.
func (c *connection) linger() {
	c.mu.Lock()
	answered := c.phase == phaseHandler && !c.isHTTP2
	reset := c.resetsAtEnd
	c.mu.Unlock()
	if reset {
		c.reset()
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !answered || !ok || half.CloseWrite() != nil {
		_ = c.closeNow() // nothing reads from it any more
		return
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(maxDrainTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrainBytes))
		_ = c.closeNow()
	}()
}

// resetAtEnd has the connection reset when its server closes it: its end would look like that of a
// whole response.
func (c *connection) resetAtEnd() {
	c.mu.Lock()
	c.resetsAtEnd = true
	c.mu.Unlock()
}

// reset closes the connection with a reset, if it is a TCP connection.
func (c *connection) reset() {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.closeNow()
}

// closeNow closes the connection immediately.
func (c *connection) closeNow() error {
	defer c.listener.notify(c, true)
	return c.Conn.Close()
}

// stateChanged handles a change of the connection's state in its server.
func (c *connection) stateChanged(s http.ConnState) {
	if s == http.StateClosed {
		c.linger()
		return
	}
	c.applyState(s)
	c.listener.notify(c, false)
}

// applyState records the new state of a connection that is not closed.
func (c *connection) applyState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBegun = false
	c.handlerStarted = false
	switch s {
	case http.StateActive:
		c.phase = phaseHandler
		if c.closeState >= closeInterrupted { // the header was received with the previous request
			c.closeState = closeAfterResponse
			_ = c.Conn.SetReadDeadline(c.serverDeadline)
		}
	case http.StateIdle:
		c.phase = phaseIdle
		if c.closeState == closeAfterResponse && !c.isHTTP2 {
			c.interruptRead()
		}
	}
}

// receivedContentLength returns whether the current request had a Content-Length.
func (c *connection) receivedContentLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasContentLength
}
