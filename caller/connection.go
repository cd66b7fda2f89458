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

// phase is where a connection stands between two requests.
type phase uint8

const (
	phaseHeader  phase = iota // the head of a request is due or coming in
	phaseHandler              // a request is being handled
	phaseIdle                 // nothing of the next request has come in
)

// ending is how far a connection is that is to end.
type closeState uint8

const (
	closeNone          closeState = iota
	closeAfterResponse            // once the request that is being handled has its answer
	closeInterrupted              // its reader has been told to stop
	closeLastRead                 // its reader looks once more for a request that has come in
)

// connection is a caller's connection. It notes whether a head with a
// Content-Length came in since the connection was last idle, keeps the server's
// deadlines for reading within the bounds, and is not closed under a request that
// has begun to come in.
type connection struct {
	net.Conn
	listener *Listener

	mu               sync.Mutex
	phase            phase
	headerBegun      bool       // whether part of the present head has been read
	handlerStarted   bool       // whether the present request has come to its handler
	closeState       closeState // whether the connection is to end unless a request has begun
	serverDeadline   time.Time  // the deadline that the server set last
	isHTTP2          bool       // whether it speaks HTTP/2, whose server ends it in good order
	hasContentLength bool       // whether a Content-Length came in
	scanTail         []byte     // the last bytes read, where the field's name may have begun
}

const (
	// lengthField is what a Content-Length looks like on the wire, in lower case. A
	// body may hold the same bytes, which then costs its connection and nothing
	// else.
	contentLengthField = "\ncontent-length"
	// streamsPreface is how a connection of HTTP/2 begins (RFC 9113, section 3.4).
	http2Preface = "PRI "
	// headAfterClose bounds the rest of a head whose first bytes crossed the closing
	// of its connection, where no other bound is in force. Heads come in within a few
	// round trips.
	headerTimeoutAfterClose = 2 * time.Second
	// crossing is how long a reader that has been told to stop still looks for a
	// request. A read after its deadline returns nothing, also where something has
	// come in.
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

// mayLook returns whether a read that ended by err is done once more, because it
// was told to stop.
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

// scan takes in what was read. The server reads only when it has used up what it
// read before, so what comes in on an idle connection begins a request.
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

// begin takes in the first bytes of a request. The lock is held.
func (c *connection) beginHeader(p []byte) {
	c.headerBegun = true
	c.isHTTP2 = c.isHTTP2 || bytes.HasPrefix(p, []byte(http2Preface))
	if c.closeState >= closeInterrupted {
		c.closeState = closeAfterResponse
		_ = c.Conn.SetReadDeadline(c.boundDeadline(time.Now().Add(headerTimeoutAfterClose)))
	}
}

// longAgo is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. The server sets a deadline before it
// reads a head, another while it waits for the next request, and none while a
// handler runs.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	if c.closeState >= closeInterrupted {
		return nil // that of the ending is in force
	}
	return c.Conn.SetReadDeadline(c.boundDeadline(t))
}

// deadline returns t, or what the bounds say if that is earlier. The lock is
// held.
func (c *connection) boundDeadline(t time.Time) time.Time {
	bounds := c.listener.Timeouts
	if t.IsZero() || bounds == nil {
		return t
	}
	var timeout time.Duration
	switch c.phase {
	case phaseHeader:
		timeout = bounds().Header
	case phaseIdle:
		timeout = bounds().Idle
	}
	if limit := time.Now().Add(timeout); timeout > 0 && limit.Before(t) {
		return limit
	}
	return t
}

// Close implements net.Conn. A server that stops closes the connections that it
// takes for idle, and takes them so until the head of the next request has been
// read to its end, or longer: it looks at a connection's state first and closes the
// connection afterwards. The answer of such a request would be lost. So nothing is
// closed here, and the connection is only stopped. The server then says that it has
// closed the connection, which changed takes in.
func (c *connection) Close() error {
	c.mu.Lock()
	serverDone := c.isHTTP2 && c.phase != phaseHeader
	c.mu.Unlock()
	if serverDone {
		return c.closeNow() // the server of HTTP/2 closes its connections itself, when it is done with them
	}
	c.closeWhenIdle()
	return nil
}

// stop has the connection end as soon as it bears no request. Between two requests
// its reader is told to stop, and finds either nothing, or a request that it lets
// in. A connection with a request ends after the answer.
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

// stopReading tells the reader of a connection between two requests to stop. The
// lock is held.
func (c *connection) interruptRead() {
	c.closeState = closeInterrupted
	_ = c.Conn.SetReadDeadline(pastDeadline) // it fails if the connection is closed
}

// awaitsHandler returns whether a request is due or coming in, or has not come to its
// handler. Of HTTP/2 this is over once its server has taken the connection.
func (c *connection) awaitsHandler() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2 {
		return c.phase == phaseHeader
	}
	return !c.handlerStarted
}

// serve takes in that the present request has come to its handler.
func (c *connection) markHandlerStarted() {
	c.mu.Lock()
	c.handlerStarted = true
	c.mu.Unlock()
	c.listener.notify(c, false)
}

// linger closes the connection, which its server has done with. After an answer it waits until
// the caller has closed its side, or drainTime or drainBytes are over: to close a connection with unread input,
// such as a further request, resets it, and what has not arrived of the answer is lost.
func (c *connection) linger() {
	c.mu.Lock()
	answered := c.phase == phaseHandler && !c.isHTTP2
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !answered || !ok || half.CloseWrite() != nil {
		_ = c.closeNow() // no-one reads from it any more
		return
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(maxDrainTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrainBytes))
		_ = c.closeNow()
	}()
}

// end closes the connection in any case.
func (c *connection) closeNow() error {
	defer c.listener.notify(c, true)
	return c.Conn.Close()
}

// changed takes in the connection's new state.
func (c *connection) stateChanged(s http.ConnState) {
	if s == http.StateClosed {
		c.linger()
		return
	}
	c.applyState(s)
	c.listener.notify(c, false)
}

// take does what changed says for a connection that is not closed.
func (c *connection) applyState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBegun = false
	c.handlerStarted = false
	switch s {
	case http.StateActive:
		c.phase = phaseHandler
		if c.closeState >= closeInterrupted { // the head had come in with the request before
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

// ambiguous returns whether a Content-Length came in with the present request.
func (c *connection) receivedContentLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasContentLength
}
