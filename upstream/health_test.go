// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
)

var healthNames = upstream.FieldNames{
	Instance: "Instance-Id",
	Load:     "Load",
}

// TestPoller sends three health checks, and checks that the load is reported and that the
// connection is reused where possible.
func TestPoller(t *testing.T) {
	tests := map[string]struct {
		handler     http.HandlerFunc
		reports     int
		connections int64
	}{
		"connection kept": {
			handler:     func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Load", "3,0,8,100") },
			reports:     3,
			connections: 1,
		},
		"with a body": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Load", "3,0,8,100")
				_, _ = io.WriteString(w, "ok")
			},
			reports:     3,
			connections: 1,
		},
		"closed each time": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Load", "3,0,8,100")
				w.Header().Set("Connection", "close")
			},
			reports:     3,
			connections: 3,
		},
		"aborted": {
			handler:     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			connections: 3,
		},
		"failing, with a load": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Instance-Id", "i-1")
				w.Header().Set("Load", "3,0,8,100")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			reports:     3,
			connections: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int64
			s := httptest.NewUnstartedServer(test.handler)
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			s.Start()
			defer s.Close()
			var reports int
			p := &upstream.Poller{
				Names:   healthNames,
				Timeout: time.Second,
				LoadReported: func(l upstream.Load) {
					reports++
					qt.Check(t, l.Slots, qt.Equals, 8)
				},
			}
			defer p.Close()
			for range 3 {
				p.Poll(context.Background(), s.Listener.Addr().String(), "/healthz")
			}
			qt.Check(t, reports, qt.Equals, test.reports)
			qt.Check(t, connections.Load(), qt.Equals, test.connections)
		})
	}
}

// TestPollCold checks which cold times are accepted from a health check.
func TestPollCold(t *testing.T) {
	tests := map[string]struct {
		header string
		status int
		want   []time.Duration
	}{
		"no field":          {want: []time.Duration{0}},
		"cold":              {header: "1500", want: []time.Duration{1500 * time.Millisecond}},
		"with a fraction":   {header: " 0.5", want: []time.Duration{500 * time.Microsecond}},
		"cold and draining": {header: "20", status: 503, want: []time.Duration{20 * time.Millisecond}},
		"draining":          {status: 503},
		"not a number":      {header: "soon"},
		"below zero":        {header: "-5"},
		"too long":          {header: "1e30"},
		"NaN":               {header: "NaN"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Instance-Id", "i-1")
				w.Header().Set("Load", "3,0,8,100")
				if test.header != "" {
					w.Header().Set("Cold-Ms", test.header)
				}
				if test.status != 0 {
					w.WriteHeader(test.status)
				}
			}))
			defer s.Close()
			names := healthNames
			names.Cold = "Cold-Ms"
			var reported []time.Duration
			p := &upstream.Poller{
				Names:        names,
				Timeout:      time.Second,
				LoadReported: func(upstream.Load) {},
				ColdReported: func(d time.Duration) { reported = append(reported, d) },
			}
			defer p.Close()
			p.Poll(context.Background(), s.Listener.Addr().String(), "/healthz")
			qt.Check(t, reported, qt.DeepEquals, test.want)
		})
	}
}

// BenchmarkPoll polls an upstream on loopback that sends a fixed response.
func BenchmarkPoll(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nLoad: 3,0,8,100\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := &upstream.Poller{
		Names:        healthNames,
		Timeout:      time.Second,
		LoadReported: func(upstream.Load) {},
	}
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		p.Poll(context.Background(), l.Addr().String(), "/healthz")
	}
}

// TestHealthStartTime checks which bodies of a health check yield a start time.
func TestHealthStartTime(t *testing.T) {
	tests := map[string]struct {
		body string
		want int64
	}{
		"present":    {`{"born":1700000000000}`, 1700000000000},
		"other too":  {`{"more":{"born":1},"born":5}`, 5},
		"no body":    {"", 0},
		"words":      {"ok", 0},
		"a list":     {"[1]", 0},
		"cut":        {`{"born":17`, 0},
		"a string":   {`{"born":"5"}`, 0},
		"a fraction": {`{"born":5.5}`, 0},
		"null":       {`{"born":null}`, 0},
		"negative":   {`{"born":-5}`, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Instance-Id", "i-1")
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			names := healthNames
			names.StartMillis = "born"
			got, err := upstream.Health(context.Background(), server.Listener.Addr().String(), "/", names, time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got.StartID, qt.Equals, "i-1")
			qt.Check(t, got.StartMillis, qt.Equals, test.want)
		})
	}
}
