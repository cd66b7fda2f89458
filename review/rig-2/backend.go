// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is the interval of a backend's heartbeats.
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is how long a backend waits for the acknowledgement of a call.
	heartbeatTimeout = time.Second
	// slots is the number of requests that a backend runs at once.
	slots = 11
	// workTime is how long it works on a request.
	workTime = 120 * time.Millisecond
)

// arrival is a request that has reached a backend.
type arrival struct {
	id       string
	at       time.Time
	instance string // of the backend
	caller   string // service from which it came, as the header says
	ended    bool   // whether its run has ended
}

// backend is one start of a stand-in for an application backend.
type backend struct {
	record                     *record
	id, service, zone, address string
	born                       int64  // Unix time in milliseconds, 0 if it is not told
	control                    string // address of the node's control listener
	server                     *http.Server

	sequence atomic.Uint64
	draining atomic.Bool
	leaving  atomic.Bool
	running  atomic.Int32
	stop     chan struct{}

	mu       sync.Mutex
	arrivals []*arrival
}

// start starts the backend and its heartbeats.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.stop = make(chan struct{})
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	go b.sendHeartbeats()
	b.record.printf("backend %s (born %d) starts at %s", b.id, b.born, b.address)
	return nil
}

// end ends the backend as a crash or an exit does. Its connections are cut.
func (b *backend) end(how string) {
	b.record.printf("backend %s (born %d) %s, %d requests running", b.id, b.born, how, b.running.Load())
	close(b.stop)
	_ = b.server.Close()
}

// sendHeartbeats sends a heartbeat at once and then one in each interval, until the backend leaves or ends.
func (b *backend) sendHeartbeats() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for !b.leaving.Load() {
		b.prepareHeartbeat()()
		select {
		case <-b.stop:
			return
		case <-tick.C:
		}
	}
}

// prepareHeartbeat makes the next heartbeat and returns a function that sends it and returns whether it
// was acknowledged.
func (b *backend) prepareHeartbeat() (send func() bool) {
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	body := map[string]any{
		"service":        b.service,
		"address":        b.address,
		"zone":           b.zone,
		"version":        "v1",
		"slots":          slots,
		"state":          state,
		"coldRemainingS": 0,
		"sequence":       b.sequence.Add(1),
	}
	if b.born != 0 {
		body["born"] = b.born
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // not reached: the body has strings and numbers only
	}
	return func() bool { return b.call("Heartbeat", data) }
}

// drain tells the node that the backend drains, and returns when that was acknowledged.
func (b *backend) drain() (acknowledged time.Time) {
	b.draining.Store(true)
	for !b.prepareHeartbeat()() {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// leave tells the node that the backend leaves, and returns when that was acknowledged. A backend that leaves
// repeats the call until it is acknowledged.
func (b *backend) leave() (acknowledged time.Time) {
	b.leaving.Store(true)
	var data []byte
	if b.born != 0 {
		data, _ = json.Marshal(map[string]any{"born": b.born})
	}
	for !b.call("Leave", data) {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// call makes a call of service discovery and returns whether it was acknowledged in time.
func (b *backend) call(name string, body []byte) bool {
	client := &http.Client{Timeout: heartbeatTimeout}
	defer client.CloseIdleConnections()
	url := fmt.Sprintf("http://%s/sassafrasfront/Instances.%s/%s", b.control, name, b.id)
	r, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		b.record.printf("backend %s (born %d): %s %s: %v", b.id, b.born, name, body, err)
		return false
	}
	defer r.Body.Close()
	b.record.printf("backend %s (born %d): %s %s: status %d", b.id, b.born, name, body, r.StatusCode)
	return r.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Sassafrasfront-Instance-Id", b.id)
	h.Set("Sassafrasfront-Server-Load", fmt.Sprintf("%d,0,%d,100", b.running.Load(), slots))
	if r.URL.Path == "/healthz" {
		b.serveHealth(w)
		return
	}
	id := r.Header.Get("Sassafrasfront-Request-Id")
	h.Set("Sassafrasfront-Request-Id", id)
	if expected := r.Header.Get("Sassafrasfront-Expected-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{
		id:       id,
		at:       time.Now(),
		instance: b.id,
		caller:   r.Header.Get("Sassafrasfront-Caller-Service"),
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	b.mu.Unlock()
	if b.running.Add(1) > slots {
		b.running.Add(-1)
		h.Set("Sassafrasfront-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(workTime):
	case <-b.stop:
		panic(http.ErrAbortHandler) // the backend has ended
	}
	b.mu.Lock()
	a.ended = true
	b.mu.Unlock()
	answer := fmt.Sprintf("%s ran %s %s with %d bytes", b.id, id, r.URL.Path, len(body))
	h.Set("Sassafrasfront-Response-Signature", b.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// serveHealth responds to a liveness check.
func (b *backend) serveHealth(w http.ResponseWriter) {
	status := http.StatusOK
	if b.draining.Load() || b.leaving.Load() {
		status = http.StatusServiceUnavailable
	}
	body := ""
	if b.born != 0 {
		body = fmt.Sprintf(`{"born":%d}`, b.born)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// seen returns the requests that have reached the backend.
func (b *backend) seen() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]arrival, len(b.arrivals))
	for i, a := range b.arrivals {
		list[i] = *a
	}
	return list
}
