// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace/noop"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// closablePipes is a pipeListener that can be closed.
type closablePipes struct {
	pipeListener
	done chan struct{}
}

func (p closablePipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.pipeListener:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p closablePipes) Close() error {
	close(p.done)
	return nil
}

// testServer is an HTTP server with a Handler and one connection, in a synctest bubble.
type testServer struct {
	t         *testing.T
	listener  *caller.Listener
	server    *http.Server
	source    closablePipes
	conn      net.Conn                // the caller's end
	cancel    context.CancelCauseFunc // cancels the contexts of all requests
	cancelled atomic.Int32            // requests whose contexts ended before their handlers returned
}

// newTestServer starts a server whose requests take a second each. Hook, if not nil, is called
// after the listener has handled a new state of the connection.
func newTestServer(t *testing.T, hook func(c net.Conn, s http.ConnState)) *testServer {
	s := &testServer{
		t: t,
		source: closablePipes{
			pipeListener: make(pipeListener, 1),
			done:         make(chan struct{}),
		},
	}
	s.listener = &caller.Listener{Listener: s.source}
	s.server = &http.Server{
		Handler: &caller.Handler{
			Lookup: func(string) (*entry.Service, bool) {
				return &entry.Service{
					Name:   "service",
					Config: operator.Service{Hosts: []string{"service.example"}}.WithDefaults(),
				}, true
			},
			Dispatcher: s,
			Tracer:     noop.NewTracerProvider().Tracer(""),
		},
		ReadHeaderTimeout: time.Minute,
		IdleTimeout:       2 * time.Minute,
		Protocols:         new(http.Protocols),
		ConnContext:       caller.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			caller.ConnState(c, state)
			if hook != nil {
				hook(c, state)
			}
		},
	}
	s.server.Protocols.SetHTTP1(true)
	s.server.Protocols.SetUnencryptedHTTP2(true)
	requests, cancel := context.WithCancelCause(t.Context())
	s.cancel = cancel
	s.server.BaseContext = func(net.Listener) context.Context { return requests }
	var theirs net.Conn
	s.conn, theirs = net.Pipe()
	s.source.pipeListener <- theirs
	go s.server.Serve(s.listener)
	t.Cleanup(func() {
		_ = s.conn.Close()
		s.listener.CloseAll()
		_ = s.listener.Close()
	})
	return s
}

// Do implements caller.Dispatcher. A request takes one second after the end of its body.
func (s *testServer) Do(ctx context.Context, r *entry.Request) (*entry.Result, *verdict.Error) {
	body := r.Body
	if r.Stream != nil {
		var err error
		if body, err = io.ReadAll(r.Stream); err != nil {
			return nil, verdict.New(verdict.BodyLost, err)
		}
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		s.cancelled.Add(1)
		return nil, verdict.New(verdict.CallerGone, context.Cause(ctx))
	}
	text := fmt.Sprintf("%s %s", r.Target, body)
	response := &peer.Response{
		Status:  http.StatusOK,
		Length:  int64(len(text)),
		Body:    strings.NewReader(text),
		Trailer: func() []peer.Field { return nil },
	}
	if r.Target == "/abort" {
		response.Body = iotest.ErrReader(verdict.New(verdict.ResponseTruncated, nil))
	}
	return &entry.Result{Response: response}, nil
}

// send writes to the server without waiting until it has read.
func (s *testServer) send(text string) {
	go func() { _, _ = io.WriteString(s.conn, strings.ReplaceAll(text, "\n", "\r\n")) }()
	synctest.Wait()
}

// responses returns a channel with the bodies of all responses, closed when the connection ends.
func (s *testServer) responses() <-chan string {
	all := make(chan string, 10)
	go func() {
		defer close(all)
		from := bufio.NewReader(s.conn)
		for {
			r, err := http.ReadResponse(from, nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			all <- string(body)
		}
	}()
	return all
}

// checkClosed checks that the listener's connections are closed, and that no request was cancelled.
func (s *testServer) checkClosed() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	qt.Check(s.t, s.listener.AwaitClosed(ctx), qt.IsNil)
	qt.Check(s.t, s.cancelled.Load(), qt.Equals, int32(0), qt.Commentf("requests whose contexts ended"))
}

// nth returns a function that calls f on its nth call.
func nth(n int, f func()) func() {
	var calls atomic.Int32
	return func() {
		if int(calls.Add(1)) == n {
			f()
		}
	}
}

const (
	firstRequest  = "GET /one HTTP/1.1\nHost: service.example\n\n"
	secondRequest = "GET /two HTTP/1.1\nHost: service.example\n\n"
	chunkedPost   = "POST /two HTTP/1.1\nHost: service.example\nTransfer-Encoding: chunked\n\n"
)

// TestCloseDuringRequest has a server close a connection that it considers idle, although a request
// on it is already being handled or was received with the previous one. It guards against a lost
// response, or a cancelled context, which cancelled the request at the upstream too.
func TestCloseDuringRequest(t *testing.T) {
	tests := map[string]struct {
		state http.ConnState // when the connection is closed
		nth   int            // ordinal of the change to that state
		sent  []string
		want  []string
	}{
		"first request":              {state: http.StateActive, nth: 1, sent: []string{firstRequest}, want: []string{"/one "}},
		"second request":             {state: http.StateActive, nth: 2, sent: []string{firstRequest, secondRequest}, want: []string{"/one ", "/two "}},
		"pipelined request":          {state: http.StateActive, nth: 2, sent: []string{firstRequest + secondRequest}, want: []string{"/one ", "/two "}},
		"before a pipelined request": {state: http.StateIdle, nth: 1, sent: []string{firstRequest + secondRequest}, want: []string{"/one ", "/two "}},
		"before a pipelined body":    {state: http.StateIdle, nth: 1, sent: []string{firstRequest + chunkedPost + "2\nhi\n0\n\n"}, want: []string{"/one ", "/two hi"}},
		"half of a pipelined header": {state: http.StateIdle, nth: 1, sent: []string{firstRequest + secondRequest[:20], secondRequest[20:]}, want: []string{"/one ", "/two "}},
		"body being received":        {state: http.StateActive, nth: 1, sent: []string{chunkedPost + "2\nhi\n", "3\n ho\n0\n\n"}, want: []string{"/two hi ho"}},
		"aborted response":           {state: http.StateActive, nth: 2, sent: []string{firstRequest, strings.Replace(firstRequest, "/one", "/abort", 1)}, want: []string{"/one "}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var conn net.Conn
				closes := nth(test.nth, func() { _ = conn.Close() })
				s := newTestServer(t, func(c net.Conn, state http.ConnState) {
					conn = c
					if state == test.state {
						closes()
					}
				})
				responses := s.responses()
				for _, text := range test.sent {
					s.send(text)
					time.Sleep(50 * time.Millisecond)
					if text == firstRequest {
						time.Sleep(2 * time.Second) // until it is answered
					}
				}
				for _, want := range test.want {
					qt.Check(t, <-responses, qt.Equals, want)
				}
				_, more := <-responses
				qt.Check(t, more, qt.IsFalse, qt.Commentf("the connection is closed"))
				s.checkClosed()
			})
		})
	}
}

// TestLateBody sends part of a body until the request's deadline, and nothing after it. It guards
// against a response that is held back until the caller sends more.
func TestLateBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, nil)
		s.send("POST /two HTTP/1.1\nHost: service.example\nSassafras-Timeout-Ms: 50\nContent-Length: 10\n\nhalf")
		all, err := io.ReadAll(s.conn)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(all), qt.Contains, "400 Bad Request")
		qt.Check(t, string(all), qt.Contains, "Sassafras-Verdict: notRun")
	})
}

// TestStopBeforeForwarding has a node cancel requests that have been forwarded, or have not. Only
// those that have not must be reported as not run.
func TestStopBeforeForwarding(t *testing.T) {
	tests := map[string]struct {
		sent string
		want []string
	}{
		"body being received": {
			sent: "POST /two HTTP/1.1\nHost: service.example\nContent-Length: 10\n\nhalf",
			want: []string{"503 Service Unavailable", "Sassafras-Verdict: notRun", "Retry-After: 1", "Connection: close", `"cause":"notSent"`},
		},
		"upstream running it": {
			sent: firstRequest,
			want: []string{"502 Bad Gateway", "Sassafras-Verdict: mayHaveRun", `"cause":"stopped"`},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(t, nil)
				s.listener.DisableKeepAlives()
				s.send(test.sent)
				s.cancel(verdict.New(verdict.NotSent, nil).WithRetryAfter(time.Millisecond))
				all, err := io.ReadAll(s.conn)
				qt.Check(t, err, qt.IsNil)
				for _, want := range test.want {
					qt.Check(t, string(all), qt.Contains, want)
				}
			})
		})
	}
}
