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
	// maxHeadBytes bounds the head of a response, in bytes.
	maxHeadBytes = 64 << 10
	// maxForwardedInfoBytes bounds the informational responses that are passed on for one request, in
	// bytes.
	maxForwardedInfoBytes = 64 << 10
	// maxInfoBytes is the number of bytes of informational responses after which a request
	// fails because a final response is not expected any more.
	maxInfoBytes = 1 << 20
	// defaultDialTimeout bounds the time to open a connection.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept. It is shorter than the five seconds
	// after which common servers close theirs.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveFraction is the fraction of the upstream's keep-alive timeout for which an idle
	// connection may be reused.
	keepAliveFraction = 0.9
	// idleCheckInterval is the time between two checks of the idle connections.
	idleCheckInterval = 250 * time.Millisecond
	// ackTimeout bounds the time for which sent data may stay unacknowledged by the upstream's
	// kernel. The upstream runs on the same instance, where a fraction of a millisecond is
	// usual, and callers wait at least 250 ms. The bound does not apply to requests above
	// promptAckBytes, which may stay unacknowledged until the upstream reads them.
	ackTimeout = 200 * time.Millisecond
)

// The header fields with which an upstream reports that it has not run a request. They are passed
// on to the caller.
const (
	// VerdictHeader carries the verdict. An upstream that responds with status 503 with the verdict notRun
	// has not run the request.
	VerdictHeader = "Sassafras-Verdict"
	// GivenUpHeader is "true" if all attempts are used up.
	GivenUpHeader = "Sassafras-Given-Up"
)

// Transport sends requests to one upstream. The exported fields are set before
// the first call; Resize changes two of them later.
type Transport struct {
	// Addr is the address of the upstream.
	Addr string
	// MaxConns is the largest number of open connections. Zero means unlimited.
	MaxConns int
	// MaxIdleConns is the largest number of idle connections that are kept.
	MaxIdleConns int
	// IdleTimeout is how long an idle connection is kept. Zero means 4 s.
	IdleTimeout time.Duration
	// Names are the header fields that the upstream uses.
	Names FieldNames
	// LoadReported, if not nil, is called with the load that a response carries.
	LoadReported func(Load)
	// NoticeReceived, if not nil, is called with the notice that a response carries, before the
	// response is returned.
	NoticeReceived func(Notice)
	// Permit, if not nil, is called just before a request is written. It returns the reason why
	// the request must not be written, or a function to call after it has been written.
	Permit func(ctx context.Context) (written func(), refused *verdict.Error)
	// Dial opens a connection. Nil means TCP, bounded by 1 s.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu        sync.Mutex
	open      int
	available chan struct{} // closed when a connection is closed or becomes idle
	idle      []*conn       // the most recently used last
	busy      map[*conn]struct{}
	idleCheck *time.Timer // calls closeUnusable, or nil while no connection is idle
}

// Send writes the request and returns the head of the response. The request's context cancels it:
// the connection is then closed. The function onInfo, if not nil, is called with each informational
// response. The caller must close the response's body.
func (t *Transport) Send(r *http.Request, onInfo func(status int, h http.Header)) (*http.Response, *verdict.Error) {
	c, err := t.getConn(r.Context())
	if err != nil {
		return nil, verdict.As(err, verdict.UpstreamDialFailed)
	}
	done := func() {}
	if t.Permit != nil {
		var refused *verdict.Error
		if done, refused = t.Permit(r.Context()); refused != nil {
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
	response, err := t.readResponse(c, r, onInfo)
	if err != nil {
		stop()
		c.recordUnacknowledged()
		t.discard(c)
		if errors.Is(err, syscall.ETIMEDOUT) {
			t.CloseIdle() // the cause of the timeout may affect these as well
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
		response:   response,
		transport:  t,
		conn:       c,
		stop:       stop,
		written:    written,
		reusable:   !response.Close && !r.Close && !c.responseSkipped,
	}
	return response, nil
}

// refusal returns the failure that a response represents, if any, such as that the upstream has not
// run the request.
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

// getConn returns a usable idle connection, or opens a new one. It blocks while MaxConns connections
// are open and none is idle.
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

// ErrUnreachable is wrapped by the failure of a request for which no connection to the upstream
// could be opened. A request may also fail unsent because its caller cancelled it or because an
// open connection broke; neither means that the upstream can't be reached.
var ErrUnreachable = eris.New("dial upstream")

// notSent returns the failure of a request that ended before it was written.
func notSent(err error) *verdict.Error {
	return verdict.New(verdict.UpstreamDialFailed, err)
}

// popIdle returns the most recently used idle connection that is still usable, or nil, and closes
// the unusable ones. The lock is held.
func (t *Transport) popIdle() *conn {
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if t.isUsable(c) {
			return c
		}
		t.closeLocked(c)
	}
	return nil
}

// isUsable returns whether an idle connection may carry another request.
func (t *Transport) isUsable(c *conn) bool {
	return time.Since(c.idleSince) < t.maxIdle(c) && hasNothingToRead(c.Conn)
}

// closeUnusable closes the idle connections that may not carry another request, and is called again while
// there are others. An upstream may go on to send bytes on a connection that nobody reads.
func (t *Transport) closeUnusable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := t.idle[:0]
	for _, c := range t.idle {
		if t.isUsable(c) {
			usable = append(usable, c)
		} else {
			t.closeLocked(c)
		}
	}
	clear(t.idle[len(usable):])
	t.idle = usable
	if len(usable) == 0 {
		t.idleCheck = nil
		return
	}
	t.idleCheck.Reset(idleCheckInterval)
}

// maxIdle returns how long a connection may stay idle.
func (t *Transport) maxIdle(c *conn) time.Duration {
	idle := cmp.Or(t.IdleTimeout, defaultIdleTimeout)
	if c.keepAlive > 0 {
		idle = min(idle, time.Duration(keepAliveFraction*float64(c.keepAlive)))
	}
	return idle
}

// dial opens a connection that is already included in t.open.
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
	c.heads.Reader = c
	c.reader = bufio.NewReader(&c.heads)
	c.writer = bufio.NewWriter(countingWriter{c})
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy == nil {
		t.busy = make(map[*conn]struct{})
	}
	t.busy[c] = struct{}{}
	return c, nil
}

// CheckReachable opens a connection and closes it again. The error says why that failed.
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

// putConn returns a connection to the pool after its response has been read completely.
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
	if t.idleCheck == nil {
		t.idleCheck = time.AfterFunc(idleCheckInterval, t.closeUnusable)
	}
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

// overLimit returns whether more than MaxConns connections are open. The lock is held.
func (t *Transport) overLimit() bool { return t.MaxConns > 0 && t.open > t.MaxConns }

// Resize changes the limits on open and on idle connections. A connection that carries a request
// stays open until the request has ended.
func (t *Transport) Resize(maxConns, maxIdleConns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.MaxConns = maxConns
	t.MaxIdleConns = maxIdleConns
	for len(t.idle) > 0 && (len(t.idle) > maxIdleConns || t.overLimit()) {
		c := t.idle[0]
		t.idle = t.idle[1:]
		t.closeLocked(c)
	}
	t.signalWaiters()
}

const (
	// probeInterval is the interval of the keep-alive probes that the kernel sends to an upstream
	// that may have crashed, and probeCount how many of them may be lost in a row.
	probeInterval = time.Second
	probeCount    = 3
)

// ProbeBusyConns enables TCP keep-alive probes on each connection that carries a request, so that
// the connections to an upstream that has crashed are closed.
func (t *Transport) ProbeBusyConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.busy {
		_ = tcp.EnableKeepAlive(c.Conn, probeInterval, probeCount) // fails only if the connection is closed
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

// OpenConns returns the number of open connections.
func (t *Transport) OpenConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// body is the body of a response. Its connection is returned to the pool after the body has been
// read, or closed if the body is closed before.
type body struct {
	io.ReadCloser
	response  *http.Response
	transport *Transport
	conn      *conn
	stop      func() bool
	written   chan error
	reusable  bool
	finished  bool
}

// Read implements io.Reader. A truncated body ends in a *verdict.Error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		err = b.checkEnd()
	}
	b.finish(err == nil)
	if err == nil {
		return n, io.EOF
	}
	return n, verdict.New(verdict.ResponseTruncated, err)
}

// checkEnd returns why a response that has been read to its end is not complete, or nil.
func (b *body) checkEnd() error {
	if r := b.response; r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return b.conn.checkOrderlyEnd()
	}
	return cleanTrailer(b.response.Trailer)
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

// finish releases the connection once. The argument is whether the response was read completely.
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

// requestWriteTimeout is how long a connection whose response has been read waits for the rest of its
// request to be written by another goroutine.
const requestWriteTimeout = 10 * time.Millisecond

// releaseWritten releases the connection after the whole request has been written. The connection
// is closed if that takes longer than requestWriteTimeout.
func (b *body) releaseWritten() {
	late := time.AfterFunc(requestWriteTimeout, b.conn.abort)
	err := <-b.written
	if !late.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	b.release(err)
}

// release returns the connection to the pool, or closes it if writing its request failed.
func (b *body) release(err error) {
	if err != nil {
		b.transport.discard(b.conn)
		return
	}
	b.transport.putConn(b.conn)
}

// unlimited disables the bound on what is read from a connection.
const unlimited = math.MaxInt64
