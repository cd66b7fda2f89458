// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sassafrasfront.example/upstream"
)

// IDHeader is the header field with the ID of a request in the record.
const IDHeader = "X-Request-Id"

// Parameters are the parameters that can be changed while the fake upstream runs.
type Parameters struct {
	// MeanMillis is the mean service time, in milliseconds.
	MeanMillis float64 `json:"meanMillis"`
	// Sigma is the standard deviation of the logarithm of the service time,
	// which is log-normal. Zero means that it is constant.
	Sigma float64 `json:"sigma"`
	// SlowFactor multiplies the service time. Zero means 1.
	SlowFactor float64 `json:"slow"`
}

// Record is what a fake upstream has run.
type Record struct {
	// Runs holds the number of runs by request ID.
	Runs map[string]int `json:"runs"`
	// OverSlots counts the requests that arrived while all slots were in use.
	OverSlots int `json:"overSlots"`
	// MaxRunning is the largest number of concurrent requests.
	MaxRunning int `json:"mostRunning"`
	// LastArrival is when the last request arrived.
	LastArrival time.Time `json:"last"`
}

// Server is the fake upstream as an http.Handler. The exported fields are set before
// the first request.
type Server struct {
	// Slots is the number of requests that it can run concurrently.
	Slots int
	// Name is sent in each response.
	Name string
	// NodeURL is the URL of the node beside the fake upstream, through which it calls
	// other services.
	NodeURL string
	// RequestLog, if not nil, gets the ID of each request on a line of its own when the request
	// arrives. Unlike the record, it outlives the process.
	RequestLog io.Writer

	mu         sync.Mutex
	parameters Parameters
	record     Record
	running    int
}

// SetParameters replaces the parameters.
func (s *Server) SetParameters(p Parameters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parameters = p
}

// Record returns a copy of the record.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Runs = make(map[string]int, len(s.record.Runs))
	for id, n := range s.record.Runs {
		r.Runs[id] = n
	}
	return r
}

// ServeHTTP implements http.Handler. Paths under /stand/ control the fake upstream; a
// request to any other path is run.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stand/knobs":
		var p Parameters
		if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetParameters(p)
	case "/stand/record":
		_ = json.NewEncoder(w).Encode(s.Record())
	default:
		s.run(w, r)
	}
}

// run runs a request: it waits for the service time, and responds with the request's ID and
// body. The query may change that: ?hang=1 never responds, ?cut=1 truncates the response at
// half its length, ?die=1 closes the connection without a response, ?millis=N sets the service
// time.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	d := s.begin(r.Header.Get(IDHeader))
	defer s.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	if ms, err := strconv.Atoi(q.Get("millis")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if q.Has("hang") {
		d = time.Hour
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	if next := q.Get("next"); next != "" {
		s.callNext(w, r, next)
		return
	}
	response := fmt.Sprintf("%s %s %s", r.Header.Get(IDHeader), s.Name, body)
	switch {
	case q.Has("die"):
		panic(http.ErrAbortHandler)
	case q.Has("cut"):
		w.Header().Set("Content-Length", strconv.Itoa(2*len(response)))
		_, _ = io.WriteString(w, response)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, response)
}

// callNext calls the first of a comma-separated list of services, which calls the rest of the
// list. The last one closes its connection without a response. The verdict on a failure is
// passed on to the caller.
func (s *Server) callNext(w http.ResponseWriter, r *http.Request, next string) {
	first, rest, more := strings.Cut(next, ",")
	target := s.NodeURL + "/?die=1"
	if more {
		target = s.NodeURL + "/?next=" + rest
	}
	q, err := http.NewRequestWithContext(r.Context(), r.Method, target, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	q.Host = first + ".example"
	q.Header.Set(IDHeader, r.Header.Get(IDHeader))
	response, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for _, h := range []string{upstream.VerdictHeader, upstream.GivenUpHeader} {
		if v := response.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// begin records a request and returns its service time.
func (s *Server) begin(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Runs == nil {
		s.record.Runs = make(map[string]int)
	}
	s.record.Runs[id]++
	if s.RequestLog != nil {
		_, _ = fmt.Fprintln(s.RequestLog, id)
	}
	s.record.LastArrival = time.Now()
	if s.running >= s.Slots {
		s.record.OverSlots++
	}
	s.running++
	s.record.MaxRunning = max(s.record.MaxRunning, s.running)
	p := s.parameters
	ms := p.MeanMillis * math.Exp(p.Sigma*rand.NormFloat64()-p.Sigma*p.Sigma/2)
	if p.SlowFactor > 0 {
		ms *= p.SlowFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Announce announces the fake upstream to a node, and repeats that until it succeeds or ctx
// ends. The address is the node's address for announcements.
func Announce(ctx context.Context, address string, a upstream.Announcement) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/v1/upstream", bytes.NewReader(data))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode < 300 {
				return nil
			}
			err = fmt.Errorf("node responded with status %s", response.Status)
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}
