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

// endpoint is one end of a connection. It implements net.Conn. The network's lock guards it.
type endpoint struct {
	host   *Host
	remote *endpoint
	wake   *sync.Cond
	out    stream // data sent by this endpoint

	received      []byte // received by the kernel and not read yet
	endReceived   bool   // whether the end of the stream has been received
	failure       error
	closed        bool
	silenced      bool // whether all packets of the connection are lost
	readDeadline  time.Time
	writeDeadline time.Time
}

// stream is the data that one endpoint sends to the other.
type stream struct {
	unsent          []byte        // data written and not sent yet
	inFlight        int           // bytes sent and not acknowledged
	lastProgress    time.Time     // when data was last acknowledged, or written to an empty stream
	checkScheduled  bool          // whether a check of the timeout is scheduled
	retransmitDelay time.Duration // time until the next packet, which is lost, is retransmitted, or 0
	delayed         []func()      // deliver the packets that follow a lost one
	retransmitting  bool
	endPending      bool // whether the end is sent once there is no unsent data
}

// connect creates the two endpoints of a connection.
func (h *Host) connect(to *Host) (near, far *endpoint) {
	near = &endpoint{host: h, wake: sync.NewCond(&h.network.mu)}
	far = &endpoint{host: to, wake: sync.NewCond(&h.network.mu)}
	near.remote, far.remote = far, near
	return near, far
}

// Read implements net.Conn.
func (e *endpoint) Read(p []byte) (int, error) {
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
			e.remote.send() // the window has room for more
			return n, nil
		case e.failure != nil:
			return 0, e.wrap("read", e.failure)
		case e.endReceived:
			return 0, io.EOF
		case deadlinePassed(e.readDeadline):
			return 0, e.wrap("read", os.ErrDeadlineExceeded)
		}
		e.wake.Wait()
	}
}

// Write implements net.Conn.
func (e *endpoint) Write(p []byte) (int, error) {
	e.host.network.mu.Lock()
	defer e.host.network.mu.Unlock()
	written := 0
	for {
		room := len(p) - written
		if buffer := e.host.network.SendBufferBytes; buffer > 0 {
			room = min(room, buffer-len(e.out.unsent)-e.out.inFlight)
		}
		switch {
		case e.closed:
			return written, e.wrap("write", net.ErrClosed)
		case e.failure != nil:
			return written, e.wrap("write", e.failure)
		case written == len(p):
			return written, nil
		case deadlinePassed(e.writeDeadline):
			return written, e.wrap("write", os.ErrDeadlineExceeded)
		case room > 0:
			if len(e.out.unsent)+e.out.inFlight == 0 {
				e.out.lastProgress = time.Now()
			}
			e.out.unsent = append(e.out.unsent, p[written:written+room]...)
			written += room
			e.send()
			e.checkTimeout()
			continue
		}
		e.wake.Wait()
	}
}

// send sends as much unsent data as the window allows. The lock is held.
func (e *endpoint) send() {
	n := e.host.network
	for len(e.out.unsent) > 0 && e.failure == nil && !e.isSuspended() {
		size := min(packetBytes, len(e.out.unsent), n.WindowBytes-e.out.inFlight-len(e.remote.received))
		if size <= 0 {
			return
		}
		data := e.out.unsent[:size:size]
		e.out.unsent = e.out.unsent[size:]
		e.out.inFlight += size
		n.transmit(e.host, e.remote.host, size, func() { e.deliver(func() { e.remote.receive(data) }) })
	}
	if len(e.out.unsent) == 0 && e.out.endPending && !e.isSuspended() {
		e.out.endPending = false
		n.transmit(e.host, e.remote.host, 0, func() { e.deliver(e.remote.receiveEnd) })
	}
}

// deliver delivers a packet of the stream in order: packets behind a lost one wait for its
// retransmission.
func (e *endpoint) deliver(receive func()) {
	if e.silenced {
		return
	}
	if wait := e.out.retransmitDelay; wait > 0 {
		e.out.retransmitDelay = 0
		e.out.retransmitting = true
		e.host.network.schedule(wait, func() {
			e.out.retransmitting = false
			delayed := e.out.delayed
			e.out.delayed = nil
			for _, f := range delayed {
				f()
			}
		})
	}
	if e.out.retransmitting {
		e.out.delayed = append(e.out.delayed, receive)
		return
	}
	receive()
}

// receive receives data in the receiver's kernel, which acknowledges it.
func (e *endpoint) receive(data []byte) {
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
	n.transmit(e.host, e.remote.host, 0, func() {
		if !e.silenced {
			e.remote.acknowledged(len(data))
		}
	})
}

// acknowledged records that n bytes have reached the other kernel.
func (e *endpoint) acknowledged(n int) {
	e.out.inFlight -= n
	e.out.lastProgress = time.Now()
	e.send()
	e.wake.Broadcast()
}

// receiveEnd records the end of the stream.
func (e *endpoint) receiveEnd() {
	e.endReceived = true
	e.wake.Broadcast()
}

// reset resets the connection at the other endpoint.
func (e *endpoint) reset() {
	other := e.remote
	e.host.network.transmit(e.host, other.host, 0, func() {
		if !e.silenced {
			other.fail(syscall.ECONNRESET)
		}
	})
}

// fail ends the connection at this endpoint. The first failure is kept.
func (e *endpoint) fail(err error) {
	if e.failure == nil {
		e.failure = err
		if !e.closed {
			e.host.failures = append(e.host.failures, ConnFailure{
				Peer: e.remote.host.name,
				At:   time.Now(),
				Err:  err,
			})
		}
	}
	e.wake.Broadcast()
}

// checkTimeout ends the connection once nothing has been acknowledged for too long.
func (e *endpoint) checkTimeout() {
	timeout := e.host.network.UserTimeout
	if timeout == 0 || e.out.checkScheduled {
		return
	}
	e.out.checkScheduled = true
	e.host.network.schedule(time.Until(e.out.lastProgress.Add(timeout)), func() {
		e.out.checkScheduled = false
		switch {
		case len(e.out.unsent)+e.out.inFlight == 0 || e.failure != nil:
		case time.Since(e.out.lastProgress) >= timeout:
			e.fail(syscall.ETIMEDOUT)
		default:
			e.checkTimeout()
		}
	})
}

// Close implements net.Conn. Data that has been written is still sent.
func (e *endpoint) Close() error {
	e.host.network.mu.Lock()
	defer e.host.network.mu.Unlock()
	if e.closed {
		return e.wrap("close", net.ErrClosed)
	}
	e.closed = true
	if e.failure == nil {
		e.out.endPending = true
		e.send()
	}
	e.wake.Broadcast()
	return nil
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return address(e.host.name) }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return address(e.remote.host.name) }

// SetDeadline implements net.Conn.
func (e *endpoint) SetDeadline(t time.Time) error {
	_ = e.SetReadDeadline(t)
	return e.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (e *endpoint) SetReadDeadline(t time.Time) error { return e.setDeadline(&e.readDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (e *endpoint) SetWriteDeadline(t time.Time) error { return e.setDeadline(&e.writeDeadline, t) }

func (e *endpoint) setDeadline(deadline *time.Time, t time.Time) error {
	e.host.network.mu.Lock()
	defer e.host.network.mu.Unlock()
	*deadline = t
	if !t.IsZero() {
		e.host.network.schedule(time.Until(t), e.wake.Broadcast)
	}
	e.wake.Broadcast()
	return nil
}

func (e *endpoint) isSuspended() bool { return time.Now().Before(e.host.suspendedUntil) }

func (e *endpoint) wrap(op string, err error) error {
	return &net.OpError{
		Op:   op,
		Net:  "tcp",
		Addr: e.RemoteAddr(),
		Err:  err,
	}
}

// deadlinePassed returns whether a deadline has passed.
func deadlinePassed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
