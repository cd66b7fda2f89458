// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/tcp"
	"sassafrasfront.example/verdict"
)

const (
	// maxHead bounds the head of an answer, in bytes.
	maxHeadBytes = 64 << 10
	// informBytes bounds the informational answers to one request that are passed on, in
	// bytes.
	maxForwardedInfoBytes = 64 << 10
	// floodBytes is from how many bytes of informational answers on the upstream is taken to
	// send nothing else.
	maxInfoBytes = 1 << 20
	// defaultDial bounds the opening of a connection.
	defaultDialTimeout = time.Second
	// defaultIdle is how long an idle connection is kept. It is shorter than
	// the five seconds after which common servers close theirs.
	defaultIdleTimeout = 4 * time.Second
	// idleShare is the part of the time for which an upstream keeps idle connections within
	// which one is used again.
	keepAliveShare = 0.9
	// silence is how long what was sent may be without an acknowledgement by the
	// upstream's kernel. The upstream is on the same instance, so that a fraction
	// of a millisecond is usual; callers have 250 ms and more. It does not bind
	// requests over promptBytes, which may wait until the upstream reads them.
	ackTimeout = 200 * time.Millisecond
)

// The headers with which an upstream says that it has not run a request. A
// caller gets them too.
const (
	// VerdictHeader bears the verdict. An upstream that answers 503 with the
	// verdict notRun has not run the request.
	VerdictHeader = "Sassafras-Verdict"
	// GivenUpHeader, if it is "true", says that the tries have been spent.
	GivenUpHeader = "Sassafras-Given-Up"
)

// Transport sends requests to one upstream. The exported fields are set before
// the first call; Resize changes two of them later.
type Transport struct {
	// Addr is the address of the upstream.
	Addr string
	// Connections is the largest number of open connections. Zero means no
	// bound.
	MaxConns int
	// Warm is the largest number of idle connections that are kept.
	MaxIdleConns int
	// Idle is how long an idle connection is kept. Zero means 4 s.
	IdleTimeout time.Duration
	// Names are the header fields that the upstream uses.
	Names FieldNames
	// Observed, if not nil, is called with the load that an answer tells.
	LoadReported func(Load)
	// Noticed, if not nil, is called with what an answer says of the requests that the
	// upstream wants, before the answer is passed on.
	NoticeReceived func(Notice)
	// Permit, if not nil, is called when a request is about to be written, and says why
	// it must not be. Otherwise it returns what to call when the request has been written.
	Permit func() (written func(), refused *verdict.Error)
	// Dial opens a connection. Nil means TCP, bounded by 1 s.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu        sync.Mutex
	open      int
	available chan struct{} // closed when a connection is closed or becomes idle
	idle      []*conn       // the latest used last
	busy      map[*conn]struct{}
}

// Send writes the request and returns the head of the answer. The request's
// context cancels it: the connection is then closed. Inform, if not nil, is
// called with each informational answer. The caller closes the answer's body.
func (t *Transport) Send(r *http.Request, inform func(status int, h http.Header)) (*http.Response, *verdict.Error) {
	c, err := t.getConn(r.Context())
	if err != nil {
		return nil, verdict.As(err, verdict.UpstreamDialFailed)
	}
	done := func() {}
	if t.Permit != nil {
		var refused *verdict.Error
		if done, refused = t.Permit(); refused != nil {
			t.putConn(c)
			return nil, refused
		}
	}
	c.begin()
	stop := context.AfterFunc(r.Context(), c.abort)
	sentAt := time.Now()
	written := make(chan error, 1)
	write := func() {
		err := c.write(r)
		done()
		written <- err
	}
	if r.Body == nil || r.ContentLength >= 0 && r.ContentLength <= promptAckBytes {
		write()
	} else {
		go write()
	}
	response, err := t.readResponse(c, r, inform)
	if err != nil {
		stop()
		c.recordUnacknowledged()
		t.discard(c)
		if errors.Is(err, syscall.ETIMEDOUT) {
			t.CloseIdle() // whatever silenced one connection may have silenced those as well
		}
		return nil, c.failure(r.Context(), err, written)
	}
	c.keepAlive = parseKeepAlive(response)
	t.reportLoad(response)
	refused := t.refusal(response)
	t.reportNotice(response, sentAt, refused)
	if refused != nil {
		stop()
		t.discard(c)
		return nil, refused
	}
	response.Body = &body{
		ReadCloser: response.Body,
		transport:  t,
		conn:       c,
		stop:       stop,
		written:    written,
		reusable:   !response.Close && !r.Close && !c.responseSkipped,
	}
	return response, nil
}

// refusal returns the failure that an answer stands for, if it says that the
// upstream has not run the request.
func (t *Transport) refusal(r *http.Response) *verdict.Error {
	if refused := t.refusalByFields(r); refused != nil {
		return refused
	}
	v, ok := verdict.Parse(r.Header.Get(VerdictHeader))
	if r.StatusCode != http.StatusServiceUnavailable || !ok || v != verdict.NotRun {
		return nil
	}
	e := verdict.New(verdict.UpstreamRefused, nil)
	e = e.WithRetryAfter(parseRetryAfter(r))
	if r.Header.Get(GivenUpHeader) == "true" {
		e = e.WithGivenUp()
	}
	return e
}

// take returns an idle connection that is still good, or opens one. It waits
// while the upstream has as many connections as it may.
func (t *Transport) getConn(ctx context.Context) (*conn, error) {
	for {
		t.mu.Lock()
		c := t.popIdle()
		switch {
		case c != nil:
			t.busy[c] = struct{}{}
			t.mu.Unlock()
			return c, nil
		case t.MaxConns <= 0 || t.open < t.MaxConns:
			t.open++
			t.mu.Unlock()
			return t.dial(ctx)
		}
		if t.available == nil {
			t.available = make(chan struct{})
		}
		available := t.available
		t.mu.Unlock()
		select {
		case <-available:
		case <-ctx.Done():
			return nil, notSent(context.Cause(ctx))
		}
	}
}

// ErrUnreachable is in the failure of a request for which no connection to the upstream could
// be opened. A request may also end unsent for its caller's reasons, or with a connection
// that was open before; neither says that the upstream is gone.
var ErrUnreachable = eris.New("dial upstream")

// notSent returns the failure of a request that ended before it was written.
func notSent(err error) *verdict.Error {
	return verdict.New(verdict.UpstreamDialFailed, err)
}

// popIdle returns the idle connection used last that is still good, or nil,
// and closes those that are not.
func (t *Transport) popIdle() *conn {
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if time.Since(c.idleSince) < t.maxIdle(c) && c.usable() {
			return c
		}
		t.closeLocked(c)
	}
	return nil
}

// maxIdle returns how long a connection may be idle.
func (t *Transport) maxIdle(c *conn) time.Duration {
	idle := cmp.Or(t.IdleTimeout, defaultIdleTimeout)
	if c.keepAlive > 0 {
		idle = min(idle, time.Duration(keepAliveShare*float64(c.keepAlive)))
	}
	return idle
}

// dial opens a connection that is already counted.
func (t *Transport) dial(ctx context.Context) (*conn, error) {
	dial := t.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, t.Addr)
	if err != nil {
		t.mu.Lock()
		t.open--
		t.signalWaiters()
		t.mu.Unlock()
		return nil, notSent(fmt.Errorf("%w: %w", ErrUnreachable, err))
	}
	c := &conn{Conn: raw}
	c.reader = bufio.NewReader(c)
	c.writer = bufio.NewWriter(countingWriter{c})
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy == nil {
		t.busy = make(map[*conn]struct{})
	}
	t.busy[c] = struct{}{}
	return c, nil
}

// Reach opens a connection and closes it again. An error says why there is none.
func (t *Transport) CheckReachable(ctx context.Context) error {
	dial := t.Dial
	if dial == nil {
		dial = dialTCP
	}
	c, err := dial(ctx, t.Addr)
	if err != nil {
		return eris.Wrap(err, "dial upstream")
	}
	return c.Close()
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return tcp.Dialer(defaultDialTimeout, ackTimeout).DialContext(ctx, "tcp", addr)
}

// put takes a connection back whose answer has been read to its end.
func (t *Transport) putConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle) >= t.MaxIdleConns || t.overLimit() || c.reader.Buffered() > 0 {
		t.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	delete(t.busy, c)
	t.idle = append(t.idle, c)
	t.signalWaiters()
}

// discard closes a connection.
func (t *Transport) discard(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeLocked(c)
}

func (t *Transport) closeLocked(c *conn) {
	_ = c.Close()
	delete(t.busy, c)
	t.open--
	t.signalWaiters()
}

func (t *Transport) signalWaiters() {
	if t.available != nil {
		close(t.available)
		t.available = nil
	}
}

// surplus returns whether more connections are open than may be. The lock is held.
func (t *Transport) overLimit() bool { return t.MaxConns > 0 && t.open > t.MaxConns }

// Resize changes the largest numbers of open and of idle connections. A connection with a
// request on it stays open until that has ended.
func (t *Transport) Resize(connections, warm int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.MaxConns = connections
	t.MaxIdleConns = warm
	for len(t.idle) > 0 && (len(t.idle) > warm || t.overLimit()) {
		c := t.idle[0]
		t.idle = t.idle[1:]
		t.closeLocked(c)
	}
	t.signalWaiters()
}

const (
	// probeEvery is the time between two questions to the kernel of an upstream that may be
	// gone, and probeCount how many of them in a row may be without an answer.
	probeInterval = time.Second
	probeCount    = 3
)

// Probe has the kernel find out whether the other end of each connection with a request on it
// is still there. Those of an upstream that is gone end.
func (t *Transport) ProbeBusyConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.busy {
		_ = tcp.Probe(c.Conn, probeInterval, probeCount) // it fails on a connection that has ended only
	}
}

// CloseIdle closes the idle connections.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		t.closeLocked(c)
	}
	t.idle = nil
}

// Open returns the number of open connections.
func (t *Transport) OpenConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// body is the body of an answer. Its connection goes back to the transport at
// its end, or is closed if it is left early.
type body struct {
	io.ReadCloser
	transport *Transport
	conn      *conn
	stop      func() bool
	written   chan error
	reusable  bool
	finished  bool
}

// Read implements io.Reader. A body that is cut ends in a *verdict.Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	b.finish(err == io.EOF)
	if err == io.EOF {
		return n, io.EOF
	}
	return n, verdict.New(verdict.AnswerTruncated, err)
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

// finish gives the connection back once. Whole says that the answer was read
// to its end.
func (b *body) finish(whole bool) {
	if b.finished {
		return
	}
	b.finished = true
	if alive := b.stop(); !whole || !alive || !b.reusable {
		b.transport.discard(b.conn)
		return
	}
	select {
	case err := <-b.written:
		b.release(err)
	default:
		go b.releaseWritten()
	}
}

// writtenWithin is how long a connection whose answer has been read stays open for the end of its
// request, which another goroutine writes.
const requestWriteTimeout = 10 * time.Millisecond

// releaseWritten gives the connection back once the whole request has been written, if that is
// soon.
func (b *body) releaseWritten() {
	late := time.AfterFunc(requestWriteTimeout, b.conn.abort)
	err := <-b.written
	if !late.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	b.release(err)
}

// release gives the connection back whose request has been written, or closes it if that failed.
func (b *body) release(err error) {
	if err != nil {
		b.transport.discard(b.conn)
		return
	}
	b.transport.putConn(b.conn)
}

// unlimited lifts the bound on what is read from a connection.
const unlimited = math.MaxInt64
