// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace/noop"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/connlimit"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/gate"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/routes"
	"sassafrasfront.example/upstream"
)

// proxy is an entry and a gate in this process, in front of an upstream that the test provides.
type proxy struct {
	server *httptest.Server
	gate   *gate.Gate
}

// newProxy forwards requests through an entry and a gate to the given upstream.
func newProxy(t *testing.T, config operator.Service, h http.Handler) *proxy {
	t.Helper()
	backend := httptest.NewServer(h)
	tracer := noop.NewTracerProvider().Tracer("")
	config.Hosts = []string{"service.example"}
	service := &entry.Service{
		Name:   "service",
		Config: config.WithDefaults(),
	}
	g := &gate.Gate{Tracer: tracer}
	g.SetAnnouncement(&upstream.Announcement{
		Service:     "service",
		Address:     backend.Listener.Addr().String(),
		Slots:       10,
		Connections: 10,
	})
	g.Configure(&service.Config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	peers := &peer.Server{HandleCall: g.Serve}
	go peers.Run(ctx, listener)
	service.Members = []entry.Member{{ID: "n1", Addr: listener.Addr().String(), Slots: 10}}
	d := &entry.Dispatcher{Hello: peer.Hello{Node: "entry"}}
	d.SetServices(map[string]*entry.Service{"service": service})
	server := httptest.NewUnstartedServer(&caller.Handler{
		Lookup: func(host string) (*entry.Service, bool) {
			if host == "service.example" {
				return service, true
			}
			return nil, host != "early.example"
		},
		Dispatcher: d,
		Node:       "entry",
		Tracer:     tracer,
	})
	server.Listener = &caller.Listener{Listener: server.Listener}
	server.Config.ConnContext = caller.ConnContext
	server.Config.ConnState = caller.ConnState
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		d.Close()
		cancel()
		backend.CloseClientConnections()
		backend.Close()
	})
	return &proxy{server: server, gate: g}
}

// raw sends bytes to the proxy and returns what it receives until the connection is closed.
func (p *proxy) raw(t *testing.T, request string) string {
	t.Helper()
	return p.rawBytes(t, strings.ReplaceAll(request, "\n", "\r\n"))
}

// rawBytes does what raw does, but leaves the ends of lines as they are.
func (p *proxy) rawBytes(t *testing.T, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", p.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(c, request)
	qt.Assert(t, err, qt.IsNil)
	response, _ := io.ReadAll(c)
	return string(response)
}

// TestRequests has one row for each kind of request. The upstream responds with what it
// received.
func TestRequests(t *testing.T) {
	const end = "Connection: close\n\n"
	tests := map[string]struct {
		request string
		want    []string
		absent  []string
	}{
		"plain": {
			request: "GET /a%2Fb?q=1 HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"200 OK", "GET /a%2Fb?q=1 host=service.example", "Sassafras-Verdict: ran", "Sassafras-Node: n1"},
		},
		"host with port and case": {
			request: "GET / HTTP/1.1\nHost: SERVICE.example:8080\n" + end,
			want:    []string{"200 OK", "host=SERVICE.example:8080"},
		},
		"hop-by-hop fields": {
			request: "GET / HTTP/1.1\nHost: service.example\nConnection: close, X-Hop\nX-Hop: 1\nX-Keep: 1\nKeep-Alive: 5\nProxy-Authorization: x\nTe: trailers\n\n",
			want:    []string{"200 OK", "X-Keep=1"},
			absent:  []string{"X-Hop", "Keep-Alive=", "Proxy-Authorization", "Te="},
		},
		"forwarded": {
			request: "GET / HTTP/1.1\nHost: service.example\nVia: 1.0 before\nX-Forwarded-For: 192.0.2.1\nForwarded: for=192.0.2.1\n" + end,
			want:    []string{"Via=1.0 before,1.1 entry", "X-Forwarded-For=192.0.2.1, 127.0.0.1", `Forwarded=for=192.0.2.1,for=127.0.0.1;host="service.example";proto=http`, "X-Forwarded-Host=service.example"},
		},
		"small body": {
			request: "POST / HTTP/1.1\nHost: service.example\nContent-Length: 5\n" + end + "hello",
			want:    []string{"200 OK", "length=5 body=hello"},
		},
		"chunked body with trailer": {
			request: "POST / HTTP/1.1\nHost: service.example\nTransfer-Encoding: chunked\nTrailer: X-Sum\n" + end + "5\nhello\n0\nX-Sum: 7\n\n",
			want:    []string{"200 OK", "length=-1 body=hello", "trailer X-Sum=7"},
		},
		"empty POST": {
			request: "POST / HTTP/1.1\nHost: service.example\nContent-Length: 0\n" + end,
			want:    []string{"200 OK", "length=0 body="},
		},
		"HEAD": {
			request: "HEAD / HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"200 OK", "Content-Length:"},
			absent:  []string{"HEAD / host"},
		},
		"OPTIONS *": {
			request: "OPTIONS * HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"200 OK"},
		},
		"204": {
			request: "GET /204 HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"204 No Content"},
			absent:  []string{"Transfer-Encoding"},
		},
		"304": {
			request: "GET /304 HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"304 Not Modified"},
		},
		"trailer in the response": {
			request: "GET /trailer HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"200 OK", "X-After: 9"},
		},
		"truncated response of known length": {
			request: "GET /cut HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"200 OK", "Content-Length: 100", "half"},
		},
		"truncated response of unknown length": {
			request: "GET /cutchunked HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"200 OK", "half"},
			absent:  []string{"\r\n0\r\n"},
		},
		"unknown host": {
			request: "GET / HTTP/1.1\nHost: other.example\n" + end,
			want:    []string{"404 Not Found", `"verdict":"notRun"`, "application/problem+json"},
		},
		"not ready": {
			request: "GET / HTTP/1.1\nHost: early.example\n" + end,
			want:    []string{"503 Service Unavailable", "Retry-After: 1", `"cause":"notReady"`},
		},
		"CONNECT": {
			request: "CONNECT service.example:443 HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"501 Not Implemented", `"verdict":"notRun"`},
		},
		"Upgrade": {
			request: "GET / HTTP/1.1\nHost: service.example\nConnection: Upgrade, close\nUpgrade: websocket\n\n",
			want:    []string{"501 Not Implemented", "websocket"},
		},
		"bad timeout": {
			request: "GET / HTTP/1.1\nHost: service.example\nSassafras-Timeout-Ms: soon\n" + end,
			want:    []string{"400 Bad Request", `"verdict":"notRun"`},
		},
		"no time left": {
			request: "GET / HTTP/1.1\nHost: service.example\nSassafras-Timeout-Ms: 0\n" + end,
			want:    []string{"503 Service Unavailable", `"cause":"deadlinePassed"`, "Retry-After:"},
		},
		"deadline passes while it runs": {
			request: "GET /hang HTTP/1.1\nHost: service.example\nSassafras-Timeout-Ms: 50\n" + end,
			want:    []string{"504 Gateway Timeout", `"verdict":"mayHaveRun"`},
		},
		"body over the limit": {
			request: "POST / HTTP/1.1\nHost: service.example\nContent-Length: 2000000\n" + end,
			want:    []string{"413 Request Entity Too Large", `"verdict":"notRun"`},
		},
		"truncated body": {
			request: "POST / HTTP/1.1\nHost: service.example\nContent-Length: 5\nSassafras-Timeout-Ms: 100\n" + end + "he",
			want:    []string{"400 Bad Request", `"verdict":"notRun"`},
		},
		"upstream closes without a response": {
			request: "POST /die HTTP/1.1\nHost: service.example\nContent-Length: 0\n" + end,
			want:    []string{"502 Bad Gateway", `"verdict":"mayHaveRun"`, "Sassafras-Given-Up: true"},
		},
		"upstream says not run": {
			request: "POST /shed HTTP/1.1\nHost: service.example\nContent-Length: 0\n" + end,
			want:    []string{"503 Service Unavailable", `"verdict":"notRun"`, "Retry-After: 3"},
		},
		"upstream's own 503": {
			request: "GET /own503 HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"503 Service Unavailable", "Sassafras-Verdict: ran", "busy"},
		},
		"both lengths": {
			request: "POST / HTTP/1.1\nHost: service.example\nContent-Length: 5\nTransfer-Encoding: chunked\n" + end + "0\n\n",
			// RFC 9112, section 6.3: the chunked coding overrides the length.
			// The forwarded request has only that framing.
			want:   []string{"200 OK", "length=-1 body=\n"},
			absent: []string{"Content-Length=", "Transfer-Encoding="},
		},
		"too many header fields for a frame": {
			request: "GET / HTTP/1.1\nHost: service.example\n" + strings.Repeat("a:\n", tooManyFields) + end,
			want:    []string{"413 Request Entity Too Large", `"verdict":"notRun"`},
		},
		"too many response header fields for a frame": { // the limit on the head is reached first
			request: "GET /fields HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"502 Bad Gateway", `"cause":"answerSpoilt"`, `"verdict":"mayHaveRun"`},
		},
		"too many trailer fields for a frame": {
			request: "POST / HTTP/1.1\nHost: service.example\nTransfer-Encoding: chunked\nTrailer: X-Many\n" + end + "5\nhello\n0\n" + strings.Repeat("X-Many: 1\n", tooManyFields) + "\n",
			want:    []string{"502 Bad Gateway", `"cause":"bodyLost"`},
		},
		"many header fields": {
			request: "GET / HTTP/1.1\nHost: service.example\n" + strings.Repeat("X-Many: 1\n", 5000) + end,
			want:    []string{"200 OK", "X-Many=1" + strings.Repeat(",1", 4999) + "\n"},
		},
		"many response header fields": {
			request: "GET /manyfields HTTP/1.1\nHost: service.example\n" + end,
			want:    []string{"200 OK", strings.Repeat("X-Many: 1\r\n", 3000)},
		},
		"many trailer fields": {
			request: "POST / HTTP/1.1\nHost: service.example\nTransfer-Encoding: chunked\nTrailer: X-Many\n" + end + "5\nhello\n0\n" + strings.Repeat("X-Many: 1\n", 300) + "\n",
			want:    []string{"200 OK", "trailer X-Many=1"},
		},
		"request id kept": {
			request: "GET / HTTP/1.1\nHost: service.example\nX-Request-Id: abc\n" + end,
			want:    []string{"X-Request-Id: abc", "X-Request-Id=abc"},
		},
		"timeout forwarded": {
			request: "GET / HTTP/1.1\nHost: service.example\nSassafras-Timeout-Ms: 5000\n" + end,
			want:    []string{"Sassafras-Timeout-Ms="},
		},
	}
	p := newProxy(t, operator.Service{MaxBodyBytes: 1 << 20}, http.HandlerFunc(echo))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := p.raw(t, test.request)
			for _, w := range test.want {
				qt.Check(t, got, qt.Contains, w)
			}
			for _, w := range test.absent {
				qt.Check(t, strings.Contains(got, w), qt.IsFalse, qt.Commentf("%q in %s", w, got))
			}
		})
	}
}

// tooManyFields is a number of fields that the protocol between nodes does not carry.
const tooManyFields = peer.MaxFields + 1

// echo is an upstream that responds with what it received.
func echo(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/204":
		w.WriteHeader(http.StatusNoContent)
		return
	case "/304":
		w.Header().Set("Etag", `"x"`)
		w.WriteHeader(http.StatusNotModified)
		return
	case "/trailer":
		w.Header().Set("Trailer", "X-After")
		fmt.Fprint(w, "body")
		w.Header().Set("X-After", "9")
		return
	case "/cut":
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/cutchunked":
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/hang":
		<-r.Context().Done()
		return
	case "/die":
		panic(http.ErrAbortHandler)
	case "/fields", "/manyfields":
		n := tooManyFields
		if r.URL.Path == "/manyfields" {
			n = 3000
		}
		for range n {
			w.Header().Add("X-Many", "1")
		}
		return
	case "/shed":
		w.Header().Set("Sassafras-Verdict", "notRun")
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "/own503":
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s host=%s length=%d body=%s\n", r.Method, r.RequestURI, r.Host, r.ContentLength, body)
	for name, values := range r.Header {
		fmt.Fprintf(&b, "%s=%s\n", name, strings.Join(values, ","))
	}
	for name, values := range r.Trailer {
		fmt.Fprintf(&b, "trailer %s=%s\n", name, values[0])
	}
	_, _ = io.WriteString(w, b.String())
}

// TestTooManyFieldsAffectNoOthers guards against too many header fields of one request failing
// other requests on the same connection between the nodes.
func TestTooManyFieldsAffectNoOthers(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	p := newProxy(t, operator.Service{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fields" {
			echo(w, r)
			return
		}
		close(began)
		<-release
	}))
	response := make(chan string, 1)
	go func() {
		response <- p.raw(t, "POST / HTTP/1.1\nHost: service.example\nContent-Length: 0\nConnection: close\n\n")
	}()
	<-began
	p.raw(t, "GET / HTTP/1.1\nHost: service.example\n"+strings.Repeat("a:\n", tooManyFields)+"Connection: close\n\n")
	p.raw(t, "GET /fields HTTP/1.1\nHost: service.example\nConnection: close\n\n")
	close(release)
	qt.Check(t, <-response, qt.Contains, "200 OK")
}

// TestLargeBodies sends and receives bodies far larger than any flow-control window, over
// HTTP/1.1 and h2c.
func TestLargeBodies(t *testing.T) {
	p := newProxy(t, operator.Service{MaxBodyBytes: 64 << 20}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		if _, err := io.Copy(w, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprint("http2=", http2), func(t *testing.T) {
			transport := &http.Transport{Protocols: new(http.Protocols)}
			transport.Protocols.SetHTTP1(!http2)
			transport.Protocols.SetUnencryptedHTTP2(http2)
			defer transport.CloseIdleConnections()
			const size = 8 << 20
			r, _ := http.NewRequest("PUT", p.server.URL, io.LimitReader(zeros{}, size))
			r.Host = "service.example"
			response, err := transport.RoundTrip(r)
			qt.Assert(t, err, qt.IsNil)
			defer response.Body.Close()
			n, err := io.Copy(io.Discard, response.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, n, qt.Equals, int64(size))
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestExpectContinue checks that a caller that expects 100-continue is asked for its body once
// the request has been admitted, and not at all if it is refused.
func TestExpectContinue(t *testing.T) {
	for name, drained := range map[string]bool{"admitted": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			p := newProxy(t, operator.Service{}, http.HandlerFunc(echo))
			if drained {
				p.gate.Drain()
			}
			var bodyRequested bool
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got100Continue: func() { bodyRequested = true }})
			r, _ := http.NewRequestWithContext(ctx, "POST", p.server.URL, strings.NewReader("hello"))
			r.Host = "service.example"
			r.Header.Set("Expect", "100-continue")
			transport := &http.Transport{ExpectContinueTimeout: 10 * time.Second}
			defer transport.CloseIdleConnections()
			response, err := transport.RoundTrip(r)
			qt.Assert(t, err, qt.IsNil)
			defer response.Body.Close()
			qt.Check(t, bodyRequested, qt.Equals, !drained)
			qt.Check(t, response.StatusCode == 503, qt.Equals, drained)
		})
	}
}

func TestEarlyHintsForwarded(t *testing.T) {
	p := newProxy(t, operator.Service{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</x.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		time.Sleep(10 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	}))
	var hints []string
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			hints = append(hints, fmt.Sprint(status, h.Get("Link")))
			return nil
		},
	})
	r, _ := http.NewRequestWithContext(ctx, "GET", p.server.URL, nil)
	r.Host = "service.example"
	response, err := http.DefaultTransport.RoundTrip(r)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Check(t, hints, qt.DeepEquals, []string{"103</x.css>"})
	qt.Check(t, response.Header.Get("Link"), qt.Equals, "")
}

// TestDisconnectCancelsUpstreamRequest checks that the upstream's request is cancelled when the
// caller disconnects.
func TestDisconnectCancelsUpstreamRequest(t *testing.T) {
	began, cancelled := make(chan struct{}), make(chan struct{})
	p := newProxy(t, operator.Service{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(cancelled)
	}))
	c, err := net.Dial("tcp", p.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: service.example\r\n\r\n")
	<-began
	c.Close()
	select {
	case <-cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream's request is still running")
	}
}

// TestResponseStreamed checks that the first part of a response can be read before the upstream
// has written the second.
func TestResponseStreamed(t *testing.T) {
	next := make(chan struct{})
	p := newProxy(t, operator.Service{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-next
		fmt.Fprintln(w, "second")
	}))
	r, _ := http.NewRequest("GET", p.server.URL, nil)
	r.Host = "service.example"
	response, err := http.DefaultTransport.RoundTrip(r)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	line, err := lines.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, line, qt.Equals, "first\n")
	close(next)
	line, err = lines.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, line, qt.Equals, "second\n")
}

// TestProblem checks the problem document of a failure.
func TestProblem(t *testing.T) {
	p := newProxy(t, operator.Service{}, http.HandlerFunc(echo))
	p.gate.Drain()
	r, _ := http.NewRequest("POST", p.server.URL, strings.NewReader("x"))
	r.Host = "service.example"
	response, err := http.DefaultTransport.RoundTrip(r)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var problem caller.Problem
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&problem), qt.IsNil)
	qt.Check(t, problem.Status, qt.Equals, 503)
	qt.Check(t, problem.Verdict, qt.Equals, "notRun")
	qt.Check(t, problem.RetryAfterMs > 0, qt.IsTrue)
	qt.Check(t, problem.RequestID, qt.Not(qt.Equals), "")
}

// FuzzHeader sends arbitrary header names and values to a handler without upstreams, which must
// answer each request with an error status.
func FuzzHeader(f *testing.F) {
	f.Add("X-A", "1")
	f.Add("Connection", "x, y, Host")
	f.Add("Transfer-Encoding", "chunked, identity")
	f.Add("Sassafras-Timeout-Ms", "-1")
	h := &caller.Handler{
		Lookup: func(string) (*entry.Service, bool) {
			return &entry.Service{Config: operator.Service{}.WithDefaults()}, true
		},
		Dispatcher: &entry.Dispatcher{},
		Tracer:     noop.NewTracerProvider().Tracer(""),
	}
	f.Fuzz(func(t *testing.T, name, value string) {
		raw := "GET / HTTP/1.1\r\nHost: a\r\n" + name + ": " + value + "\r\n\r\n"
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		r.RemoteAddr = "127.0.0.1:1"
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code < 400 {
			t.Fatalf("status %d without any upstream", w.Code)
		}
	})
}

// TestHeaderLimit sends headers at and over the size limit of a table of routes, which counts the bytes
// as they are sent.
func TestHeaderLimit(t *testing.T) {
	table, err := routes.New(routes.Table{
		Version: 1,
		Limits:  routes.Limits{MaxHeaderBytes: 1000},
		Routes: []routes.Route{{
			Name:     "all",
			Host:     "service.example",
			Prefix:   "/",
			Timeout:  time.Second,
			Services: []routes.WeightedService{{Service: "service", Weight: 1}},
		}},
	})
	qt.Assert(t, err, qt.IsNil)
	h := &caller.Handler{
		LocalCallers: true,
		Resolver: &caller.RouteResolver{
			Table: func() *routes.Table { return table },
			Service: func(string) *entry.Service {
				return &entry.Service{Name: "service", Config: operator.Service{}.WithDefaults()}
			},
		},
		Dispatcher: new(entry.Dispatcher),
		Tracer:     noop.NewTracerProvider().Tracer(""),
	}
	server := httptest.NewUnstartedServer(h)
	server.Listener = &caller.Listener{Listener: &connlimit.Listener{
		Listener: server.Listener,
		Budget:   &connlimit.Budget{MaxBytes: 1 << 20, MaxConns: 10},
		Limits:   func() connlimit.Limits { return connlimit.Limits{MaxHeadBytes: 2000, MaxFreeFields: 1000} },
	}}
	server.Config.ConnContext = caller.ConnContext
	server.Config.ConnState = caller.ConnState
	server.Start()
	defer server.Close()
	p := &proxy{server: server}
	for name, head := range map[string]string{
		"blanks":          "GET / HTTP/1.1\r\nHost: service.example\r\nConnection: close\r\nX-Short:  a \r\nX-Long: %s\r\n\r\n",
		"no blanks":       "GET / HTTP/1.1\r\nHost:service.example\r\nConnection:close\r\nX-Long:%s\r\n\r\n",
		"line feeds only": "GET / HTTP/1.1\nHost:service.example\nConnection:close\nX-Long:%s\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for size, want := range map[int]string{1000: "HTTP/1.1 503 ", 1001: "HTTP/1.1 431 "} {
				got := p.rawBytes(t, fmt.Sprintf(head, strings.Repeat("x", size-len(head)+len("%s"))))
				qt.Check(t, strings.HasPrefix(got, want), qt.IsTrue, qt.Commentf("%d bytes: %s", size, got))
			}
		})
	}
}
