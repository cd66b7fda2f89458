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

// mode is how a proxy treats what passes through it.
type mode int

const (
	modeOpen    mode = iota
	modeDelayed      // each piece waits
	modeSilent       // nothing passes, nothing ends
	modeOneWay       // nothing passes towards the caller
	modeReset        // connections are reset, and new ones too
)

// pieceDelay is the wait of each piece in the mode delayed.
const pieceDelay = 30 * time.Millisecond

const (
	// window is how much a connection may have in the queue of a link with a rate.
	windowBytes = 32 << 10
	// repetition is how long a connection waits for a packet that was lost.
	retransmitDelay = 200 * time.Millisecond
)

// proxy passes connections on to an address, with faults.
type proxy struct {
	target   string
	listener net.Listener
	// rate is in bytes a second in each direction, for all connections together; 0 means no bound.
	rate              float64
	forward, backward linkQueue

	acceptErr atomic.Pointer[error] // why it takes no more connections

	mu            sync.Mutex
	mode          mode
	pendingLosses int // how many pieces are to wait for a repetition
	changed       chan struct{}
	conns         map[net.Conn]bool
}

// newProxy starts a proxy on a free port, with a rate in bytes a second, or 0 for no bound.
func newProxy(to string, rate float64) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		target:   to,
		listener: l,
		rate:     rate,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]bool),
	}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes the mode. Reset ends the connections that are open.
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

// lose has the connection wait that passes something on next, as if a packet of it was lost.
func (p *proxy) losePacket() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingLosses++
}

// lost returns whether the next piece is to wait for a repetition.
func (p *proxy) takeLoss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingLosses == 0 {
		return false
	}
	p.pendingLosses--
	return true
}

// lane is one direction of a link, which sends what is queued there in the order of its arrival.
type linkQueue struct {
	mu     sync.Mutex
	idleAt time.Time // when all that is queued has been sent
}

// send waits until the given number of bytes has been sent at a rate in bytes a second.
func (l *linkQueue) send(bytes int, rate float64) {
	l.mu.Lock()
	if now := time.Now(); l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	free := l.idleAt
	l.mu.Unlock()
	time.Sleep(time.Until(free))
}

// abort ends a connection with a reset.
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

// serve passes one connection on.
func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	p.mu.Lock()
	refuse := p.mode == modeReset
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
	directions.Go(func() { p.copy(server, client, false) })
	directions.Go(func() { p.copy(client, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy passes pieces on as the mode allows.
func (p *proxy) copy(to, from net.Conn, backward bool) {
	defer to.Close()
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

// gate waits until a piece may pass.
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
