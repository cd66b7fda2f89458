// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/connlimit"
)

// newServer returns the address of a server whose connections are limited. No costly request has a turn.
func newServer(t *testing.T, maxBytes int64, h http.HandlerFunc) string {
	server := httptest.NewUnstartedServer(connlimit.Handler(h))
	server.Listener = &connlimit.Listener{
		Listener: server.Listener,
		Budget: &connlimit.Budget{
			MaxBytes: maxBytes,
			MaxConns: 10,
		},
		Lane: new(connlimit.Lane),
		Limits: func() connlimit.Limits {
			return connlimit.Limits{
				MaxHeadBytes:  10_000,
				MaxFreeFields: 100,
				WriteTimeout:  10 * time.Second,
			}
		},
		Refusal: func(status int) string {
			return fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status)
		},
	}
	server.Config.ConnState = connlimit.ConnState
	server.Config.ConnContext = connlimit.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// exchange sends text on a connection, and returns the statuses of the given number of responses.
func exchange(t *testing.T, c net.Conn, r *bufio.Reader, text string, responses int) (statuses []int) {
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = io.WriteString(c, text)
	for range responses {
		response, err := http.ReadResponse(r, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		qt.Assert(t, err, qt.IsNil)
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

// TestCostlyRequests checks which requests need a turn, of which there is none here: those with many fields
// and those that were sent before the response to the last one.
func TestCostlyRequests(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		text string
		want []int
	}{
		"small":                 {text: get + "\r\n", want: []int{200}},
		"few fields":            {text: get + strings.Repeat("a:\r\n", 90) + "\r\n", want: []int{200}},
		"many fields":           {text: get + strings.Repeat("a:\r\n", 110) + "\r\n", want: []int{503}},
		"large head":            {text: get + "X: " + strings.Repeat("x", 9_000) + "\r\n\r\n", want: []int{200}},
		"head over the limit":   {text: get + "X: " + strings.Repeat("x", 11_000) + "\r\n\r\n", want: []int{431}},
		"over the limit, short": {text: get + strings.Repeat("X: "+strings.Repeat("x", 1_000)+"\r\n", 11), want: []int{431}},
		"sent ahead":            {text: get + "\r\n" + get + "\r\n", want: []int{200, 503}},
	}
	addr := newServer(t, 1<<20, func(http.ResponseWriter, *http.Request) {})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			qt.Check(t, exchange(t, c, bufio.NewReader(c), test.text, len(test.want)), qt.DeepEquals, test.want)
		})
	}
}

// TestNextRequestIsNotAhead guards against a client that counts as one which sends requests ahead, as it sends
// the next request when it has the response, and the handler of the last one has not returned yet.
func TestNextRequestIsNotAhead(t *testing.T) {
	addr := newServer(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	})
	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	r := bufio.NewReader(c)
	for range 10 {
		qt.Check(t, exchange(t, c, r, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1), qt.DeepEquals, []int{200})
	}
}
