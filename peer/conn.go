// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Counters counts the traffic of connections. It may be shared between connections.
type Counters struct {
	BytesIn, BytesOut   atomic.Uint64
	FramesIn, FramesOut atomic.Uint64
	// OnRequest, if not nil, is called for each control request with its topic and with the
	// sizes in bytes of its payload and of the reply's. It is set before the first request.
	OnRequest func(topic string, sent, received int)
}

// recordRequest records a control request.
func (c *Counters) recordRequest(topic string, sent, received int) {
	if c != nil && c.OnRequest != nil {
		c.OnRequest(topic, sent, received)
	}
}

// conn is one connection, on either side. It frames messages, counts traffic and enforces the
// limits. One goroutine reads; any goroutine may write.
type conn struct {
	net.Conn
	limits       Limits
	counters     *Counters
	reader       *bufio.Reader
	lastReceived atomic.Int64   // time of the last bytes received, in ns since timeBase
	writtenSince atomic.Uint64  // bytes written since then
	received     *atomic.Uint64 // counts the bytes received, those of incomplete frames included; or nil

	writeLock chan struct{} // holds a value while frames are written

	closeOnce sync.Once
	closed    chan struct{}
	reason    error // set before closed is closed
}

// timeBase is the origin of conn.lastReceived.
var timeBase = time.Now()

const (
	readBufferBytes = 16 << 10
	// maxHelloBytes is the size of the largest first frame. Room for a larger one is made only for a
	// process that speaks the protocol.
	maxHelloBytes = 4 << 10
)

func newConn(c net.Conn, l Limits, counters *Counters) *conn {
	if counters == nil {
		counters = new(Counters)
	}
	n := &conn{
		Conn:      c,
		limits:    l,
		counters:  counters,
		closed:    make(chan struct{}),
		writeLock: make(chan struct{}, 1),
	}
	n.reader = bufio.NewReaderSize(&activityReader{conn: n}, readBufferBytes)
	n.markReceived()
	return n
}

// markReceived records that bytes have been received from the peer.
func (c *conn) markReceived() {
	c.lastReceived.Store(int64(time.Since(timeBase)))
	c.writtenSince.Store(0)
}

// activityReader reads from a connection and records every chunk as activity, so that a frame
// that takes long on a slow link is not mistaken for silence.
type activityReader struct {
	conn *conn
}

// Read implements io.Reader.
func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	if n > 0 {
		if r.conn.received != nil {
			r.conn.received.Add(uint64(n))
		}
		r.conn.markReceived()
	}
	return n, err
}

// closeWith closes the connection. The first reason given is kept.
func (c *conn) closeWith(reason error) {
	c.closeOnce.Do(func() {
		c.reason = reason
		close(c.closed)
		_ = c.Close()
	})
}

// closeReason waits until the connection is closed and returns the reason.
func (c *conn) closeReason() error {
	<-c.closed
	return c.reason
}

// closedError returns the error of operations on the closed connection. It is not made by
// eris.Wrap, which changes the error that it wraps: the reason is shared between goroutines.
func (c *conn) closedError() error {
	return fmt.Errorf("connection closed: %w", c.closeReason())
}

// read returns the next frame.
func (c *conn) read() (Kind, []byte, error) { return c.readWithin(c.limits.MaxFrameBytes) }

// readWithin returns the next frame, which may have the given number of bytes.
func (c *conn) readWithin(maxBytes int) (Kind, []byte, error) {
	k, payload, err := readFrame(c.reader, maxBytes)
	if err != nil {
		return 0, nil, err
	}
	c.counters.FramesIn.Add(1)
	c.counters.BytesIn.Add(uint64(len(payload) + 1 + lengthSize))
	return k, payload, nil
}

// silence returns the time since the last bytes were received.
func (c *conn) silence() time.Duration {
	return time.Since(timeBase) - time.Duration(c.lastReceived.Load())
}

// closedByPeer returns whether the peer has closed the connection according to the kernel,
// even if the reading goroutine has not noticed it yet. It leaves received data unread.
func (c *conn) closedByPeer() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	// Control does not wait for the read in progress, as Read would.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	closed := n == 0 && peekErr == nil
	reset := peekErr != nil && peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
	return err != nil || closed || reset
}

// errFrameTooLarge is the root of the errors of frames over MaxFrameBytes, which are not written.
var errFrameTooLarge = errors.New("frame is over the limit")

// frame is a message to be written.
type frame struct {
	kind    Kind
	message any
}

// write writes frames to the socket in one call, unless ctx ends before it gets the write
// lock. If it returns an error, the last frame was not written completely, so the receiver
// can't have it.
func (c *conn) write(ctx context.Context, frames ...frame) error {
	b, err := c.encode(frames...)
	defer bufferPool.Put(b)
	if err == nil {
		err = c.lockWrite(ctx)
	}
	if err != nil {
		return err
	}
	return c.writeAndUnlock(b, len(frames))
}

// encode returns a buffer with the frames. The caller returns it to bufferPool in any case.
func (c *conn) encode(frames ...frame) (*bytes.Buffer, error) {
	b := bufferPool.Get().(*bytes.Buffer)
	b.Reset()
	for _, f := range frames {
		if err := appendFrame(b, f.kind, f.message); err != nil {
			return b, err
		}
	}
	if b.Len() > c.limits.MaxFrameBytes {
		return b, fmt.Errorf("%w: %d bytes", errFrameTooLarge, b.Len())
	}
	return b, nil
}

// lockWrite acquires the write lock, which writeAndUnlock releases.
func (c *conn) lockWrite(ctx context.Context) error {
	select {
	case c.writeLock <- struct{}{}:
	case <-c.closed:
		return c.closedError()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if c.isClosed() {
		<-c.writeLock
		return c.closedError()
	}
	return nil
}

// writeAndUnlock writes encoded frames to the socket. The caller holds the write lock.
func (c *conn) writeAndUnlock(b *bytes.Buffer, frames int) error {
	defer func() { <-c.writeLock }()
	for left := b.Bytes(); ; {
		_ = c.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
		n, err := c.Write(left)
		if err == nil {
			break
		}
		left = left[n:]
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isClosed() || !c.peerAcknowledges() {
			c.closeWith(eris.Wrap(err, "write"))
			return err
		}
	}
	c.writtenSince.Add(uint64(b.Len()))
	c.counters.FramesOut.Add(uint64(frames))
	c.counters.BytesOut.Add(uint64(b.Len()))
	return nil
}

// isClosed returns whether the connection has been closed.
func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// send writes one frame.
func (c *conn) send(k Kind, message any) error {
	return c.write(context.Background(), frame{
		kind:    k,
		message: message,
	})
}

// handshake exchanges Hellos. The side that dialled sends first.
func (c *conn) handshake(own Hello, first bool) (*Hello, error) {
	own.Version = Version
	_ = c.SetReadDeadline(time.Now().Add(c.limits.HandshakeTimeout))
	if first {
		if err := c.send(KindHello, &own); err != nil {
			return nil, err
		}
	}
	k, payload, err := c.readWithin(maxHelloBytes)
	if err != nil {
		return nil, err
	}
	if k != KindHello {
		return nil, eris.Wrapf(ErrProtocol, "kind %d instead of a hello", k)
	}
	other, err := decode[Hello](payload)
	if err != nil {
		return nil, err
	}
	if other.Version != Version {
		return nil, eris.Wrapf(ErrProtocol, "version %d, not %d", other.Version, Version)
	}
	if !first {
		if err := c.send(KindHello, &own); err != nil {
			return nil, err
		}
	}
	return other, c.SetReadDeadline(time.Time{})
}

// checkFields returns an error if there are too many fields.
func (c *conn) checkFields(f []Field) error {
	if len(f) > c.limits.MaxFields {
		return eris.Wrapf(ErrProtocol, "%d fields", len(f))
	}
	return nil
}
