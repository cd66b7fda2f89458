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
	phaseHead    phase = iota // the head of a request is due or coming in
	phaseHandled              // a request is being handled
	phaseIdle                 // nothing of the next request has come in
)

// ending is how far a connection is that is to end.
type ending uint8

const (
	endingNot   ending = iota
	endingAfter        // once the request that is being handled has its answer
	endingTold         // its reader has been told to stop
	endingLook         // its reader looks once more for a request that has come in
)

// connection is a caller's connection. It notes whether a head with a
// Content-Length came in since the connection was last idle, keeps the server's
// deadlines for reading within the bounds, and is not closed under a request that
// has begun to come in.
type connection struct {
	net.Conn
	listener *Listener

	mu      sync.Mutex
	phase   phase
	begun   bool      // whether part of the present head has been read
	served  bool      // whether the present request has come to its handler
	ending  ending    // whether the connection is to end unless a request has begun
	asked   time.Time // the deadline that the server set last
	streams bool      // whether it speaks HTTP/2, whose server ends it in good order
	length  bool      // whether a Content-Length came in
	tail    []byte    // the last bytes read, where the field's name may have begun
}

const (
	// lengthField is what a Content-Length looks like on the wire, in lower case. A
	// body may hold the same bytes, which then costs its connection and nothing
	// else.
	lengthField = "\ncontent-length"
	// streamsPreface is how a connection of HTTP/2 begins (RFC 9113, section 3.4).
	streamsPreface = "PRI "
	// headAfterClose bounds the rest of a head whose first bytes crossed the closing
	// of its connection, where no other bound is in force. Heads come in within a few
	// round trips.
	headAfterClose = 2 * time.Second
	// crossing is how long a reader that has been told to stop still looks for a
	// request. A read after its deadline returns nothing, also where something has
	// come in.
	crossing = 100 * time.Millisecond
)

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && c.mayLook(err) {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.scan(p[:n])
	}
	return n, err
}

// mayLook returns whether a read that ended by err is done once more, because it
// was told to stop.
func (c *connection) mayLook(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != endingTold {
		return false
	}
	c.ending = endingLook
	return c.Conn.SetReadDeadline(time.Now().Add(crossing)) == nil
}

// scan takes in what was read. The server reads only when it has used up what it
// read before, so what comes in on an idle connection begins a request.
func (c *connection) scan(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle && !c.streams {
		c.phase = phaseHead
		c.length = false
		c.tail = c.tail[:0]
	}
	if c.phase == phaseHead && !c.begun {
		c.begin(p)
	}
	if c.length {
		return
	}
	seen := append(c.tail, bytes.ToLower(p)...)
	c.length = bytes.Contains(seen, []byte(lengthField))
	c.tail = append(c.tail[:0], seen[max(0, len(seen)-len(lengthField)+1):]...)
}

// begin takes in the first bytes of a request. The lock is held.
func (c *connection) begin(p []byte) {
	c.begun = true
	c.streams = c.streams || bytes.HasPrefix(p, []byte(streamsPreface))
	if c.ending >= endingTold {
		c.ending = endingAfter
		_ = c.Conn.SetReadDeadline(c.deadline(time.Now().Add(headAfterClose)))
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. The server sets a deadline before it
// reads a head, another while it waits for the next request, and none while a
// handler runs.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = t
	if c.ending >= endingTold {
		return nil // that of the ending is in force
	}
	return c.Conn.SetReadDeadline(c.deadline(t))
}

// deadline returns t, or what the bounds say if that is earlier. The lock is
// held.
func (c *connection) deadline(t time.Time) time.Time {
	bounds := c.listener.Timeouts
	if t.IsZero() || bounds == nil {
		return t
	}
	var most time.Duration
	switch c.phase {
	case phaseHead:
		most = bounds().Header
	case phaseIdle:
		most = bounds().Idle
	}
	if limit := time.Now().Add(most); most > 0 && limit.Before(t) {
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
	serverDone := c.streams && c.phase != phaseHead
	c.mu.Unlock()
	if serverDone {
		return c.end() // the server of HTTP/2 closes its connections itself, when it is done with them
	}
	c.stop()
	return nil
}

// stop has the connection end as soon as it bears no request. Between two requests
// its reader is told to stop, and finds either nothing, or a request that it lets
// in. A connection with a request ends after the answer.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.streams || c.ending != endingNot:
	case c.phase == phaseHandled || c.begun:
		c.ending = endingAfter
	default:
		c.stopReading()
	}
}

// stopReading tells the reader of a connection between two requests to stop. The
// lock is held.
func (c *connection) stopReading() {
	c.ending = endingTold
	_ = c.Conn.SetReadDeadline(longAgo) // it fails if the connection is closed
}

// awaitsHandler returns whether a request is due or coming in, or has not come to its
// handler. Of HTTP/2 this is over once its server has taken the connection.
func (c *connection) awaitsHandler() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams {
		return c.phase == phaseHead
	}
	return !c.served
}

// serve takes in that the present request has come to its handler.
func (c *connection) serve() {
	c.mu.Lock()
	c.served = true
	c.mu.Unlock()
	c.listener.changed(c, false)
}

// linger closes the connection, which its server has done with. After an answer it waits until
// the caller has closed its side, or drainTime or drainBytes are over: to close a connection with unread input,
// such as a further request, resets it, and what has not arrived of the answer is lost.
func (c *connection) linger() {
	c.mu.Lock()
	answered := c.phase == phaseHandled && !c.streams
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !answered || !ok || half.CloseWrite() != nil {
		_ = c.end() // no-one reads from it any more
		return
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, drainBytes))
		_ = c.end()
	}()
}

// end closes the connection in any case.
func (c *connection) end() error {
	defer c.listener.changed(c, true)
	return c.Conn.Close()
}

// changed takes in the connection's new state.
func (c *connection) changed(s http.ConnState) {
	if s == http.StateClosed {
		c.linger()
		return
	}
	c.take(s)
	c.listener.changed(c, false)
}

// take does what changed says for a connection that is not closed.
func (c *connection) take(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
	c.served = false
	switch s {
	case http.StateActive:
		c.phase = phaseHandled
		if c.ending >= endingTold { // the head had come in with the request before
			c.ending = endingAfter
			_ = c.Conn.SetReadDeadline(c.asked)
		}
	case http.StateIdle:
		c.phase = phaseIdle
		if c.ending == endingAfter && !c.streams {
			c.stopReading()
		}
	}
}

// ambiguous returns whether a Content-Length came in with the present request.
func (c *connection) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.length
}
