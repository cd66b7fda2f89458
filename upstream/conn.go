// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/tcp"
	"sassafrasfront.example/verdict"
)

// conn is a connection to the upstream. It carries one request at a time.
type conn struct {
	net.Conn
	heads           headReader    // reads from the connection
	reader          *bufio.Reader // reads from heads
	writer          *bufio.Writer
	readLimit       int64 // bytes that may still be read
	bytesSent       atomic.Int64
	writing         sync.Mutex  // held while bytes of the request are written
	writeFailed     atomic.Bool // whether writing to the connection has failed
	writeDone       atomic.Bool // whether the whole request has been written
	readFailed      bool        // whether a read has failed
	responseSkipped bool        // whether a response to another request was read
	idleSince       time.Time
	keepAlive       time.Duration // the keep-alive timeout in the last response, or 0
	noAckTimeout    bool          // whether the acknowledgement timeout is disabled
	unacked         int           // unacknowledged bytes when reading the response failed
	requests        int           // number of requests sent on the connection
	startedAt       time.Time     // when the last of them started
}

// errUnusable marks a response that is well-formed but can't be passed on.
var errUnusable = eris.New("unusable response")

// errHeadTooLarge closes a connection whose response has a head above the limit.
var errHeadTooLarge = eris.New("head of the response is too large")

// Read implements io.Reader within the allowed number of bytes.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > c.readLimit {
		p = p[:c.readLimit]
	}
	n, err := c.Conn.Read(p)
	c.readLimit -= int64(n)
	c.readFailed = c.readFailed || err != nil
	return n, err
}

// countingWriter counts the bytes of the request that the kernel accepted.
type countingWriter struct {
	*conn
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	if w.bytesSent.Load()+int64(len(p)) > promptAckBytes {
		w.disableAckTimeout()
	}
	w.writing.Lock()
	defer w.writing.Unlock()
	n, err := w.Conn.Write(p)
	w.bytesSent.Add(int64(n))
	if err != nil {
		w.writeFailed.Store(true)
	}
	return n, err
}

// promptAckBytes is the number of bytes of a request that any upstream's kernel acknowledges at once.
// The rest may stay unacknowledged until the upstream reads it, which may be after its response.
const promptAckBytes = 4 << 10

// disableAckTimeout removes the acknowledgement timeout. It is not set again: the upstream may respond to a
// request and read the rest of its body later.
func (c *conn) disableAckTimeout() {
	if c.noAckTimeout {
		return
	}
	c.noAckTimeout = true
	_ = tcp.SetUserTimeout(c.Conn, 0) // fails only if the connection is closed
}

// abort makes all pending and later reads and writes fail.
func (c *conn) abort() {
	_ = c.SetDeadline(time.Unix(1, 0))
}

// begin prepares the connection for the next request.
func (c *conn) begin() {
	c.bytesSent.Store(0)
	c.writeDone.Store(false)
	c.requests++
	c.startedAt = time.Now()
}

// write writes the whole request.
func (c *conn) write(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	err := c.writer.Flush()
	c.writeDone.Store(err == nil)
	return err
}

// errReset ends a response without a length whose connection was reset.
var errReset = eris.New("connection reset before the end of the response")

// checkOrderlyEnd returns an error if the connection, which has ended, may have been reset. The
// kernel reports a reset to one call only: if that is a write, the read that follows returns
// the same as after an orderly end.
func (c *conn) checkOrderlyEnd() error {
	if c.writeFailed.Load() {
		return errReset
	}
	reset, err := tcp.WasReset(c.Conn)
	if reset || err != nil && !c.writeDone.Load() {
		return errReset
	}
	return nil
}

// readHead reads the head of the final response. Informational responses show that the upstream is
// still working, however many there are; those beyond maxForwardedInfoBytes are dropped.
func (c *conn) readHead(r *http.Request, onInfo func(int, http.Header)) (*http.Response, error) {
	for infoBytes := int64(0); infoBytes < maxInfoBytes; infoBytes += maxHeadBytes - c.readLimit {
		c.readLimit = maxHeadBytes
		response, err := c.heads.readResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: unrequested protocol switch", errUnusable)
		case response.StatusCode >= 200:
			c.readLimit = unlimited
			return response, nil
		case onInfo != nil && infoBytes < maxForwardedInfoBytes && response.StatusCode != http.StatusContinue:
			onInfo(response.StatusCode, response.Header)
		}
	}
	return nil, fmt.Errorf("%w: %d bytes of informational responses", errUnusable, int64(maxInfoBytes))
}

// failure returns the verdict on a request whose response's head could not be read. The connection
// is already closed, so that a write that is in progress ends and a later one fails: once c.writing
// is free, bytesSent is final. The goroutine that writes may still be blocked on the caller's body.
func (c *conn) failure(ctx context.Context, err error, written chan error) *verdict.Error {
	var writeErr error
	select {
	case writeErr = <-written:
	default:
	}
	c.writing.Lock()
	unsent := c.bytesSent.Load() == 0
	c.writing.Unlock()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	switch {
	case unsent:
		return verdict.New(verdict.UpstreamDialFailed, err)
	case ctx.Err() != nil:
		e := *verdict.As(err, verdict.CallerGone)
		e.Err = c.unansweredError(e.Err)
		return &e
	case writeErr != nil && isBodyError(writeErr):
		return verdict.As(writeErr, verdict.BodyLost)
	case errors.Is(err, errInvalidHead):
		return verdict.New(verdict.ResponseMalformed, err)
	case c.readFailed || isNetworkError(err):
		return verdict.New(verdict.UpstreamLost, err)
	}
	if errors.Is(err, errHeadTooLarge) || errors.Is(err, errUnusable) {
		return verdict.New(verdict.ResponseInvalid, err)
	}
	return verdict.New(verdict.ResponseMalformed, err)
}

// isBodyError returns whether a write failed because the body of the request could not be read.
func isBodyError(err error) bool {
	_, ok := errors.AsType[*verdict.Error](err)
	return ok
}

// isNetworkError returns whether the connection itself failed, as opposed to the parsing of what
// was read from it.
func isNetworkError(err error) bool {
	_, ok := errors.AsType[net.Error](err)
	return ok || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// hasNothingToRead returns whether an idle connection is open and has no data to read. A connection that
// the server has closed, or on which it sent unsolicited data, must not be used for a request.
func hasNothingToRead(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && peekErr == syscall.EAGAIN
}
