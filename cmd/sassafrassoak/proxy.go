// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats what passes through it.
type mode int

const (
	open    mode = iota
	delayed      // each piece waits
	silent       // nothing passes, nothing ends
	oneWay       // nothing passes towards the caller
	reset        // connections are reset, and new ones too
)

// pieceDelay is the wait of each piece in the mode delayed.
const pieceDelay = 30 * time.Millisecond

// proxy passes connections on to an address, with faults.
type proxy struct {
	to       string
	listener net.Listener

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// newProxy starts a proxy on a free port.
func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
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
	if m == reset {
		for c := range p.conns {
			abort(c)
		}
	}
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
	p.set(reset)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve passes one connection on.
func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		abort(near)
		return
	}
	p.mu.Lock()
	refuse := p.mode == reset
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	if refuse {
		abort(near)
		abort(far)
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, false) })
	both.Go(func() { p.copy(near, far, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// copy passes pieces on as the mode allows.
func (p *proxy) copy(to, from net.Conn, back bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.gate(back)
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
func (p *proxy) gate(back bool) {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == delayed:
			time.Sleep(pieceDelay)
			return
		case m == silent, m == oneWay && back:
			<-changed
		default:
			return
		}
	}
}
