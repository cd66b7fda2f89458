// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"sassafrasfront.example/internal/tcp"
	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// TestUpstreamReadsLate guards against the loss of requests whose bodies fill the receive window of
// a healthy upstream that pauses before it reads on.
func TestUpstreamReadsLate(t *testing.T) {
	const pause = 800 * time.Millisecond // longer than the acknowledgement timeout
	tests := map[string]struct {
		body   int
		reused bool // whether the connection has carried a large body before
	}{
		"a body that is written before the response is read": {body: 60 << 10},
		"a larger body": {body: 256 << 10},
		"a request after a body that is read late": {reused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serveConns(t, func(_ int, c net.Conn) {
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
				reader := bufio.NewReaderSize(c, 1<<10)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.Header.Get("Early") != "" {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
					time.Sleep(pause)
					_ = c.(*net.TCPConn).SetReadBuffer(1 << 20)
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Header.Get("Early") == "" {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			})
			tr := &upstream.Transport{
				Addr:         addr,
				MaxConns:     1,
				MaxIdleConns: 1,
			}
			send := func(r *http.Request) {
				t.Helper()
				response, failure := tr.Send(r, nil)
				qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
				_, err := io.Copy(io.Discard, response.Body)
				qt.Assert(t, err, qt.IsNil)
			}
			if test.reused {
				send(request(context.Background(), "POST", strings.Repeat("x", 60<<10), "Early", "1"))
			}
			send(request(context.Background(), "POST", strings.Repeat("x", test.body)))
		})
	}
}

// TestLongWork guards against the loss of requests for which the upstream repeatedly sends
// 102 Processing. An endless stream of these without a pause is a failure.
func TestLongWork(t *testing.T) {
	const informational = "HTTP/1.1 102 Processing\r\n\r\n"
	tests := map[string]struct {
		count    int
		want     verdict.Cause
		informed int // at least
	}{
		"a few":                          {count: 7, informed: 7},
		"one per second for ten minutes": {count: 600, informed: 600},
		"more than are forwarded":        {count: 10000, informed: 2000},
		"endless":                        {count: 100000, want: verdict.ResponseInvalid, informed: 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr := serveConns(t, func(_ int, c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, strings.Repeat(informational, test.count)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				_, _ = io.Copy(io.Discard, c)
			})
			tr := &upstream.Transport{
				Addr: addr,
			}
			informed := 0
			response, failure := tr.Send(request(context.Background(), "GET", ""), func(status int, _ http.Header) {
				qt.Check(t, status, qt.Equals, http.StatusProcessing)
				informed++
			})
			qt.Check(t, informed >= test.informed && informed <= test.count, qt.IsTrue, qt.Commentf("%d", informed))
			if test.want != "" {
				qt.Assert(t, failure != nil, qt.IsTrue)
				qt.Check(t, failure.Cause, qt.Equals, test.want)
				return
			}
			qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			body, err := io.ReadAll(response.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, "ok")
		})
	}
}

// TestEarlyResponse guards against responses that are held back until the upstream has read the body of
// the request, which may happen later or never.
func TestEarlyResponse(t *testing.T) {
	for name, size := range map[string]int{
		"within one frame": 6 << 10,
		"medium":           60 << 10,
		"large":            1 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe() // has no buffer
			responseRead := make(chan struct{})
			go func() {
				defer theirs.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(theirs, 1<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(theirs, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nok")
				<-responseRead
			}()
			tr := &upstream.Transport{
				Addr: "upstream",
				Dial: func(context.Context, string) (net.Conn, error) { return ours, nil },
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			response, failure := tr.Send(request(ctx, "POST", strings.Repeat("x", size)), nil)
			defer close(responseRead)
			qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			qt.Check(t, response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
			body, err := io.ReadAll(response.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, "ok")
		})
	}
}

// TestResetUnsent checks that a request has not run if the upstream resets the connection before
// any of it has been written.
func TestResetUnsent(t *testing.T) {
	for name, size := range map[string]int{"none": 0, "medium": 60 << 10, "large": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			theirs.Close()
			tr := &upstream.Transport{
				Addr: "upstream",
				Dial: func(context.Context, string) (net.Conn, error) { return ours, nil },
			}
			_, failure := tr.Send(request(context.Background(), "POST", strings.Repeat("x", size)), nil)
			qt.Assert(t, failure != nil, qt.IsTrue)
			qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun, qt.Commentf("%v", failure))
		})
	}
}

// TestProbe guards against requests that wait until their deadlines for an upstream that vanished
// without closing its connections and was replaced by another start. Nothing more is written to
// it, so only keep-alive probes can detect that.
func TestProbe(t *testing.T) {
	began := make(chan struct{})
	end := make(chan struct{})
	addr := serveConns(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		close(began)
		<-end
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	var opened net.Conn
	tr := &upstream.Transport{
		Addr: addr,
		Dial: func(ctx context.Context, addr string) (c net.Conn, err error) {
			opened, err = tcp.Dialer(time.Second, 200*time.Millisecond).DialContext(ctx, "tcp", addr)
			return opened, err
		},
	}
	ended := make(chan *verdict.Error, 1)
	go func() {
		response, failure := tr.Send(request(context.Background(), "GET", ""), nil)
		if failure == nil {
			response.Body.Close()
		}
		ended <- failure
	}()
	<-began
	tr.ProbeBusyConns()
	s, err := opened.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	got := make(map[int]int)
	err = s.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			got[option], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		}
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, map[int]int{unix.TCP_USER_TIMEOUT: 0, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3})
	close(end)
	failure := <-ended
	qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
}
