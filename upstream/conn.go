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
	reader          *bufio.Reader
	writer          *bufio.Writer
	readLimit       int64 // bytes that may still be read
	bytesSent       atomic.Int64
	writeStarted    atomic.Bool // whether the writing of the request has begun
	readFailed      bool        // whether a read has failed
	responseSkipped bool        // whether an answer to another request was read
	idleSince       time.Time
	keepAlive       time.Duration // as the upstream told last, 0 if it did not
	noAckTimeout    bool          // whether the bound on silence is lifted
	unacked         int           // bytes, as the connection ended before its answer
	requests        int           // how many have been sent on it
	startedAt       time.Time     // when the latest of them began
}

// errUnusable is an answer that is in order and can't be passed on.
var errUnusable = eris.New("unusable answer")

// errHeadTooLarge ends a connection whose answer's head is over the limit.
var errHeadTooLarge = eris.New("head of the answer is too large")

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

// countingWriter counts what the kernel took of the request.
type countingWriter struct {
	*conn
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	if w.bytesSent.Load()+int64(len(p)) > promptAckBytes {
		w.disableAckTimeout()
	}
	w.writeStarted.Store(true)
	n, err := w.Conn.Write(p)
	w.bytesSent.Add(int64(n))
	return n, err
}

// promptBytes is how much of a request any upstream's kernel takes at once. More may wait until
// the upstream reads it, unacknowledged, which may be after its answer.
const promptAckBytes = 4 << 10

// bePatient lifts the bound on silence. It is not set again: the upstream may answer a request
// and read the rest of its body later.
func (c *conn) disableAckTimeout() {
	if c.noAckTimeout {
		return
	}
	c.noAckTimeout = true
	_ = tcp.SetSilence(c.Conn, 0) // it fails on a connection that is closed only
}

// kill makes every read and write fail.
func (c *conn) abort() {
	_ = c.SetDeadline(time.Unix(1, 0))
}

// begin makes the connection ready for the next request.
func (c *conn) begin() {
	c.bytesSent.Store(0)
	c.writeStarted.Store(false)
	c.requests++
	c.startedAt = time.Now()
}

// write writes the whole request.
func (c *conn) write(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead reads the head of the final answer. Informational answers say that the upstream is at
// work, however many there are; those beyond informBytes are left out.
func (c *conn) readHead(r *http.Request, inform func(int, http.Header)) (*http.Response, error) {
	for informed := int64(0); informed < maxInfoBytes; informed += maxHeadBytes - c.readLimit {
		c.readLimit = maxHeadBytes
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: protocols switched unasked", errUnusable)
		case response.StatusCode >= 200:
			c.readLimit = unlimited
			return response, nil
		case inform != nil && informed < maxForwardedInfoBytes && response.StatusCode != http.StatusContinue:
			inform(response.StatusCode, response.Header)
		}
	}
	return nil, fmt.Errorf("%w: %d bytes of informational ones", errUnusable, int64(maxInfoBytes))
}

// failure returns the verdict on a request whose answer's head could not be
// read. The connection is closed by now. The writing may go on, waiting for
// the caller's body; what it has sent is then not known for certain, but that it
// had not begun to.
func (c *conn) failure(ctx context.Context, err error, written chan error) *verdict.Error {
	var writeErr error
	certain := true
	select {
	case writeErr = <-written:
	default:
		certain = false
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	switch {
	case certain && c.bytesSent.Load() == 0, !c.writeStarted.Load():
		return verdict.New(verdict.UpstreamDialFailed, err)
	case ctx.Err() != nil:
		e := *verdict.As(err, verdict.CallerGone)
		e.Err = c.unansweredError(e.Err)
		return &e
	case writeErr != nil && isBodyError(writeErr):
		return verdict.As(writeErr, verdict.BodyLost)
	case c.readFailed || isNetworkError(err):
		return verdict.New(verdict.UpstreamLost, err)
	}
	if errors.Is(err, errHeadTooLarge) || errors.Is(err, errUnusable) {
		return verdict.New(verdict.AnswerInvalid, err)
	}
	return verdict.New(verdict.AnswerMalformed, err)
}

// isBodyError returns whether writing failed because the body of the request
// could not be read.
func isBodyError(err error) bool {
	_, ok := errors.AsType[*verdict.Error](err)
	return ok
}

// isNetworkError returns whether the connection failed, rather than what came
// over it.
func isNetworkError(err error) bool {
	_, ok := errors.AsType[net.Error](err)
	return ok || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// quiet returns whether the idle connection is open and has nothing to read: a
// server that closed it, or that spoke out of turn, makes it unfit for a
// request.
func (c *conn) usable() bool {
	s, ok := c.Conn.(syscall.Conn)
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
