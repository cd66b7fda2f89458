// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headFactor is how many times the bytes of a head are held while it is parsed and forwarded.
	headFactor = 4
	// fieldBytes is what a field of a head takes beside its bytes: its entries in the lists and
	// tables of fields while it is parsed and forwarded.
	fieldBytes = 400
	// freeHeadBytes is the size of a head that is included in ConnBytes.
	freeHeadBytes = 4 << 10
	// http2Bytes is what an HTTP/2 connection takes beside its streams: buffers for data that has been
	// received, and tables of fields.
	http2Bytes = 256 << 10
	// http2HeadFactor is how many times the bytes that an HTTP/2 connection has received since its last
	// request are held if they belong to a head, and maxHTTP2HeadBytes the most that a head takes: its list of
	// fields, whose size MaxHeaderBytes bounds.
	http2HeadFactor   = 8
	maxHTTP2HeadBytes = 1 << 20
	// http2Preface is the start of an HTTP/2 connection (RFC 9113, section 3.4).
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// HTTP2Config returns a configuration for servers whose connections use no more than is counted.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          100,
		MaxReceiveBufferPerConnection: http2Bytes / 2,
		MaxReceiveBufferPerStream:     http2Bytes / 2,
	}
}

// phase is the state of a connection between two requests.
type phase uint8

const (
	phaseIdle    phase = iota // nothing of the next request has been received
	phaseHead                 // the head of a request is being received
	phaseHandler              // a request is being handled
	phaseHTTP2                // the connection uses HTTP/2
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	account  *account

	mu           sync.Mutex
	phase        phase
	since        time.Time // when the connection became idle, or its current request began
	head         headCount // of the request that is being received
	headBytes    int64     // what the account has for it
	turn         *turn     // the slot of the lane that the request has, or nil
	used         bool      // whether a request has been handled
	prefaceBytes int       // how much of http2Preface has been received, or -1 if something else was
	readSinceEnd bool      // whether anything was read since the last request ended
	responding   bool      // whether anything was written since the current request began
	ahead        bool      // whether the current request was sent before the response to the last one
	nextAhead    bool      // whether the next one has been sent before the response to the current one
	refusal      error     // why nothing more is read, or nil
	requests     int       // HTTP/2 requests that are being handled
	sinceRequest int       // bytes received on an HTTP/2 connection since its last request
	readTurn     *turn     // the turn to handle what was read last of an HTTP/2 connection, or nil
}

// errRefused ends the reading of a request that has been refused. It is a network error, so that the
// server does not respond to it again.
var errRefused = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: errors.New("request refused"),
}

// evict closes the connection because the room is needed. What it holds in the kernel is released as
// well, unless it is idle.
func (c *Conn) evict() {
	c.mu.Lock()
	idle := c.phase == phaseIdle
	c.mu.Unlock()
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && !idle {
		_ = t.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.endHead()
	c.endReadTurn()
	c.mu.Unlock()
	c.account.close()
	return err
}

// CloseWrite closes the writing side, if the connection supports that.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return t.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	// The server reads a single byte while a request is handled, to learn whether the client has left.
	if len(p) <= 1 {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.mu.Lock()
			c.nextAhead = c.phase == phaseHandler && !c.responding
			c.readSinceEnd = true
			c.mu.Unlock()
		}
		return n, err
	}
	since, err := c.beforeRead()
	if err != nil {
		return 0, err
	}
	c.account.readSince.Store(monotonic(since))
	n, err := c.Conn.Read(p)
	c.account.readSince.Store(0)
	if n > 0 {
		if refused := c.received(p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// beforeRead returns from when on the process waits for the client if it reads now, or why nothing more
// is read.
func (c *Conn) beforeRead() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReadTurn()
	return c.since, c.refusal
}

// endReadTurn ends the turn to handle what was read last. The lock is held.
func (c *Conn) endReadTurn() {
	if c.readTurn != nil {
		c.readTurn.leave()
		c.readTurn = nil
	}
}

// received counts what was read. An error means that the request is refused.
func (c *Conn) received(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readSinceEnd = true
	if c.phase == phaseIdle {
		c.phase = phaseHead
		c.since = time.Now()
		c.head = headCount{}
	}
	if c.phase == phaseHead && c.startsHTTP2(p) {
		return c.beginHTTP2()
	}
	if c.phase == phaseHTTP2 {
		return c.receivedHTTP2(len(p))
	}
	if c.phase != phaseHead || c.head.ended {
		return nil
	}
	c.head.write(p)
	limits := c.listener.Limits()
	switch {
	case c.head.bytes > limits.MaxHeadBytes:
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case !c.growHead(headCost(c.head.bytes, c.head.lines), true):
		return c.refuse(http.StatusServiceUnavailable)
	case c.head.lines > limits.MaxFreeFields && !c.enterLane():
		return c.refuse(http.StatusServiceUnavailable)
	}
	return nil
}

// startsHTTP2 returns whether the connection has begun with the whole http2Preface, of which p may be a
// part. The lock is held.
func (c *Conn) startsHTTP2(p []byte) bool {
	if c.listener.ReadLane == nil || c.used || c.prefaceBytes < 0 {
		return false
	}
	rest := http2Preface[c.prefaceBytes:]
	n := min(len(rest), len(p))
	if string(p[:n]) != rest[:n] {
		c.prefaceBytes = -1
		return false
	}
	c.prefaceBytes += n
	return n == len(rest)
}

// headCost returns what a head costs beyond ConnBytes.
func headCost(bytes, fields int) int64 {
	return max(0, int64(headFactor*bytes)+int64(fieldBytes*fields)-headFactor*freeHeadBytes)
}

// growHead has the account include the given cost of the head, and returns whether there is room for it.
// The lock is held, but not while it waits.
func (c *Conn) growHead(cost int64, wait bool) bool {
	n := cost - c.headBytes
	if n <= 0 {
		return true
	}
	c.mu.Unlock()
	ok := c.account.grow(n, wait)
	c.mu.Lock()
	if ok {
		c.headBytes += n
	}
	return ok
}

// enterLane waits for a slot of the lane, unless the request has one. The lock is held, but not while it waits.
func (c *Conn) enterLane() bool {
	if c.turn != nil {
		return true
	}
	c.turn = c.awaitTurn(c.listener.Lane)
	return c.turn != nil
}

// awaitTurn waits for a slot of a lane, and returns nil if there is none. The connection may be closed
// meanwhile, as the process is not at work at its request. The lock is held, but not while it waits.
func (c *Conn) awaitTurn(l *Lane) *turn {
	c.account.readSince.Store(monotonic(c.since))
	c.mu.Unlock()
	t := l.enter()
	c.mu.Lock()
	c.account.readSince.Store(0)
	return t
}

// endHead releases what the current request has of the account and of the lane. The lock is held.
func (c *Conn) endHead() {
	if c.headBytes > 0 {
		c.account.shrink(c.headBytes)
		c.headBytes = 0
	}
	if c.turn != nil {
		c.turn.leave()
		c.turn = nil
	}
}

// beginHTTP2 records that the connection uses HTTP/2. The lock is held.
func (c *Conn) beginHTTP2() error {
	c.phase = phaseHTTP2
	c.mu.Unlock()
	ok := c.account.grow(http2Bytes, true)
	c.mu.Lock()
	if !ok {
		c.refusal = errRefused
	}
	return c.refusal
}

// receivedHTTP2 counts what was read of an HTTP/2 connection, and waits for the turn to handle it. The
// lock is held, but not while it waits.
func (c *Conn) receivedHTTP2(n int) error {
	c.sinceRequest += n
	if !c.growHead(int64(min(http2HeadFactor*c.sinceRequest, maxHTTP2HeadBytes)), true) {
		c.refusal = errRefused
		return errRefused
	}
	return c.awaitReadTurn()
}

// awaitReadTurn waits for a turn to handle what has been read of an HTTP/2 connection, of which a few bytes may
// be a thousand fields. The lock is held, but not while it waits.
func (c *Conn) awaitReadTurn() error {
	c.readTurn = c.awaitTurn(c.listener.ReadLane)
	if c.readTurn == nil {
		c.refusal = errRefused
	}
	return c.refusal
}

// refuse responds to the request that is being received, and ends the reading. The lock is held.
func (c *Conn) refuse(status int) error {
	c.refusal = errRefused
	c.mu.Unlock()
	defer c.mu.Lock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, c.listener.Refusal(status)) // a client that does not read it is closed as well
	return c.refusal
}

// refusalTimeout bounds the writing of a refusal, for which there is room on a new connection.
const refusalTimeout = 10 * time.Millisecond

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if timeout := c.listener.Limits().WriteTimeout; timeout > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(timeout))
	}
	c.mu.Lock()
	since := c.since
	c.responding = true
	c.mu.Unlock()
	c.account.writeSince.Store(monotonic(since))
	n, err := c.Conn.Write(p)
	c.account.writeSince.Store(0)
	return n, err
}

// SetState records a change of the connection's state in its server.
func (c *Conn) SetState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHTTP2 {
		return
	}
	switch s {
	case http.StateActive:
		c.phase = phaseHandler
	case http.StateIdle:
		c.endHead()
		c.phase = phaseIdle
		c.since = time.Now()
		c.used = true
		c.readSinceEnd = false
		c.responding = false
	}
}
