// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The header fields of the users' protocol.
const (
	fieldID        = "Sassafrasfront-Request-Id"
	fieldDeadline  = "Sassafrasfront-Deadline-Ms"
	fieldExpected  = "Sassafrasfront-Expected-Instance"
	fieldInstance  = "Sassafrasfront-Instance-Id"
	fieldNotRun    = "Sassafrasfront-Not-Executed"
	fieldSignature = "Sassafrasfront-Response-Signature"
	fieldLoad      = "Sassafrasfront-Server-Load"
)

const (
	// healthPath is the path of the backends' health check.
	healthPath = "/healthz"
	// heartbeatInterval is the time between two heartbeats of a backend.
	heartbeatInterval = 1500 * time.Millisecond
	// ackTimeout is how long a backend waits for the acknowledgement of a call.
	ackTimeout = time.Second
	// defaultSlots is the number of requests that a backend runs at once, unless the case says otherwise.
	defaultSlots = 18
)

// run is a request that has reached a backend and has not been rejected.
type run struct {
	id      string
	reached time.Time // when its header had arrived
	ended   time.Time // when it was answered, or zero
	cut     time.Time // when its connection was closed before that, or zero
}

// backend is a stand-in of a backend, as PROTOCOL.md describes it.
type backend struct {
	id, service, zone string
	addr              string // where it serves
	control           string // control address of its node
	work              time.Duration
	slots             int // requests that it runs at once
	parts             int // parts in which it sends an answer without a length, or 0
	log               *record

	sequence atomic.Uint64
	leaving  atomic.Bool // whether its health check says that it is leaving
	running  atomic.Int32
	server   *http.Server

	mu   sync.Mutex
	runs []*run
}

// start starts to serve.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

// exit ends the backend: its listener and all its connections are closed.
func (b *backend) exit() { _ = b.server.Close() }

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(fieldLoad, fmt.Sprintf("%d,0,%d,100", b.running.Load(), b.slots))
	id := r.Header.Get(fieldID)
	expected := r.Header.Get(fieldExpected)
	switch {
	case r.URL.Path == healthPath:
		h.Set(fieldInstance, b.id)
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case expected != "" && expected != b.id:
		h.Set(fieldInstance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set(fieldNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set(fieldID, id)
	if int(b.running.Add(1)) > b.slots {
		b.running.Add(-1)
		h.Set(fieldNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.run(w, r, id)
}

// run runs a request.
func (b *backend) run(w http.ResponseWriter, r *http.Request, id string) {
	x := &run{id: id, reached: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, x)
	b.mu.Unlock()
	b.log.add("backend %s: request %s reaches it and runs", b.id, id)
	body, err := io.ReadAll(r.Body)
	work := b.work
	status := http.StatusOK
	if b.parts > 0 {
		b.stream(w, r, x)
		return
	}
	if ms, e := strconv.Atoi(r.Header.Get(fieldDeadline)); e == nil && time.Duration(ms)*time.Millisecond < work {
		work = time.Duration(ms) * time.Millisecond
		status = http.StatusGatewayTimeout
	}
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
	case <-r.Context().Done():
		err = context.Cause(r.Context())
	}
	b.mu.Lock()
	if err != nil {
		x.cut = time.Now()
	} else {
		x.ended = time.Now()
	}
	b.mu.Unlock()
	if err != nil {
		b.log.add("backend %s: request %s is cut: %v", b.id, id, err)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(fieldSignature, "s."+b.id+"."+id)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s ran %s with a body of %d bytes", b.id, id, len(body))
}

// partBytes is the size of each part of an answer without a length.
const partBytes = 1 << 10

// stream runs a request and sends its answer in parts meanwhile, without a length: it ends with the
// connection.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, x *run) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Transfer-Encoding", "identity")
	h.Set(fieldSignature, "s."+b.id+"."+x.id)
	part := strings.Repeat("x", partBytes)
	for range b.parts {
		_, err := io.WriteString(w, part)
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err == nil {
			select {
			case <-time.After(b.work / time.Duration(b.parts)):
			case <-r.Context().Done():
				err = context.Cause(r.Context())
			}
		}
		if err != nil {
			b.mu.Lock()
			x.cut = time.Now()
			b.mu.Unlock()
			b.log.add("backend %s: request %s is cut: %v", b.id, x.id, err)
			panic(http.ErrAbortHandler)
		}
	}
	b.mu.Lock()
	x.ended = time.Now()
	b.mu.Unlock()
}

// snapshot returns the requests that have reached the backend.
func (b *backend) snapshot() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]run, len(b.runs))
	for i, x := range b.runs {
		list[i] = *x
	}
	return list
}

// heartbeat sends one heartbeat to the address, and returns whether it was acknowledged.
func (b *backend) heartbeat(addr, state string) bool {
	sequence := b.sequence.Add(1)
	body, err := json.Marshal(map[string]any{
		"service":        b.service,
		"address":        b.addr,
		"zone":           b.zone,
		"version":        "v1",
		"slots":          b.slots,
		"state":          state,
		"coldRemainingS": 0,
		"sequence":       sequence,
	})
	if err != nil {
		return false
	}
	acked := call(addr, "Heartbeat/"+b.id, body)
	if state != "ready" || addr != b.control {
		b.log.add("backend %s: heartbeat %d (%s) sent, acknowledged: %t", b.id, sequence, state, acked)
	}
	return acked
}

// leave sends the call that the backend leaves, and returns whether it was acknowledged.
func (b *backend) leave() bool {
	acked := call(b.control, "Leave/"+b.id, nil)
	b.log.add("backend %s: leave sent, acknowledged: %t", b.id, acked)
	return acked
}

// beat sends heartbeats until ctx ends.
func (b *backend) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		b.heartbeat(b.control, "ready")
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// call makes a call to a node's control address, and returns whether it was acknowledged in time.
func call(addr, path string, body []byte) bool {
	client := &http.Client{
		Timeout:   ackTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	r, err := client.Post("http://"+addr+"/sassafrasfront/Instances."+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode/100 == 2
}
