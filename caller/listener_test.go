// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/operator"
)

// sendAll writes requests to the proxy over one connection and returns all that it receives until
// the proxy closes the connection, or sends nothing for a while.
func (p *proxy) sendAll(t *testing.T, requests ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", p.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	var all strings.Builder
	for _, r := range requests {
		_, _ = io.WriteString(c, strings.ReplaceAll(r, "\n", "\r\n"))
		data, closed := readQuiet(c)
		all.Write(data)
		if closed {
			all.WriteString("[closed]")
			break
		}
	}
	return all.String()
}

// readQuiet reads from a connection until nothing arrives for a while, or it is closed, which it
// reports. It waits in many short intervals: one long wait would end at once in a process that was
// suspended meanwhile, before the proxy in it had run.
func readQuiet(c net.Conn) (all []byte, closed bool) {
	const (
		waits = 30
		wait  = 10 * time.Millisecond
	)
	part := make([]byte, 4<<10)
	for quiet := 0; quiet < waits; quiet++ {
		_ = c.SetReadDeadline(time.Now().Add(wait))
		n, err := c.Read(part)
		all = append(all, part[:n]...)
		switch {
		case n > 0:
			quiet = 0
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return all, errors.Is(err, io.EOF)
		}
	}
	return all, false
}

// TestConnectionReuse has requests after which a connection may or may not be reused.
func TestConnectionReuse(t *testing.T) {
	const (
		plain   = "GET /second HTTP/1.1\nHost: service.example\n\n"
		chunked = "POST / HTTP/1.1\nHost: service.example\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n"
		sized   = "POST / HTTP/1.1\nHost: service.example\nContent-Length: 5\n\nhello"
		both    = "POST / HTTP/1.1\nHost: service.example\nContent-Length: 5\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n"
	)
	tests := map[string]struct {
		requests  []string
		responses int
		closed    bool
		want      string
	}{
		"no bodies":                     {requests: []string{plain, plain}, responses: 2},
		"chunked, then one more":        {requests: []string{chunked, plain}, responses: 2},
		"a length, then chunked":        {requests: []string{sized, chunked, plain}, responses: 3},
		"both lengths":                  {requests: []string{both, plain}, responses: 1, closed: true, want: "Connection: close"},
		"both lengths, in two writes":   {requests: []string{both[:50], both[50:], plain}, responses: 1, closed: true, want: "Connection: close"},
		"both lengths after no body":    {requests: []string{plain, both, plain}, responses: 2, closed: true, want: "Connection: close"},
		"both lengths after a length":   {requests: []string{sized, both, plain}, responses: 2, closed: true, want: "Connection: close"},
		"invalid chunk":                 {requests: []string{strings.Replace(chunked, "5\nhello", "z\nhello", 1), plain}, responses: 1, closed: true, want: "400 Bad Request"},
		"a chunk extension of 20 KB":    {requests: []string{strings.Replace(chunked, "5\n", "5;"+strings.Repeat("x", 20<<10)+"\n", 1), plain}, responses: 1, closed: true, want: "400 Bad Request"},
		"a small body that doesn't end": {requests: []string{strings.Replace(sized[:len(sized)-2], "Host:", "Sassafras-Timeout-Ms: 50\nHost:", 1), plain}, responses: 1, closed: true, want: "400 Bad Request"},
	}
	p := newProxy(t, operator.Service{MaxBodyBytes: 1 << 20}, http.HandlerFunc(echo))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := p.sendAll(t, test.requests...)
			qt.Check(t, strings.Count(got, "HTTP/1.1 "), qt.Equals, test.responses, qt.Commentf("%s", got))
			qt.Check(t, strings.HasSuffix(got, "[closed]"), qt.Equals, test.closed)
			qt.Check(t, got, qt.Contains, test.want)
		})
	}
}

// deadlineRecorder is a connection that records the deadline that it got last.
type deadlineRecorder struct {
	net.Conn
	last time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.last = t
	return nil
}

func (d *deadlineRecorder) Read(p []byte) (int, error) { return copy(p, "GET /"), nil }

// singleListener is a listener with one connection.
type singleListener struct {
	net.Listener
	conn net.Conn
}

func (l *singleListener) Accept() (net.Conn, error) { return l.conn, nil }

// TestTimeouts checks the deadlines of a connection through two requests, as a server sets
// them.
func TestTimeouts(t *testing.T) {
	raw := new(deadlineRecorder)
	timeouts := caller.Timeouts{Header: time.Minute, Idle: time.Hour}
	var mu sync.Mutex
	l := &caller.Listener{
		Listener: &singleListener{conn: raw},
		Timeouts: func() caller.Timeouts {
			mu.Lock()
			defer mu.Unlock()
			return timeouts
		},
	}
	c, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	later := time.Now().Add(24 * time.Hour)
	set := func() time.Duration {
		_ = c.SetReadDeadline(later)
		return time.Until(raw.last).Round(time.Minute)
	}
	qt.Check(t, set(), qt.Equals, time.Minute, qt.Commentf("header"))
	caller.ConnState(c, http.StateActive)
	qt.Check(t, set(), qt.Equals, 24*time.Hour, qt.Commentf("body"))
	caller.ConnState(c, http.StateIdle)
	qt.Check(t, set(), qt.Equals, time.Hour, qt.Commentf("idle"))
	_, _ = c.Read(make([]byte, 10))
	qt.Check(t, set(), qt.Equals, time.Minute, qt.Commentf("second header"))
	timeouts = caller.Timeouts{}
	qt.Check(t, set(), qt.Equals, 24*time.Hour, qt.Commentf("no timeouts"))
	_ = c.SetReadDeadline(time.Time{})
	qt.Check(t, raw.last.IsZero(), qt.IsTrue)
}

// pipeListener is a listener whose connections are pipes, on which a write returns once it has
// been read.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopDuringHeader has a server disable keep-alives between the two halves of a request's
// header, on a connection that was idle before.
func TestStopDuringHeader(t *testing.T) {
	const header = "GET / HTTP/1.1\r\nHost: service.example\r\n\r\n"
	ours, theirs := net.Pipe()
	source := make(pipeListener, 1)
	source <- theirs
	listener := &caller.Listener{Listener: source}
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "complete") }),
		ConnState:   caller.ConnState,
		ConnContext: caller.ConnContext,
	}
	go server.Serve(listener)
	defer server.Close()
	defer close(source)
	_ = ours.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(ours)
	read := func() string {
		r, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		return string(body)
	}
	write := func(s string) {
		_, err := io.WriteString(ours, s)
		qt.Assert(t, err, qt.IsNil)
	}
	write(header)
	qt.Check(t, read(), qt.Equals, "complete")
	write(header[:20])
	server.SetKeepAlivesEnabled(false)
	write(header[20:])
	qt.Check(t, read(), qt.Equals, "complete")
	_, err := reader.ReadByte()
	qt.Check(t, err, qt.Equals, io.EOF, qt.Commentf("the connection is closed after its last response"))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	qt.Check(t, listener.AwaitClosed(ctx), qt.IsNil)
}
