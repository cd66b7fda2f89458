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

// Counters counts the traffic of connections. They may be shared.
type Counters struct {
	BytesIn, BytesOut   atomic.Uint64
	FramesIn, FramesOut atomic.Uint64
	// Requested, if not nil, is called with each control request by its topic, with the bytes
	// of its payload and of the reply's. It is set before the first request.
	OnRequest func(topic string, sent, received int)
}

// requested notes a control request.
func (c *Counters) recordRequest(topic string, sent, received int) {
	if c != nil && c.OnRequest != nil {
		c.OnRequest(topic, sent, received)
	}
}

// conn is one connection, from either side: it frames, counts and keeps the
// bounds. One goroutine reads; any may write.
type conn struct {
	net.Conn
	limits       Limits
	counters     *Counters
	reader       *bufio.Reader
	lastReceived atomic.Int64  // time of the last bytes, in ns since the epoch of base
	writtenSince atomic.Uint64 // bytes written since then

	writeLock chan struct{} // has a value while frames are written

	closeOnce sync.Once
	closed    chan struct{}
	reason    error // set before closed is closed
}

var timeBase = time.Now()

const readBufferBytes = 16 << 10

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

// hear notes that the peer gave a sign of life.
func (c *conn) markReceived() {
	c.lastReceived.Store(int64(time.Since(timeBase)))
	c.writtenSince.Store(0)
}

// heeding reads from a connection and takes each piece that arrives for a sign of
// life, so that a frame that takes long on a slow link does not look like silence.
type activityReader struct {
	conn *conn
}

// Read implements io.Reader.
func (h *activityReader) Read(p []byte) (int, error) {
	n, err := h.conn.Conn.Read(p)
	if n > 0 {
		h.conn.markReceived()
	}
	return n, err
}

// shut closes the connection. The first reason given is kept.
func (c *conn) closeWith(reason error) {
	c.closeOnce.Do(func() {
		c.reason = reason
		close(c.closed)
		_ = c.Close()
	})
}

// why returns the reason of the closing. The connection is closed.
func (c *conn) closeReason() error {
	<-c.closed
	return c.reason
}

// ended returns the error for what comes after the closing. The reason is
// shared between goroutines, and eris.Wrap changes what it wraps.
func (c *conn) closedError() error {
	return fmt.Errorf("connection closed: %w", c.closeReason())
}

// read returns the next frame.
func (c *conn) read() (Kind, []byte, error) {
	k, payload, err := readFrame(c.reader, c.limits.MaxFrameBytes)
	if err != nil {
		return 0, nil, err
	}
	c.counters.FramesIn.Add(1)
	c.counters.BytesIn.Add(uint64(len(payload) + 1 + lengthSize))
	return k, payload, nil
}

// silence returns the time since the last bytes arrived.
func (c *conn) silence() time.Duration {
	return time.Since(timeBase) - time.Duration(c.lastReceived.Load())
}

// gone returns whether the peer has closed the connection, as far as the kernel
// knows, although the reading goroutine has not come to it. What the peer has
// sent stays to be read.
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

// frame is a message to be written.
type frame struct {
	kind    Kind
	message any
}

// write hands frames to the kernel in one call, unless ctx ends before its turn comes. If it
// returns an error, the last of them was not wholly handed over, so the receiver can't have it.
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

// encode returns a buffer with the frames, which goes back to buffers in any case.
func (c *conn) encode(frames ...frame) (*bytes.Buffer, error) {
	b := bufferPool.Get().(*bytes.Buffer)
	b.Reset()
	for _, f := range frames {
		if err := appendFrame(b, f.kind, f.message); err != nil {
			return b, err
		}
	}
	if b.Len() > c.limits.MaxFrameBytes {
		return b, eris.Errorf("frame of %d bytes is over the limit", b.Len())
	}
	return b, nil
}

// turn waits for the turn to write, which put ends.
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

// put hands a number of frames to the kernel, which is this goroutine's turn.
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

// greet exchanges Hellos. The side that dialled speaks first.
func (c *conn) handshake(own Hello, first bool) (*Hello, error) {
	own.Version = Version
	_ = c.SetReadDeadline(time.Now().Add(c.limits.HandshakeTimeout))
	if first {
		if err := c.send(KindHello, &own); err != nil {
			return nil, err
		}
	}
	k, payload, err := c.read()
	if err != nil {
		return nil, err
	}
	if k != KindHello {
		return nil, eris.Wrapf(ErrProtocol, "kind %d in place of a hello", k)
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
