// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"net"
	"sync"
)

// maxChunk is the largest number of bytes that a proxy passes on at once.
const maxChunk = 64 << 10

// network carries the connections between nodes through one proxy for each node, and can cut a node off. A cut is
// silent: bytes are held until it heals, and are lost if their sender loses power before.
type network struct {
	record *record

	mu      sync.Mutex
	changed *sync.Cond
	cut     string // name of the node that is cut off, or empty
	names   []string
	links   map[*proxied]struct{}
}

// proxied is a connection from one node to another.
type proxied struct {
	from, to string // names, of which the first may not be known yet
	ends     [2]net.Conn
	lost     bool // whether the bytes that are held are lost
}

// newNetwork returns a network without nodes.
func newNetwork(r *record) *network {
	w := &network{
		record: r,
		links:  make(map[*proxied]struct{}),
	}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// add starts the proxy of a node.
func (w *network) add(name, addr, target string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.names = append(w.names, name)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(name, c, target)
		}
	}()
	return nil
}

// carry carries one connection. Its first bytes have the name of the node that has opened it.
func (w *network) carry(to string, c net.Conn, target string) {
	defer c.Close()
	first := make([]byte, maxChunk)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	p := &proxied{
		from: w.nameIn(first[:n]),
		to:   to,
		ends: [2]net.Conn{c},
	}
	w.mu.Lock()
	w.links[p] = struct{}{}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.links, p)
		w.mu.Unlock()
	}()
	if !w.await(p) {
		return
	}
	d, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer d.Close()
	w.mu.Lock()
	p.ends[1] = d
	w.mu.Unlock()
	if _, err := d.Write(first[:n]); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { w.pump(p, d, c) })
	both.Go(func() { w.pump(p, c, d) })
	both.Wait()
}

// nameIn returns the name of the node that data contains, or "".
func (w *network) nameIn(data []byte) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range w.names {
		if bytes.Contains(data, []byte(name)) {
			return name
		}
	}
	return ""
}

// pump passes bytes on in one direction until the connection ends.
func (w *network) pump(p *proxied, to, from net.Conn) {
	defer to.Close()
	data := make([]byte, maxChunk)
	for {
		n, err := from.Read(data)
		if !w.await(p) {
			return
		}
		if n > 0 {
			if _, err := to.Write(data[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits until the connection is not cut, and returns whether what it carries is not lost.
func (w *network) await(p *proxied) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !p.lost && w.cut != "" && p.from != p.to && (p.from == w.cut || p.to == w.cut) {
		w.changed.Wait()
	}
	return !p.lost
}

// cutOff cuts a node off from the others.
func (w *network) cutOff(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = name
	w.record.printf("network: %s is cut off from the other nodes, silently", name)
}

// losePower loses what is held on the connections of a node that is cut off with nodes that lose power.
func (w *network) losePower() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.links {
		if p.from != p.to && (p.from == w.cut || p.to == w.cut) {
			p.lost = true
			for _, c := range p.ends {
				if c != nil {
					_ = c.Close()
				}
			}
		}
	}
	w.changed.Broadcast()
}

// heal ends the cut.
func (w *network) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.printf("network: %s is not cut off any more", w.cut)
	w.cut = ""
	w.changed.Broadcast()
}
