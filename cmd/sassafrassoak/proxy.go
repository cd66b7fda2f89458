// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is how a proxy treats the traffic that passes through it.
type mode int

const (
	modeOpen    mode = iota
	modeDelayed      // each piece of data is delayed
	modeSilent       // no data passes, connections stay open
	modeOneWay       // no data passes towards the client
	modeReset        // open and new connections are reset
)

// pieceDelay is the delay of each piece of data in modeDelayed.
const pieceDelay = 30 * time.Millisecond

const (
	// windowBytes bounds the data of a connection in the queue of a link with a rate.
	windowBytes = 32 << 10
	// retransmitDelay is the delay that the loss of a packet causes.
	retransmitDelay = 200 * time.Millisecond
)

// proxy forwards TCP connections to an address and injects faults.
type proxy struct {
	target   string
	listener net.Listener
	// rate is the bandwidth in each direction in bytes per second, shared by all connections; 0
	// means no limit.
	rate              float64
	forward, backward linkQueue

	acceptErr atomic.Pointer[error] // why accepting connections failed

	mu            sync.Mutex
	mode          mode
	pendingLosses int // number of pieces still to be delayed by a retransmission
	changed       chan struct{}
	conns         map[net.Conn]bool
	silenced      chan struct{} // closed when the open connections become silent
}

// newProxy starts a proxy on a free port, with a rate in bytes per second, or 0 for no limit.
func newProxy(target string, rate float64) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		target:   target,
		listener: l,
		rate:     rate,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]bool),
		silenced: make(chan struct{}),
	}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes the mode. modeReset also resets the open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == modeReset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// silenceOpen loses all that is sent on the open connections from now on, their ends included. New connections work.
func (p *proxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// losePacket delays the next piece of data that is forwarded, as the loss of a packet would.
func (p *proxy) losePacket() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingLosses++
}

// takeLoss returns whether the next piece is to be delayed by a retransmission.
func (p *proxy) takeLoss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingLosses == 0 {
		return false
	}
	p.pendingLosses--
	return true
}

// linkQueue is one direction of a link, which sends data in the order of its arrival.
type linkQueue struct {
	mu     sync.Mutex
	idleAt time.Time // when all queued data has been sent
}

// send waits until the given number of bytes has been sent at a rate in bytes per second.
func (q *linkQueue) send(bytes int, rate float64) {
	q.mu.Lock()
	if now := time.Now(); q.idleAt.Before(now) {
		q.idleAt = now
	}
	q.idleAt = q.idleAt.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	idleAt := q.idleAt
	q.mu.Unlock()
	time.Sleep(time.Until(idleAt))
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(modeReset)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				p.acceptErr.Store(&err)
			}
			return
		}
		go p.serve(c)
	}
}

// serve forwards one connection.
func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	p.mu.Lock()
	refuse := p.mode == modeReset
	silenced := p.silenced
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	if refuse {
		abort(client)
		abort(server)
	}
	if p.rate > 0 {
		for _, c := range []net.Conn{client, server} {
			_ = c.(*net.TCPConn).SetReadBuffer(windowBytes)
			_ = c.(*net.TCPConn).SetWriteBuffer(windowBytes)
		}
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client, false, silenced) })
	directions.Go(func() { p.copy(client, server, true, silenced) })
	directions.Wait()
	_ = client.Close()
	_ = server.Close()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards data in one direction as the mode permits, until silenced is closed.
func (p *proxy) copy(to, from net.Conn, backward bool, silenced <-chan struct{}) {
	defer func() {
		select {
		case <-silenced: // the other end is not told
		default:
			_ = to.Close()
		}
	}()
	buffer := make([]byte, windowBytes)
	queue := &p.forward
	if backward {
		queue = &p.backward
	}
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if p.rate > 0 {
				queue.send(n, p.rate)
			}
			if p.takeLoss() {
				time.Sleep(retransmitDelay)
			}
			p.awaitPermission(backward)
			select {
			case <-silenced:
				_, _ = io.Copy(io.Discard, from)
				return
			default:
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				_, _ = io.Copy(io.Discard, from)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitPermission waits until the mode permits a piece of data to pass.
func (p *proxy) awaitPermission(backward bool) {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == modeDelayed:
			time.Sleep(pieceDelay)
			return
		case m == modeSilent, m == modeOneWay && backward:
			<-changed
		default:
			return
		}
	}
}
