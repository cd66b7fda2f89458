// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasfront.example/platform/platformtest"
)

const (
	// callersPerNode is the number of callers of each node.
	callersPerNode = 3
	// callerPause is the pause of a caller between two requests.
	callerPause = 15 * time.Millisecond
	// clientTimeout is how long a caller waits for a response.
	clientTimeout = defaultDeadline + clientGrace
	// defaultDeadline is the deadline that callers state in their requests.
	defaultDeadline = 900 * time.Millisecond
	// readyTimeout is the time within which the default number of nodes must become ready.
	readyTimeout = 10 * time.Second
	// recoveryTime is the time after the last fault within which the system must recover, and
	// recoveryWindow the time after that over which the recovery is measured.
	recoveryTime   = 4 * time.Second
	recoveryWindow = time.Second
	// drainBound is the time after its acknowledgement within which a drain must take effect.
	// The users require 2 s.
	drainBound = 2 * time.Second
	// minServedFraction is the fraction of requests that must be served after the recovery.
	minServedFraction = 0.95
)

// outcome is a request and what its caller observed.
type outcome struct {
	id, route       string
	key             string        // API key in the request, or empty
	minBodyBytes    int           // minimum length of the body
	serviceTime     time.Duration // at the upstream; 0 for its default
	deadline        time.Duration
	leaveAfter      time.Duration // when the caller leaves before the deadline, 0 for never
	left            bool          // whether the caller left before it had a complete response
	failure         string        // why there was no complete response
	chunked         bool          // whether the body is sent without a Content-Length
	sendDuration    time.Duration // minimum time over which the body is sent
	bodyAfter       time.Duration // when the body begins, after the header
	sentAt          time.Time
	bodySentAt      time.Time // when the end of the body was sent, or zero
	status          int       // 0 if there was no response
	truncated       bool
	wrongBody       string // the response body if it was wrong, or empty
	node            string // the node that the request was sent to
	endedAt         time.Time
	fromUpstream    bool   // whether the response came from an upstream
	leavingUpstream string // the upstream whose response states that it is leaving, or empty
	connected       bool   // whether a connection was established
}

// recorder collects outcomes.
type recorder struct {
	mu   sync.Mutex
	list []outcome
}

func (r *recorder) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, o)
}

// runSeed runs one seed. It returns a report, and whether all checks passed.
func runSeed(o *options, seed uint64) (string, bool) {
	c, err := newCluster(o, seed)
	if err != nil {
		return fmt.Sprintf("seed %d could not start: %v\n", seed, err), false
	}
	defer c.close()
	for _, n := range c.nodes {
		if err := c.start(n); err != nil {
			return fmt.Sprintf("seed %d could not start: %v\n", seed, err), false
		}
	}
	timeout := time.Duration(float64(readyTimeout) * c.scale())
	for began := time.Now(); c.readyNodes() < len(c.nodes); {
		if time.Since(began) > timeout {
			c.saveLogs(o.logDir, seed)
			return fmt.Sprintf("seed %d FAILED: the nodes did not become ready\n", seed), false
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Duration(float64(time.Second) * min(c.scale(), 10))) // for the nodes to discover each other
	faults := drawFaults(seed, o.duration)
	if o.restore {
		faults = append(faults, drawRestore(seed, o.duration))
	}
	if o.limits {
		faults = append(faults, drawLimits(seed, o.duration)...)
	}
	if o.stops {
		faults = append(faults, drawStops(seed, o.duration, o.nodes)...)
	}
	if o.silences {
		faults = append(faults, drawSilences(seed, o.duration, o.nodes)...)
	}
	if o.departures {
		faults = append(faults, drawDepartures(seed, o.duration, o.nodes)...)
	}
	results := new(recorder)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, n := range c.nodes {
		for j := range callersPerNode {
			callers.Go(func() { c.runCaller(n, results, stop, fmt.Sprintf("s%d-%d-%d", seed, i, j)) })
		}
	}
	if c.keys != nil {
		for i, n := range c.nodes {
			callers.Go(func() { c.runKeyedCaller(n, results, stop, fmt.Sprintf("s%d-%d-k", seed, i)) })
		}
		callers.Go(func() { c.replaceKeys(stop) })
	}
	stopLoad := make(chan struct{})
	if o.stops {
		for i, n := range c.nodes {
			for j, fresh := range []bool{false, true} {
				random := rand.New(rand.NewPCG(seed, uint64(4+2*i+j)))
				callers.Go(func() { c.runOpenLoad(n, results, stopLoad, fmt.Sprintf("s%d-%d-%d-l", seed, i, j), random, fresh) })
			}
		}
	}
	if o.departures {
		for i, n := range c.nodes {
			random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
			callers.Go(func() { c.runWaitingUploads(n, results, stopLoad, fmt.Sprintf("s%d-%d-w", seed, i), random) })
		}
	}
	began := time.Now()
	c.inject(faults)
	time.Sleep(max(0, o.duration-time.Since(began)))
	close(stopLoad)
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(recoveryWindow)
	close(stop)
	callers.Wait()
	violations := c.check(results.list, faults, recoveredAt, o.safetyOnly)
	if len(violations) == 0 {
		return fmt.Sprintf("seed %d passed: %d requests, faults: %v\n", seed, len(results.list), faults), true
	}
	c.saveLogs(o.logDir, seed)
	if o.logDir != "" {
		all := strings.Join(violations, "\n") + "\n"
		_ = os.WriteFile(filepath.Join(o.logDir, fmt.Sprintf("%d-broken.txt", seed)), []byte(all), 0o600)
	}
	const maxShown = 8
	shown := violations[:min(len(violations), maxShown)]
	return fmt.Sprintf("seed %d FAILED: %d requests, faults: %v\n  %s\n", seed, len(results.list), faults, strings.Join(shown, "\n  ")), false
}

// saveLogs writes the nodes' logs to a directory.
func (c *cluster) saveLogs(dir string, seed uint64) {
	if dir == "" {
		return
	}
	_ = os.MkdirAll(dir, 0o755)
	for _, n := range c.nodes {
		n.mu.Lock()
		_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, n.name)), bytes.Clone(n.out.Bytes()), 0o600)
		n.mu.Unlock()
	}
}

// runCaller sends requests to a node, one after the other, until stop is closed. It keeps its
// connection as long as the node does, also while the node stops.
func (c *cluster) runCaller(n *node, results *recorder, stop chan struct{}, name string) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext:         (&net.Dialer{Timeout: clientTimeout}).DialContext,
	}
	client := &http.Client{Transport: transport, Timeout: clientTimeout}
	defer transport.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(callerPause) * c.scale())):
		}
		results.add(send(client, n, outcome{
			id:    fmt.Sprintf("%s-%d", name, i),
			route: []string{"a", "b"}[i%2],
		}))
	}
}

// runKeyedCaller sends requests for keyedRoute until stop is closed. Each request has a
// connection of its own, so that none waits behind another at a paused node.
func (c *cluster) runKeyedCaller(n *node, results *recorder, stop chan struct{}, name string) {
	client := &http.Client{
		Timeout:   clientTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(callerPause):
		}
		o := outcome{
			id:    fmt.Sprintf("%s-%d", name, i),
			route: keyedRoute,
			key:   c.keys.random(),
		}
		all.Go(func() { results.add(send(client, n, o)) })
	}
}

// body returns the body of the request.
func (o *outcome) body() string {
	text := "body of " + o.id
	return text + strings.Repeat(".", max(0, o.minBodyBytes-len(text)))
}

// slowBody is a request body that is sent in pieces.
type slowBody struct {
	text   *strings.Reader
	pieces int
	pause  time.Duration // before each piece
	delay  time.Duration // before the first piece
	sentAt atomic.Int64  // when the end was read, in Unix nanoseconds, or 0
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	if b.pause > 0 && b.text.Len() > 0 {
		time.Sleep(b.pause)
		p = p[:min(len(p), int(b.text.Size())/b.pieces+1)]
	}
	n, err := b.text.Read(p)
	if b.text.Len() == 0 {
		b.sentAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

func (b *slowBody) Close() error { return nil }

// send sends a request and returns it with what the caller observed.
func send(client *http.Client, n *node, o outcome) outcome {
	o.deadline = cmp.Or(o.deadline, defaultDeadline)
	o.sentAt = time.Now()
	o.node = n.name
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(o.leaveAfter, o.deadline+clientGrace))
	defer cancel()
	o.exchange(ctx, client, n)
	o.endedAt = time.Now()
	o.left = ctx.Err() != nil && (o.status == 0 || o.truncated)
	return o
}

// exchange sends the request and records the response.
func (o *outcome) exchange(ctx context.Context, client *http.Client, n *node) {
	const pieces = 10
	requestBody := &slowBody{
		text:   strings.NewReader(o.body()),
		pieces: pieces,
		pause:  o.sendDuration / pieces,
		delay:  o.bodyAfter,
	}
	defer func() {
		if at := requestBody.sentAt.Load(); at != 0 {
			o.bodySentAt = time.Unix(0, at)
		}
	}()
	// The HTTP client cannot rewind a body of this type, so it does not retry the request.
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr+"/"+o.route+"/x", requestBody)
	r.ContentLength = requestBody.text.Size()
	if o.chunked {
		r.ContentLength = -1
	}
	r.Host = "h.example"
	r.Header.Set(platformtest.RequestID, o.id)
	r.Header.Set(platformtest.Timeout, fmt.Sprint(o.deadline.Milliseconds()))
	if o.key != "" {
		r.Header.Set("Authorization", "Bearer "+o.key)
	}
	response, err := client.Do(r)
	if err != nil {
		o.failure = err.Error()
		o.connected = !strings.Contains(o.failure, "connection refused")
		return
	}
	defer response.Body.Close()
	o.connected = true
	o.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.truncated = true
		o.failure = err.Error()
		return
	}
	o.fromUpstream = response.Header.Get(platformtest.Signature) != ""
	if o.status == http.StatusOK {
		upstream, _, _ := strings.Cut(string(body), " ")
		if response.Header.Get(platformtest.Leaving) != "" {
			o.leavingUpstream = upstream
		}
		if string(body) != upstream+" ran "+o.id || response.Header.Get(platformtest.Signature) != platformtest.Sign(upstream, o.id) {
			o.wrongBody = fmt.Sprintf("%q", body)
		}
	}
}
