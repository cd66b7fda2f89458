// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/internal/tcp"
	"sassafrasfront.example/verdict"
)

// Client sends calls or control requests to one peer over one connection, which it opens on
// demand. The exported fields are set before the first call. Its methods may be called from
// any goroutine.
type Client struct {
	// Addr is the peer's address, as an IP address and port.
	Addr string
	// Hello identifies this process to the peer.
	Hello Hello
	// Limits holds the limits of the connection.
	Limits Limits
	// Counters, if not nil, counts the traffic.
	Counters *Counters
	// OnReport, if not nil, is called with each load report that arrives. It
	// must not block.
	OnReport func(Report)
	// OnNotice, if not nil, is called with each notice of the peer's upstream, before the
	// response or failure that carries it is passed on. It is called with nil once a call
	// with a Notice is answered without one: the earlier notice no longer applies. It must
	// not block.
	OnNotice func(*Notice)
	// OnSilence, if not nil, is called when something is pending at the peer and nothing has been received for
	// the silence timeout, once until something is received again. It must not block.
	OnSilence func(*SilenceError)
	// Dial opens the connection. Nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu         sync.Mutex
	current    *link
	former     map[*link]struct{} // open connections that have been replaced
	dialing    chan struct{}      // closed when the dial in progress has ended
	cancelDial context.CancelFunc // cancels the dial in progress
	dialErr    error              // of the last dial
	stopped    bool
	silentRow  int // control connections in a row that were found silent

	received atomic.Uint64 // bytes received on all connections, those of incomplete frames included
}

// maxSilentRow bounds how often the silence timeout of control connections is doubled.
const maxSilentRow = 4

// connect returns the open connection, or opens one.
func (c *Client) connect(ctx context.Context) (*link, error) {
	for {
		c.mu.Lock()
		switch {
		case c.stopped:
			c.mu.Unlock()
			return nil, errClosed
		case c.current != nil && c.current.usable():
			l := c.current
			c.mu.Unlock()
			return l, nil
		case c.dialing == nil:
			if c.Hello.Control && c.current.alive() {
				c.silentRow = min(c.silentRow+1, maxSilentRow)
			}
			c.dialing = make(chan struct{})
			var dialing context.Context
			dialing, c.cancelDial = context.WithCancel(context.Background())
			go c.open(dialing, c.dialing)
		}
		wait := c.dialing
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		c.mu.Lock()
		err := c.dialErr
		c.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

// open dials and performs the handshake, and closes done at its end. It does not stop when
// the call that started it is cancelled, as others may wait for the connection too.
func (c *Client) open(ctx context.Context, done chan struct{}) {
	l, err := c.dial(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelDial()
	if c.stopped {
		if l != nil {
			l.closeWith(errClosed)
		}
		return // no goroutine waits any more
	}
	if l != nil || !c.current.alive() {
		c.replace(l)
	}
	c.dialErr = err
	c.dialing = nil
	close(done)
}

// replace makes l, which may be nil, the connection for new calls. The lock is held.
func (c *Client) replace(l *link) {
	old := c.current
	c.current = l
	if !old.alive() {
		return
	}
	if c.former == nil {
		c.former = make(map[*link]struct{})
	}
	c.former[old] = struct{}{}
	old.retire()
	go func() {
		<-old.closed
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.former, old)
	}()
}

// connLimits returns the limits of a new connection. The silence timeout of a control connection is twice that of the one
// that it replaces, since a peer that is slow is as silent as one that is not reached.
func (c *Client) connLimits() Limits {
	limits := c.Limits.withDefaults()
	c.mu.Lock()
	defer c.mu.Unlock()
	limits.SilenceTimeout = min(limits.SilenceTimeout<<c.silentRow, max(limits.SilenceTimeout, limits.SilenceLimit))
	return limits
}

// recordReplyTime records how long a peer took to reply to a control request.
func (c *Client) recordReplyTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d < c.Limits.withDefaults().SilenceTimeout {
		c.silentRow = 0
	}
}

func (c *Client) dial(ctx context.Context) (*link, error) {
	limits := c.connLimits()
	ctx, cancel := context.WithTimeout(ctx, limits.HandshakeTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return tcp.Dialer(limits.HandshakeTimeout, limits.AckTimeout).DialContext(ctx, "tcp", addr)
		}
	}
	raw, err := dial(ctx, c.Addr)
	if err != nil {
		return nil, err
	}
	n := newConn(raw, limits, c.Counters)
	n.received = &c.received
	// Closing ends all use of the connection; a deadline would be replaced by those of the handshake.
	stop := context.AfterFunc(ctx, func() { n.closeWith(context.Cause(ctx)) })
	other, err := n.handshake(c.Hello, true)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		n.closeWith(err)
		return nil, err
	}
	l := &link{
		conn:      n,
		peer:      *other,
		onReport:  c.OnReport,
		onNotice:  c.OnNotice,
		onSilence: c.OnSilence,
		control:   c.Hello.Control,
		exchanges: make(map[uint64]*Exchange),
		requests:  make(map[uint64]chan *Reply),
		idleSince: time.Now(),
		wakeup:    make(chan struct{}, 1),
		startLock: make(chan struct{}, 1),
	}
	go l.readLoop()
	go l.monitor()
	return l, nil
}

// errClosed is the reason for the end of the connections of a closed Client.
var errClosed = errors.New("client closed")

// Close closes all connections. Open calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	if c.current != nil {
		c.current.closeWith(errClosed)
	}
	for l := range c.former {
		l.closeWith(errClosed)
	}
}

// Retire makes the client accept no more calls. Its connections close once nothing is open
// on them.
func (c *Client) Retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	c.replace(nil)
}

// stop prevents new connections and releases the goroutines that wait for one. The lock is
// held.
func (c *Client) stop() {
	c.stopped = true
	if c.dialing != nil {
		c.dialErr = errClosed
		c.cancelDial()
		close(c.dialing)
		c.dialing = nil
	}
}

// PeerNode returns the name of the node at the other end of the connection for new calls, or an empty string if there is
// none.
func (c *Client) PeerNode() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return ""
	}
	return c.current.peer.Node
}

// ReceivedBytes returns the number of bytes received on all connections so far, those of incomplete frames included.
func (c *Client) ReceivedBytes() uint64 { return c.received.Load() }

// connectLive returns a connection that the peer is not known to have closed. A call written
// to a connection that the peer has closed would have to count as one that may have run.
func (c *Client) connectLive(ctx context.Context) (*link, error) {
	l, err := c.connect(ctx)
	if err != nil || !l.closedByPeer() {
		return l, err
	}
	l.closeWith(eris.New("closed by the peer"))
	return c.connect(ctx)
}

// Start sends a call and sets its ID. If the call streams, its body is read from body once
// the peer has admitted it. The exchange ends with ctx at the latest; the caller must call
// Close on it in any case. An error means that the call has not run. Start waits no longer
// than the call's Remaining time.
func (c *Client) Start(ctx context.Context, call *Call, body io.Reader) (*Exchange, *verdict.Error) {
	dialing, cancel := context.WithTimeout(ctx, call.Remaining)
	defer cancel()
	var x *Exchange
	err := errNoNewCalls
	for attempt := 0; attempt < 2 && errors.Is(err, errNoNewCalls); attempt++ { // an idle connection may be closed meanwhile
		l, dialErr := c.connectLive(dialing)
		switch {
		case dialErr == nil:
		case ctx.Err() != nil:
			return nil, verdict.New(verdict.NotWritten, dialErr) // this says nothing about the peer
		case dialing.Err() != nil:
			return nil, verdict.New(verdict.DeadlinePassed, dialErr)
		default:
			return nil, verdict.New(verdict.DialFailed, dialErr)
		}
		x, err = l.startCall(ctx, call)
	}
	if err != nil {
		return nil, verdict.New(verdict.NotWritten, err)
	}
	if call.Streams {
		go x.sendBody(body)
	}
	return x, nil
}
