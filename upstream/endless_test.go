// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

const (
	// maxEndlessBytes is the number of bytes that an upstream which sends without end may send until its
	// connection is closed: both sockets' buffers are full by then.
	maxEndlessBytes = 16 << 20
	// endlessTimeout bounds the time until then, on a busy machine.
	endlessTimeout = 30 * time.Second
)

// endlessServer serves one response to each request, without end.
type endlessServer struct {
	// prefix is written first, and then repeated until the connection is closed, with a pause between two
	// writes.
	prefix, repeated string
	pause            time.Duration
	// written is the number of connections on which bytes behind the prefix have been sent. They are opened
	// one after the other.
	written atomic.Int64
}

// send writes a response to a connection with a number and returns how many bytes it has written.
func (s *endlessServer) send(connection int, c net.Conn) (written int64, err error) {
	n, err := io.WriteString(c, s.prefix)
	written = int64(n)
	for err == nil {
		time.Sleep(s.pause)
		n, err = io.WriteString(c, s.repeated)
		written += int64(n)
		s.written.CompareAndSwap(int64(connection), int64(connection)+1)
	}
	return written, err
}

// awaitWrite waits until bytes behind the prefix have been sent on a number of connections.
func (s *endlessServer) awaitWrite(t *testing.T, connections int) {
	t.Helper()
	for began := time.Now(); s.written.Load() < int64(connections); time.Sleep(time.Millisecond) {
		if time.Since(began) > 2*endlessTimeout {
			t.Fatalf("there were %d connections", s.written.Load())
		}
	}
}

// endlessOutcome is how the writing of bytes without end has ended.
type endlessOutcome struct {
	written int64
	err     error
}

// start starts the server, and returns its address and the outcomes.
func (s *endlessServer) start(t *testing.T) (addr string, outcomes chan endlessOutcome) {
	outcomes = make(chan endlessOutcome, 16)
	addr = serveConns(t, func(n int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(endlessTimeout))
		var o endlessOutcome
		o.written, o.err = s.send(n, c)
		outcomes <- o
	})
	return addr, outcomes
}

// checkClosed checks that the upstream has found its connection closed.
func checkClosed(t *testing.T, outcomes chan endlessOutcome) {
	t.Helper()
	var o endlessOutcome
	select {
	case o = <-outcomes:
	case <-time.After(2 * endlessTimeout):
		t.Fatal("there was no further connection")
	}
	qt.Check(t, o.written <= maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", o.written))
	var timeout net.Error
	qt.Check(t, errors.As(o.err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("the connection is still open after %d bytes: %v", o.written, o.err))
}

// TestBytesWithoutEnd guards against a connection that stays open while the upstream sends bytes without
// end that are no response, and against such bytes that end up in a response.
func TestBytesWithoutEnd(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nmine"
	const chunked = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	many := strings.Repeat("x", 4<<10)
	tests := map[string]struct {
		method           string
		prefix, repeated string
		pause            time.Duration
		want             verdict.Cause // of the failure to read the head, or ""
		cut              bool          // whether the body is truncated
		body             string
	}{
		"before the head":                    {repeated: many, want: verdict.ResponseInvalid},
		"empty lines before the head":        {repeated: strings.Repeat("\r\n", 1<<10), want: verdict.ResponseMalformed},
		"in the status line":                 {prefix: "HTTP/1.1 200 ", repeated: many, want: verdict.ResponseInvalid},
		"in a field":                         {prefix: "HTTP/1.1 200 OK\r\nX: ", repeated: many, want: verdict.ResponseInvalid},
		"fields":                             {prefix: "HTTP/1.1 200 OK\r\n", repeated: strings.Repeat("X: x\r\n", 1<<9), want: verdict.ResponseMalformed},
		"interim responses":                  {repeated: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<7), want: verdict.ResponseInvalid},
		"in the size of a chunk":             {prefix: chunked, repeated: strings.Repeat("0", 4<<10), cut: true},
		"in the extension of a chunk":        {prefix: chunked + "4;x=", repeated: many, cut: true},
		"trailers":                           {prefix: chunked + "4\r\nmine\r\n0\r\n", repeated: strings.Repeat("X: x\r\n", 1<<9), cut: true, body: "mine"},
		"after the response":                 {prefix: whole, repeated: many, body: "mine"},
		"after the response, after a while":  {prefix: whole, repeated: many, pause: 20 * time.Millisecond, body: "mine"},
		"after the response, slowly":         {prefix: whole, repeated: "x", pause: 100 * time.Millisecond, body: "mine"},
		"after the last chunk":               {prefix: chunked + "4\r\nmine\r\n0\r\n\r\n", repeated: many, body: "mine"},
		"after the response to HEAD":         {method: http.MethodHead, prefix: strings.TrimSuffix(whole, "mine"), repeated: many},
		"after a response without a body":    {prefix: "HTTP/1.1 204 No Content\r\nTest-Id: 1\r\nTest-Signature: s\r\n\r\n", repeated: many},
		"after a failure":                    {prefix: "HTTP/1.1 500 No\r\nTest-Id: 1\r\nContent-Length: 4\r\n\r\nmine", repeated: many, body: "mine"},
		"responses to other requests":        {repeated: strings.ReplaceAll(whole, "Id: 1", "Id: 0"), want: verdict.ResponseMalformed},
		"the response to another request":    {prefix: strings.ReplaceAll(chunked, "Id: 1", "Id: 0"), repeated: "1000\r\n" + many + "\r\n", want: verdict.ResponseMalformed},
		"after the rejection of the request": {prefix: "HTTP/1.1 503 No\r\nTest-Id: 1\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", repeated: many, want: verdict.UpstreamRefused},
	}
	for name, test := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			if test.method != "" {
				method = test.method
			}
			t.Run(name+", "+method, func(t *testing.T) {
				t.Parallel()
				server := &endlessServer{
					prefix:   test.prefix,
					repeated: test.repeated,
					pause:    test.pause,
				}
				addr, outcomes := server.start(t)
				transport := &upstream.Transport{
					Addr:         addr,
					MaxIdleConns: 1,
					Names:        testNames,
				}
				response, failed := transport.Send(request(t.Context(), method, "", "Test-Id", "1"), nil)
				if test.want != "" {
					qt.Assert(t, failed != nil, qt.IsTrue)
					qt.Check(t, failed.Cause, qt.Equals, test.want)
				} else {
					qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
					body, err := io.ReadAll(response.Body)
					qt.Check(t, string(body), qt.Equals, test.body)
					qt.Check(t, err != nil, qt.Equals, test.cut, qt.Commentf("%v", err))
					qt.Check(t, response.Body.Close(), qt.IsNil)
				}
				checkClosed(t, outcomes)
				qt.Check(t, transport.OpenConns(), qt.Equals, 0)
			})
		}
	}
}

// TestBodyWithoutEnd guards against a connection that stays open while a body without end is sent to a
// caller that has left, and against such a body that looks complete.
func TestBodyWithoutEnd(t *testing.T) {
	many := strings.Repeat("x", 4<<10)
	tests := map[string]struct {
		fields, repeated string
	}{
		"until the connection is closed": {repeated: many},
		"in chunks":                      {fields: "Transfer-Encoding: chunked\r\n", repeated: "1000\r\n" + many + "\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := &endlessServer{
				prefix:   "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\n" + test.fields + "\r\n",
				repeated: test.repeated,
				pause:    time.Millisecond,
			}
			addr, outcomes := server.start(t)
			transport := &upstream.Transport{
				Addr:         addr,
				MaxIdleConns: 1,
				Names:        testNames,
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			response, failed := transport.Send(request(ctx, http.MethodGet, "", "Test-Id", "1"), nil)
			qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			_, err := io.CopyN(io.Discard, response.Body, 1<<20)
			qt.Assert(t, err, qt.IsNil)
			cancel()
			_, err = io.Copy(io.Discard, response.Body)
			qt.Check(t, verdict.As(err, "").Cause, qt.Equals, verdict.ResponseTruncated, qt.Commentf("%v", err))
			checkClosed(t, outcomes)
			qt.Check(t, transport.OpenConns(), qt.Equals, 0)
		})
	}
}

// TestHealthBytesWithoutEnd guards against a process that runs out of memory, and against health checks that
// read what is left of an earlier response, as an upstream sends bytes without end that are no response.
func TestHealthBytesWithoutEnd(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nTest-Instance: i\r\nContent-Length: 2\r\n\r\n{}"
	many := strings.Repeat("x", 4<<10)
	tests := map[string]struct {
		prefix, repeated string
		pause            time.Duration
		healthy          bool
	}{
		"before the head":          {repeated: many},
		"in a field":               {prefix: "HTTP/1.1 200 OK\r\nX: ", repeated: many},
		"fields":                   {prefix: "HTTP/1.1 200 OK\r\n", repeated: strings.Repeat("X: x\r\n", 1<<9)},
		"in the size of a chunk":   {prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: strings.Repeat("0", 4<<10)},
		"a body":                   {prefix: "HTTP/1.1 200 OK\r\nTest-Instance: i\r\n\r\n", repeated: many, healthy: true},
		"after the response":       {prefix: whole, repeated: many, healthy: true},
		"a response nobody waited": {prefix: whole, repeated: strings.ReplaceAll(whole, "i\r\n", "j\r\n"), pause: 5 * time.Millisecond, healthy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := &endlessServer{
				prefix:   test.prefix,
				repeated: test.repeated,
				pause:    test.pause,
			}
			addr, outcomes := server.start(t)
			var seen []string
			poller := &upstream.Poller{
				Names:          testNames,
				Timeout:        endlessTimeout,
				LoadReported:   func(upstream.Load) {},
				NoticeReceived: func(start string, _ upstream.Notice) { seen = append(seen, start) },
			}
			defer poller.Close()
			for connection := range 3 {
				poller.Poll(t.Context(), addr, "/healthz")
				server.awaitWrite(t, connection+1)
			}
			poller.Close()
			want := []string(nil)
			if test.healthy {
				want = []string{"i", "i", "i"}
			}
			qt.Check(t, seen, qt.DeepEquals, want)
			for range 3 {
				checkClosed(t, outcomes)
			}
		})
	}
}
