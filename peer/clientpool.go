// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import "sync"

// ClientPool holds clients by node. The exported fields are set before the first
// call. Its methods may be called from any goroutine.
type ClientPool struct {
	// Hello, Limits and Counters are used for all clients.
	Hello    Hello
	Limits   Limits
	Counters *Counters

	mu     sync.Mutex
	byNode map[string]*Client
}

// GetOrCreate returns the client of a node at an address. A client for an earlier address is
// closed.
func (c *ClientPool) GetOrCreate(node, addr string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.byNode[node]
	if old != nil && old.Addr == addr {
		return old
	}
	if old != nil {
		old.Close()
	}
	if c.byNode == nil {
		c.byNode = make(map[string]*Client)
	}
	p := &Client{
		Addr:     addr,
		Hello:    c.Hello,
		Limits:   c.Limits,
		Counters: c.Counters,
	}
	c.byNode[node] = p
	return p
}

// Get returns the client of a node, or nil if there is none.
func (c *ClientPool) Get(node string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byNode[node]
}

// Prune closes clients of nodes that are not wanted while there are more than limit.
func (c *ClientPool) Prune(limit int, wanted func(node string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, p := range c.byNode {
		if len(c.byNode) > limit && !wanted(node) {
			p.Close()
			delete(c.byNode, node)
		}
	}
}

// Close closes all clients.
func (c *ClientPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.byNode {
		p.Close()
	}
}
