// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// attempt is a request of a client and its answer.
type attempt struct {
	id, method, path string
	node             string
	sent             time.Time
	status           int // 0 without an answer
	whole            bool
	signed           bool
	answered         time.Time
	err              error
}

// clients are the clients of all machines.
type clients struct {
	log *record

	ids  atomic.Uint64
	wait sync.WaitGroup

	mu       sync.Mutex
	attempts []*attempt
}

// send sends one request to a machine's node and waits for the answer. The body, which may be nil, is
// sent in chunks.
func (c *clients) send(m *machine, method, path string, deadline time.Duration, body io.Reader) *attempt {
	a := &attempt{
		id:     fmt.Sprintf("%016x", 0x9c41d07be2a30000+c.ids.Add(1)),
		method: method,
		path:   path,
		node:   m.name,
		sent:   time.Now(),
	}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a.err = c.exchange(ctx, m, a, deadline, body)
	a.answered = time.Now()
	c.log.add("client: %s %s %s, sent at %.3f s to node %s: status %d, signed %t, whole %t%s", a.method, a.id, a.path, c.log.at(a.sent), a.node, a.status, a.signed, a.whole, errorText(a.err))
	return a
}

// errorText returns the text of an error for a line of the record.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ", " + err.Error()
}

// exchange sends a request on a new connection and reads its answer.
func (c *clients) exchange(ctx context.Context, m *machine, a *attempt, deadline time.Duration, body io.Reader) error {
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+m.addr(portOutbound)+a.path, body)
	if err != nil {
		return err
	}
	r.Host = host
	r.Header.Set(fieldID, a.id)
	r.Header.Set(fieldDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.signed = response.Header.Get(fieldSignature) != ""
	_, err = io.Copy(io.Discard, response.Body)
	a.whole = err == nil
	return err
}

// paths are the paths of requests by method: those of GET may be repeated, and those of POST may not.
var paths = map[string]string{
	http.MethodGet:  "/lohu930/2f",
	http.MethodPost: "/pufi791/2f",
}

// traffic sends requests to the machines in turn until ctx ends.
func (c *clients) traffic(ctx context.Context, machines []*machine, method string, interval, deadline time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m := machines[n%len(machines)]
		c.wait.Go(func() { c.send(m, method, paths[method], deadline, nil) })
	}
}

// find returns the request with an ID.
func (c *clients) find(id string) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}
