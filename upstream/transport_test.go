// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// serveConns starts a listener that calls serve with each connection, and returns its address.
func serveConns(t *testing.T, serve func(n int, c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c)
			}()
		}
	}()
	return listener.Addr().String()
}

func request(ctx context.Context, method string, body string, header ...string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://service.example/path?q=1", reader)
	if err != nil {
		panic(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// blockedConn is a connection on which writes block until a deadline is set.
type blockedConn struct {
	net.Conn
	deadlineSet chan struct{}
}

// SetDeadline implements net.Conn.
func (s blockedConn) SetDeadline(t time.Time) error {
	close(s.deadlineSet)
	return s.Conn.SetDeadline(t)
}

// Write implements net.Conn.
func (s blockedConn) Write(p []byte) (int, error) {
	<-s.deadlineSet
	return s.Conn.Write(p)
}

// TestUnsent checks that the failure of an unsent request wraps ErrUnreachable only if no
// connection could be opened.
func TestUnsent(t *testing.T) {
	tests := map[string]struct {
		dial        func(ctx context.Context, addr string) (net.Conn, error)
		unreachable bool
	}{
		"refused": {
			dial:        func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
			unreachable: true,
		},
		"cancelled before the write": {
			dial: func(context.Context, string) (net.Conn, error) {
				c, _ := net.Pipe()
				return blockedConn{Conn: c, deadlineSet: make(chan struct{})}, nil
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tr := &upstream.Transport{Addr: "upstream", Dial: test.dial}
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(verdict.New(verdict.CallerGone, nil))
			_, failure := tr.Send(request(ctx, "GET", ""), nil)
			qt.Assert(t, failure != nil, qt.IsTrue)
			qt.Check(t, failure.Cause, qt.Equals, verdict.UpstreamDialFailed)
			qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
			qt.Check(t, errors.Is(failure, upstream.ErrUnreachable), qt.Equals, test.unreachable, qt.Commentf("%v", failure))
		})
	}
}

// TestNeverWrittenTwice guards against requests that are sent again after the upstream has read
// them: the upstream responds once on a connection, reads the reused connection's next request and
// closes it. The Transport of net/http retries some of these requests.
func TestNeverWrittenTwice(t *testing.T) {
	tests := map[string]*http.Request{
		"GET":                       request(context.Background(), "GET", ""),
		"HEAD":                      request(context.Background(), "HEAD", ""),
		"POST without body":         request(context.Background(), "POST", ""),
		"POST with body":            request(context.Background(), "POST", "x"),
		"POST with key":             request(context.Background(), "POST", "", "Idempotency-Key", "k"),
		"POST with X key":           request(context.Background(), "POST", "", "X-Idempotency-Key", "k"),
		"POST with key and body":    request(context.Background(), "POST", "x", "Idempotency-Key", "k"),
		"DELETE":                    request(context.Background(), "DELETE", ""),
		"PUT with body of any size": request(context.Background(), "PUT", strings.Repeat("x", 1<<20)),
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			addr := serveConns(t, func(n int, c net.Conn) {
				reader := bufio.NewReader(c)
				for i := 0; ; i++ {
					got, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, got.Body)
					requests.Add(1)
					if n > 0 || i > 0 {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			transport := &upstream.Transport{Addr: addr, MaxIdleConns: 1}
			first, failed := transport.Send(request(context.Background(), "GET", ""), nil)
			qt.Assert(t, failed == nil, qt.IsTrue)
			_, err := io.Copy(io.Discard, first.Body)
			qt.Assert(t, err, qt.IsNil)
			_, failed = transport.Send(r, nil)
			qt.Assert(t, failed != nil, qt.IsTrue)
			qt.Check(t, failed.Verdict(), qt.Equals, verdict.MayHaveRun)
			time.Sleep(20 * time.Millisecond)
			qt.Check(t, requests.Load(), qt.Equals, int32(2))
		})
	}
}

// TestResponses checks the result of a request for each kind of response or failure of the upstream.
func TestResponses(t *testing.T) {
	tests := map[string]struct {
		response string // written after the request is read
		unread   bool   // the connection is closed before the request is read
		want     verdict.Cause
		cut      bool
		status   int
		body     string
		reused   bool
	}{
		"whole":                   {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", reused: true},
		"chunked":                 {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 200, body: "ok", reused: true},
		"until close":             {response: "HTTP/1.1 200 OK\r\n\r\nok", status: 200, body: "ok"},
		"no content":              {response: "HTTP/1.1 204 No Content\r\n\r\n", status: 204, reused: true},
		"not modified":            {response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", status: 304, reused: true},
		"asks to close":           {response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok"},
		"early hints first":       {response: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", status: 200, reused: true},
		"more than one response":  {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", status: 200, body: "ok"},
		"cut body":                {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", status: 200, body: "ok", cut: true},
		"cut chunk":               {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", status: 200, body: "ok", cut: true},
		"no response":             {want: verdict.UpstreamLost},
		"cut head":                {response: "HTTP/1.1 200 OK\r\nCont", want: verdict.UpstreamLost},
		"garbage":                 {response: "220 mail.example ESMTP\r\n\r\n", want: verdict.ResponseMalformed},
		"huge head":               {response: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<17) + "\r\n\r\n", want: verdict.ResponseInvalid},
		"switches protocols":      {response: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", want: verdict.ResponseInvalid},
		"reports not run":         {response: "HTTP/1.1 503 No\r\nSassafras-Verdict: notRun\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", want: verdict.UpstreamRefused},
		"plain 503 is a response": {response: "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", status: 503, reused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr := serveConns(t, func(_ int, c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, test.response)
				if test.reused {
					_, _ = io.Copy(io.Discard, c)
				}
			})
			transport := &upstream.Transport{Addr: addr, MaxIdleConns: 1}
			r, failed := transport.Send(request(context.Background(), "GET", ""), nil)
			if test.want != "" {
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, failed.Cause, qt.Equals, test.want)
				qt.Check(t, transport.OpenConns(), qt.Equals, 0)
				return
			}
			qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			qt.Check(t, r.StatusCode, qt.Equals, test.status)
			data, err := io.ReadAll(r.Body)
			r.Body.Close()
			qt.Check(t, string(data), qt.Equals, test.body)
			qt.Check(t, err != nil, qt.Equals, test.cut)
			if test.cut {
				qt.Check(t, verdict.As(err, "").Cause, qt.Equals, verdict.ResponseTruncated)
			}
			qt.Check(t, transport.OpenConns() == 1, qt.Equals, test.reused)
		})
	}
}

func TestDialFailureIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener.Close()
	transport := &upstream.Transport{Addr: listener.Addr().String()}
	_, failed := transport.Send(request(context.Background(), "POST", "x"), nil)
	qt.Assert(t, failed != nil, qt.IsTrue)
	qt.Check(t, failed.Cause, qt.Equals, verdict.UpstreamDialFailed)
	qt.Check(t, failed.Verdict(), qt.Equals, verdict.NotRun)
}

// TestClosedIdleConnectionIsNotUsed checks that a request succeeds on a new connection after the
// server has closed the idle ones.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	transport := &upstream.Transport{Addr: s.Listener.Addr().String(), MaxIdleConns: 4}
	for range 20 {
		r, failed := transport.Send(request(context.Background(), "POST", ""), nil)
		qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
		_, _ = io.Copy(io.Discard, r.Body)
		r.Body.Close()
		s.CloseClientConnections()
		time.Sleep(time.Millisecond)
	}
}

// TestKeepAliveOfUpstream guards against requests that are lost because the upstream closes an idle
// connection at the moment it is reused: a connection that was idle for nearly as long as the
// upstream's Keep-Alive field allows is not reused.
func TestKeepAliveOfUpstream(t *testing.T) {
	tests := map[string]struct {
		field       string
		idle        time.Duration
		connections int64
	}{
		"no field":       {idle: 950 * time.Millisecond, connections: 1},
		"used within it": {field: "timeout=1, max=100", idle: 10 * time.Millisecond, connections: 1},
		"almost expired": {field: "timeout=1, max=100", idle: 950 * time.Millisecond, connections: 2},
		"longer":         {field: "max=100, timeout=60", idle: 950 * time.Millisecond, connections: 1},
		"not a number":   {field: "timeout=soon", idle: 950 * time.Millisecond, connections: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var connections atomic.Int64
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.field != "" {
					w.Header().Set("Keep-Alive", test.field)
				}
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			s.Start()
			defer s.Close()
			tr := &upstream.Transport{Addr: s.Listener.Addr().String(), MaxIdleConns: 1}
			for range 2 {
				response, failure := tr.Send(request(context.Background(), "GET", ""), nil)
				qt.Assert(t, failure == nil, qt.IsTrue)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				time.Sleep(test.idle)
			}
			qt.Check(t, connections.Load(), qt.Equals, test.connections)
		})
	}
}

// TestAbortedRequestDoesNotReuseItsConnection cancels a request and leaves a response unread, and
// expects a new connection each time.
func TestAbortedRequestDoesNotReuseItsConnection(t *testing.T) {
	var mu sync.Mutex
	used := make(map[string]int)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		used[r.RemoteAddr]++
		mu.Unlock()
		if r.Method == "HANG" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, strings.Repeat("x", 1<<20))
	}))
	defer s.Close()
	transport := &upstream.Transport{Addr: s.Listener.Addr().String(), MaxIdleConns: 4}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, failed := transport.Send(request(ctx, "HANG", ""), nil)
	qt.Assert(t, failed != nil, qt.IsTrue)
	qt.Check(t, failed.Cause, qt.Equals, verdict.CallerGone)
	for range 3 {
		r, failed := transport.Send(request(context.Background(), "GET", ""), nil)
		qt.Assert(t, failed == nil, qt.IsTrue)
		r.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	qt.Check(t, len(used), qt.Equals, 4)
	qt.Check(t, transport.OpenConns(), qt.Equals, 0)
}

// TestConnectionLimit sends more concurrent requests than the upstream accepts connections.
func TestConnectionLimit(t *testing.T) {
	var now, most atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(2 * time.Millisecond)
		now.Add(-1)
	}))
	defer s.Close()
	transport := &upstream.Transport{Addr: s.Listener.Addr().String(), MaxConns: 3, MaxIdleConns: 2}
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			r, failed := transport.Send(request(context.Background(), "GET", ""), nil)
			if failed != nil {
				t.Error(failed)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
		})
	}
	all.Wait()
	qt.Check(t, most.Load() <= 3, qt.IsTrue)
	qt.Check(t, transport.OpenConns() <= 2, qt.IsTrue)
}

func TestAnnouncements(t *testing.T) {
	tests := map[string]struct {
		method, body string
		status       int
		text         string
	}{
		"good":           {method: "PUT", body: `{"service":"pledgebook","address":"127.0.0.1:80","slots":10}`, status: 204},
		"not JSON":       {method: "PUT", body: `{`, status: 400},
		"unknown field":  {method: "PUT", body: `{"service":"a","slot":1}`, status: 400, text: "slot"},
		"host name":      {method: "PUT", body: `{"service":"a","address":"localhost:80","slots":1}`, status: 422, text: "address"},
		"no slots":       {method: "PUT", body: `{"service":"a","address":"127.0.0.1:80"}`, status: 422, text: "slots"},
		"none announced": {method: "GET", status: 404},
		"wrong method":   {method: "POST", status: 405},
		"withdraw":       {method: "DELETE", status: 204},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got *upstream.Announcement
			h := &upstream.Announcements{OnChange: func(a *upstream.Announcement) { got = a }}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(test.method, "/v1/upstream", strings.NewReader(test.body)))
			qt.Check(t, w.Code, qt.Equals, test.status)
			qt.Check(t, w.Body.String(), qt.Contains, test.text)
			if test.status == 204 && test.method == "PUT" {
				qt.Assert(t, got, qt.IsNotNil)
				qt.Check(t, got.Connections, qt.Equals, 10)
			}
		})
	}
}

// timingOutConn is a connection whose reads time out once timeOut is set.
type timingOutConn struct {
	net.Conn
	timeOut *atomic.Bool
}

func (s timingOutConn) Read(p []byte) (int, error) {
	if s.timeOut.Load() {
		return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
	}
	return s.Conn.Read(p)
}

// TestTimeoutClosesIdleConnections guards against requests on idle connections to an upstream that
// does not respond any more: after one connection has timed out, the idle ones are closed as well.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Wait") != "" {
			both.Done()
			both.Wait()
		}
	}))
	defer server.Close()
	var timeOut atomic.Bool
	transport := &upstream.Transport{
		Addr:         server.Listener.Addr().String(),
		MaxIdleConns: 2,
		Dial: func(_ context.Context, addr string) (net.Conn, error) {
			c, err := net.Dial("tcp", addr)
			return timingOutConn{Conn: c, timeOut: &timeOut}, err
		},
	}
	send := func(header ...string) *verdict.Error {
		response, failure := transport.Send(request(context.Background(), "GET", "", header...), nil)
		if failure == nil {
			_, _ = io.ReadAll(response.Body)
			response.Body.Close()
		}
		return failure
	}
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() { qt.Check(t, send("X-Wait", "1") == nil, qt.IsTrue) })
	}
	all.Wait()
	qt.Assert(t, transport.OpenConns(), qt.Equals, 2)
	timeOut.Store(true)
	qt.Check(t, send().Cause, qt.Equals, verdict.UpstreamLost)
	qt.Check(t, transport.OpenConns(), qt.Equals, 0)
	timeOut.Store(false)
	qt.Check(t, send() == nil, qt.IsTrue)
}
