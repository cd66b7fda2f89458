// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// firstInterval is the interval of the requests of the first node's clients, and otherInterval that of the others'.
	firstInterval = 40 * time.Millisecond
	otherInterval = 200 * time.Millisecond
	// deadline is how long a client waits.
	deadline = 800 * time.Millisecond
)

// request is a request of a client and what became of it.
type request struct {
	id     string
	node   string // where it was sent
	method string
	sentAt time.Time
	status int // 0 if there was no response
	whole  bool
	took   time.Duration
}

// clients send requests to all nodes and keep what became of them.
type clients struct {
	record *record
	stop   chan struct{}
	all    sync.WaitGroup

	mu       sync.Mutex
	requests map[string]*request
}

// startClients starts the clients of the given nodes.
func startClients(nodes []*node, r *record) *clients {
	c := &clients{
		record:   r,
		stop:     make(chan struct{}),
		requests: make(map[string]*request),
	}
	for i, n := range nodes {
		interval := otherInterval
		if i == 0 {
			interval = firstInterval
		}
		transport := &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
		client := &http.Client{Transport: transport, Timeout: deadline + 500*time.Millisecond}
		c.all.Go(func() { c.sendTo(n, client, interval) })
	}
	return c
}

// sendTo sends requests to a node at an interval until the clients are stopped: three in four are not idempotent.
func (c *clients) sendTo(n *node, client *http.Client, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-tick.C:
		}
		q := &request{
			id:     strings.ToLower(rand.Text()[:16]),
			node:   n.name,
			method: http.MethodGet,
			sentAt: time.Now(),
		}
		path := "/lookup/"
		if i%4 != 3 {
			q.method = http.MethodPost
			path = "/record/"
		}
		c.mu.Lock()
		c.requests[q.id] = q
		c.mu.Unlock()
		c.all.Go(func() { c.send(n, client, q, path) })
	}
}

// send sends one request.
func (c *clients) send(n *node, client *http.Client, q *request, path string) {
	body := ""
	if q.method == http.MethodPost {
		body = "intention " + q.id
	}
	r, err := http.NewRequest(q.method, "http://"+n.addr(portOutbound)+path+q.id, strings.NewReader(body))
	if err != nil {
		panic(err) // not reached: the address and the path are valid
	}
	r.Host = "pledges.example"
	r.Header.Set("Sassafrasfront-Request-Id", q.id)
	r.Header.Set("Sassafrasfront-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	q.status, q.whole, q.took = response.StatusCode, err == nil, time.Since(q.sentAt)
}

// end stops the clients and waits for their responses.
func (c *clients) end() {
	close(c.stop)
	c.all.Wait()
}

// list returns the requests in the order in which they were sent.
func (c *clients) list() []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.SortedFunc(maps.Values(c.requests), func(a, b *request) int { return a.sentAt.Compare(b.sentAt) })
}

// find returns a request, or nil if no client sent it.
func (c *clients) find(id string) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}
