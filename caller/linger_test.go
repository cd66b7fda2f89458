// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace/noop"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// largeResponder responds to each request with a body of that many bytes.
type largeResponder int64

// Do implements caller.Dispatcher.
func (l largeResponder) Do(context.Context, *entry.Request) (*entry.Result, *verdict.Error) {
	return &entry.Result{
		Response: &peer.Response{
			Status:  http.StatusOK,
			Header:  []peer.Field{{Name: "Content-Length", Value: "1048576"}},
			Length:  int64(l),
			Body:    bytes.NewReader(make([]byte, l)),
			Trailer: func() []peer.Field { return nil },
		},
	}, nil
}

// TestLastResponseWithUnreadInput has a caller at a stopping node send more than one request, and
// read slowly. It guards against a truncated last response: closing a connection with unread input
// resets it.
func TestLastResponseWithUnreadInput(t *testing.T) {
	const size = 1 << 20
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := &caller.Listener{Listener: tcp}
	closed := make(chan struct{})
	server := &http.Server{
		Handler: &caller.Handler{
			Lookup: func(string) (*entry.Service, bool) {
				return &entry.Service{
					Name:   "service",
					Config: operator.Service{Hosts: []string{"service.example"}}.WithDefaults(),
				}, true
			},
			Dispatcher: largeResponder(size),
			Tracer:     noop.NewTracerProvider().Tracer(""),
		},
		ConnContext: caller.ConnContext,
		ConnState: func(c net.Conn, s http.ConnState) {
			caller.ConnState(c, s)
			if s == http.StateClosed {
				close(closed)
			}
		},
	}
	go server.Serve(listener)
	defer server.Close()
	listener.DisableKeepAlives()
	raw, err := net.Dial("tcp", tcp.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer raw.Close()
	request := strings.ReplaceAll(firstRequest, "\n", "\r\n")
	_, err = io.WriteString(raw, strings.Repeat(request, 1000))
	qt.Assert(t, err, qt.IsNil)
	r, err := http.ReadResponse(bufio.NewReaderSize(raw, 1), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Close, qt.IsTrue)
	buffer := make([]byte, 1<<10)
	read := 0
	for err == nil {
		select {
		case <-closed: // the rest is read after the node has closed the connection
			buffer = make([]byte, 1<<20)
		default:
		}
		var n int
		n, err = r.Body.Read(buffer)
		read += n
	}
	qt.Check(t, err, qt.Equals, io.EOF)
	qt.Check(t, read, qt.Equals, size)
}
