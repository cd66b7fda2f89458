// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package simnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// end is one end of a connection. It implements net.Conn. The network's lock guards it.
type end struct {
	host  *Host
	other *end
	wake  *sync.Cond
	out   stream // what this end sends

	received   []byte // by the kernel, and not read yet
	finished   bool   // whether all has been received
	failure    error
	closed     bool
	readUntil  time.Time
	writeUntil time.Time
}

// stream is what one end sends to the other.
type stream struct {
	buffered []byte        // written, and not sent yet
	flight   int           // sent, and not acknowledged, in bytes
	progress time.Time     // when it was last acknowledged, or became not empty
	watching bool          // whether the timeout is being watched
	lost     time.Duration // how long the next packet takes to be repeated, or 0
	held     []func()      // what has come behind a lost packet
	holding  bool
	ended    bool // whether its end is sent once the buffer is empty
}

// connect makes the two ends of a connection.
func (h *Host) connect(to *Host) (near, far *end) {
	near = &end{host: h, wake: sync.NewCond(&h.network.mu)}
	far = &end{host: to, wake: sync.NewCond(&h.network.mu)}
	near.other, far.other = far, near
	return near, far
}

// Read implements net.Conn.
func (e *end) Read(p []byte) (int, error) {
	e.host.network.mu.Lock()
	defer e.host.network.mu.Unlock()
	for {
		switch {
		case e.closed:
			return 0, e.wrap("read", net.ErrClosed)
		case e.isSuspended():
		case len(e.received) > 0:
			n := copy(p, e.received)
			e.received = e.received[n:]
			e.other.send() // there is room for more
			return n, nil
		case e.failure != nil:
			return 0, e.wrap("read", e.failure)
		case e.finished:
			return 0, io.EOF
		case passed(e.readUntil):
			return 0, e.wrap("read", os.ErrDeadlineExceeded)
		}
		e.wake.Wait()
	}
}

// Write implements net.Conn.
func (e *end) Write(p []byte) (int, error) {
	e.host.network.mu.Lock()
	defer e.host.network.mu.Unlock()
	written := 0
	for {
		room := len(p) - written
		if buffer := e.host.network.SendBufferBytes; buffer > 0 {
			room = min(room, buffer-len(e.out.buffered)-e.out.flight)
		}
		switch {
		case e.closed:
			return written, e.wrap("write", net.ErrClosed)
		case e.failure != nil:
			return written, e.wrap("write", e.failure)
		case written == len(p):
			return written, nil
		case passed(e.writeUntil):
			return written, e.wrap("write", os.ErrDeadlineExceeded)
		case room > 0:
			if len(e.out.buffered)+e.out.flight == 0 {
				e.out.progress = time.Now()
			}
			e.out.buffered = append(e.out.buffered, p[written:written+room]...)
			written += room
			e.send()
			e.watch()
			continue
		}
		e.wake.Wait()
	}
}

// send has the kernel send what it may of what is buffered. The lock is held.
func (e *end) send() {
	n := e.host.network
	for len(e.out.buffered) > 0 && e.failure == nil && !e.isSuspended() {
		size := min(packetSize, len(e.out.buffered), n.WindowBytes-e.out.flight-len(e.other.received))
		if size <= 0 {
			return
		}
		data := e.out.buffered[:size:size]
		e.out.buffered = e.out.buffered[size:]
		e.out.flight += size
		n.carry(e.host, e.other.host, size, func() { e.arrive(func() { e.other.receive(data) }) })
	}
	if len(e.out.buffered) == 0 && e.out.ended && !e.isSuspended() {
		e.out.ended = false
		n.carry(e.host, e.other.host, 0, func() { e.arrive(e.other.finish) })
	}
}

// arrive takes a packet of the stream in order, behind one that is lost.
func (e *end) arrive(take func()) {
	if wait := e.out.lost; wait > 0 {
		e.out.lost = 0
		e.out.holding = true
		e.host.network.after(wait, func() {
			e.out.holding = false
			held := e.out.held
			e.out.held = nil
			for _, f := range held {
				f()
			}
		})
	}
	if e.out.holding {
		e.out.held = append(e.out.held, take)
		return
	}
	take()
}

// receive takes in data at the receiver's kernel, which acknowledges it.
func (e *end) receive(data []byte) {
	switch {
	case e.failure != nil && !e.closed:
		return
	case e.closed:
		e.reset()
		return
	}
	e.received = append(e.received, data...)
	e.wake.Broadcast()
	n := e.host.network
	n.carry(e.host, e.other.host, 0, func() { e.other.acknowledged(len(data)) })
}

// acknowledged takes in that n bytes have reached the other kernel.
func (e *end) acknowledged(n int) {
	e.out.flight -= n
	e.out.progress = time.Now()
	e.send()
	e.wake.Broadcast()
}

// finish takes in the end of the stream.
func (e *end) finish() {
	e.finished = true
	e.wake.Broadcast()
}

// reset tells the other end that the connection is gone.
func (e *end) reset() {
	other := e.other
	e.host.network.carry(e.host, other.host, 0, func() { other.fail(syscall.ECONNRESET) })
}

// fail ends the connection at this end. The first failure is kept.
func (e *end) fail(err error) {
	if e.failure == nil {
		e.failure = err
		if !e.closed {
			e.host.breaks = append(e.host.breaks, ConnFailure{
				Peer: e.other.host.name,
				At:   time.Now(),
				Err:  err,
			})
		}
	}
	e.wake.Broadcast()
}

// watch ends the connection once nothing has been acknowledged for too long.
func (e *end) watch() {
	timeout := e.host.network.UserTimeout
	if timeout == 0 || e.out.watching {
		return
	}
	e.out.watching = true
	e.host.network.after(time.Until(e.out.progress.Add(timeout)), func() {
		e.out.watching = false
		switch {
		case len(e.out.buffered)+e.out.flight == 0 || e.failure != nil:
		case time.Since(e.out.progress) >= timeout:
			e.fail(syscall.ETIMEDOUT)
		default:
			e.watch()
		}
	})
}

// Close implements net.Conn. What has been written is still sent.
func (e *end) Close() error {
	e.host.network.mu.Lock()
	defer e.host.network.mu.Unlock()
	if e.closed {
		return e.wrap("close", net.ErrClosed)
	}
	e.closed = true
	if e.failure == nil {
		e.out.ended = true
		e.send()
	}
	e.wake.Broadcast()
	return nil
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return address(e.host.name) }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return address(e.other.host.name) }

// SetDeadline implements net.Conn.
func (e *end) SetDeadline(t time.Time) error {
	_ = e.SetReadDeadline(t)
	return e.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(t time.Time) error { return e.setUntil(&e.readUntil, t) }

// SetWriteDeadline implements net.Conn.
func (e *end) SetWriteDeadline(t time.Time) error { return e.setUntil(&e.writeUntil, t) }

func (e *end) setUntil(until *time.Time, t time.Time) error {
	e.host.network.mu.Lock()
	defer e.host.network.mu.Unlock()
	*until = t
	if !t.IsZero() {
		e.host.network.after(time.Until(t), e.wake.Broadcast)
	}
	e.wake.Broadcast()
	return nil
}

func (e *end) isSuspended() bool { return time.Now().Before(e.host.suspended) }

func (e *end) wrap(op string, err error) error {
	return &net.OpError{
		Op:   op,
		Net:  "tcp",
		Addr: e.RemoteAddr(),
		Err:  err,
	}
}

// passed returns whether a deadline has passed.
func passed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
