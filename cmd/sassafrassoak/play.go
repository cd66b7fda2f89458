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
	// callerPause is the wait of a caller between two requests.
	callerPause = 15 * time.Millisecond
	// patience is how long a caller waits for an answer.
	patience = usualDeadline + clientGrace
	// usualDeadline is how long a caller says that it waits.
	usualDeadline = 900 * time.Millisecond
	// readyWithin is how long the usual number of nodes may take to become ready.
	readyWithin = 10 * time.Second
	// settle is the time after the last fault within which the system is whole
	// again, and recovered the time over which that is measured.
	settle    = 4 * time.Second
	recovered = time.Second
	// drainBound is how long after its acknowledgement a drain may be without
	// effect; the users' bound is 2 s.
	drainBound = 2 * time.Second
	// leastServed is the share of requests that are served once all is whole.
	leastServed = 0.95
)

// outcome is what a caller saw of a request.
type outcome struct {
	id, route  string
	key        string        // that it showed, or empty
	size       int           // the least number of bytes of its body
	lasts      time.Duration // how long its run takes; 0 for the upstream's usual time
	deadline   time.Duration
	leaves     time.Duration // after which its caller leaves before the deadline, 0 for never
	left       bool          // whether the caller has left before there was an answer
	failure    string        // why there was no answer, or no whole one
	chunked    bool          // whether it is sent without a length
	slow       time.Duration // for how long it is sent at least
	sent       time.Time
	whole      time.Time // when the last of its body was sent, zero if it was not
	status     int       // 0 if there was no answer
	cut        bool
	wrong      string // what was wrong with the answer
	node       string // that was asked
	ended      time.Time
	signed     bool   // whether an upstream gave the answer
	leaver     string // the upstream that says with the answer that it leaves, or empty
	connection bool   // whether a connection was made
}

// records gathers outcomes.
type records struct {
	mu   sync.Mutex
	list []outcome
}

func (r *records) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, o)
}

// play runs one seed. It returns the report, and whether every promise was kept.
func play(o *options, seed uint64) (string, bool) {
	w, err := newWorld(o, seed)
	if err != nil {
		return fmt.Sprintf("seed %d could not start: %v\n", seed, err), false
	}
	defer w.close()
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return fmt.Sprintf("seed %d could not start: %v\n", seed, err), false
		}
	}
	within := time.Duration(float64(readyWithin) * w.scale())
	for began := time.Now(); w.readyNodes() < len(w.nodes); {
		if time.Since(began) > within {
			w.keepLogs(o.logs, seed)
			return fmt.Sprintf("seed %d FAILED: the nodes did not become ready\n", seed), false
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Duration(float64(time.Second) * min(w.scale(), 10))) // they meet
	faults := draw(seed, o.duration)
	if o.restore {
		faults = append(faults, drawRestore(seed, o.duration))
	}
	if o.limits {
		faults = append(faults, drawLimits(seed, o.duration)...)
	}
	if o.stops {
		faults = append(faults, drawStops(seed, o.duration, o.nodes)...)
	}
	seen := new(records)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, n := range w.nodes {
		for j := range callersPerNode {
			callers.Go(func() { w.call(n, seen, stop, fmt.Sprintf("s%d-%d-%d", seed, i, j)) })
		}
	}
	if w.keys != nil {
		for i, n := range w.nodes {
			callers.Go(func() { w.callWithKeys(n, seen, stop, fmt.Sprintf("s%d-%d-k", seed, i)) })
		}
		callers.Go(func() { w.replaceKeys(stop) })
	}
	stopLoad := make(chan struct{})
	if o.stops {
		for i, n := range w.nodes {
			for j, fresh := range []bool{false, true} {
				random := rand.New(rand.NewPCG(seed, uint64(4+2*i+j)))
				callers.Go(func() { w.load(n, seen, stopLoad, fmt.Sprintf("s%d-%d-%d-l", seed, i, j), random, fresh) })
			}
		}
	}
	began := time.Now()
	w.inject(faults)
	time.Sleep(max(0, o.duration-time.Since(began)))
	close(stopLoad)
	time.Sleep(settle)
	whole := time.Now()
	time.Sleep(recovered)
	close(stop)
	callers.Wait()
	broken := w.check(seen.list, faults, whole, o.safety)
	if len(broken) == 0 {
		return fmt.Sprintf("seed %d passed: %d requests, faults: %v\n", seed, len(seen.list), faults), true
	}
	w.keepLogs(o.logs, seed)
	if o.logs != "" {
		all := strings.Join(broken, "\n") + "\n"
		_ = os.WriteFile(filepath.Join(o.logs, fmt.Sprintf("%d-broken.txt", seed)), []byte(all), 0o600)
	}
	const most = 8
	shown := broken[:min(len(broken), most)]
	return fmt.Sprintf("seed %d FAILED: %d requests, faults: %v\n  %s\n", seed, len(seen.list), faults, strings.Join(shown, "\n  ")), false
}

// keepLogs writes the nodes' logs.
func (w *world) keepLogs(dir string, seed uint64) {
	if dir == "" {
		return
	}
	_ = os.MkdirAll(dir, 0o755)
	for _, n := range w.nodes {
		n.mu.Lock()
		_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, n.name)), bytes.Clone(n.out.Bytes()), 0o600)
		n.mu.Unlock()
	}
}

// call sends requests to a node until stop is closed. It keeps its connection as
// long as the node does, also while the node stops.
func (w *world) call(n *node, seen *records, stop chan struct{}, name string) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext:         (&net.Dialer{Timeout: patience}).DialContext,
	}
	client := &http.Client{Transport: transport, Timeout: patience}
	defer transport.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(callerPause) * w.scale())):
		}
		seen.add(ask(client, n, outcome{
			id:    fmt.Sprintf("%s-%d", name, i),
			route: []string{"a", "b"}[i%2],
		}))
	}
}

// callWithKeys does what call does, for the route that needs a key. Each request has a
// connection of its own: none waits behind another at a node that is paused.
func (w *world) callWithKeys(n *node, seen *records, stop chan struct{}, name string) {
	client := &http.Client{
		Timeout:   patience,
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
			key:   w.keys.any(),
		}
		all.Go(func() { seen.add(ask(client, n, o)) })
	}
}

// body returns what the request has as its body.
func (o *outcome) body() string {
	text := "body of " + o.id
	return text + strings.Repeat(".", max(0, o.size-len(text)))
}

// slowBody is a body that is sent piece by piece.
type slowBody struct {
	text   *strings.Reader
	pieces int
	pause  time.Duration // before each
	whole  atomic.Int64  // when its end was read, in nanoseconds since 1970, or 0
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.pause > 0 && b.text.Len() > 0 {
		time.Sleep(b.pause)
		p = p[:min(len(p), int(b.text.Size())/b.pieces+1)]
	}
	n, err := b.text.Read(p)
	if b.text.Len() == 0 {
		b.whole.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

func (b *slowBody) Close() error { return nil }

// ask sends a request, and returns it with what the caller saw.
func ask(client *http.Client, n *node, o outcome) outcome {
	o.deadline = cmp.Or(o.deadline, usualDeadline)
	o.sent = time.Now()
	o.node = n.name
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(o.leaves, o.deadline+clientGrace))
	defer cancel()
	o.answer(ctx, client, n)
	o.ended = time.Now()
	o.left = ctx.Err() != nil && (o.status == 0 || o.cut)
	return o
}

// answer sends the request and notes what comes back.
func (o *outcome) answer(ctx context.Context, client *http.Client, n *node) {
	const pieces = 10
	sending := &slowBody{
		text:   strings.NewReader(o.body()),
		pieces: pieces,
		pause:  o.slow / pieces,
	}
	defer func() {
		if at := sending.whole.Load(); at != 0 {
			o.whole = time.Unix(0, at)
		}
	}()
	// The library does not send a body of this type again.
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.caller+"/"+o.route+"/x", sending)
	r.ContentLength = sending.text.Size()
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
		o.connection = !strings.Contains(o.failure, "connection refused")
		return
	}
	defer response.Body.Close()
	o.connection = true
	o.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.cut = true
		o.failure = err.Error()
		return
	}
	o.signed = response.Header.Get(platformtest.Signature) != ""
	if o.status == http.StatusOK {
		upstream, _, _ := strings.Cut(string(body), " ")
		if response.Header.Get(platformtest.Leaving) != "" {
			o.leaver = upstream
		}
		if string(body) != upstream+" ran "+o.id || response.Header.Get(platformtest.Signature) != platformtest.Sign(upstream, o.id) {
			o.wrong = fmt.Sprintf("%q", body)
		}
	}
}
