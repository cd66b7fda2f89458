// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace/noop"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// earlyResponder responds to each request as soon as it has read the first bytes of its body, at
// least one, and leaves the rest to a goroutine, as an attempt does whose gate has responded.
type earlyResponder struct {
	refuses    bool
	length     int64
	firstBytes int
	reading    sync.WaitGroup
}

// Do implements caller.Dispatcher.
func (h *earlyResponder) Do(_ context.Context, r *entry.Request) (*entry.Result, *verdict.Error) {
	body := r.Stream
	if r.Spooled != nil {
		body = r.Spooled.NewReader()
	}
	if body != nil {
		first := make(chan struct{})
		h.reading.Go(func() {
			_, _ = io.ReadFull(body, make([]byte, max(1, h.firstBytes)))
			close(first)
			_, _ = io.Copy(io.Discard, body)
		})
		<-first
	}
	if h.refuses {
		return nil, verdict.New(verdict.Refused, nil)
	}
	var header []peer.Field
	if h.length >= 0 {
		header = []peer.Field{{Name: "Content-Length", Value: fmt.Sprint(h.length)}}
	}
	return &entry.Result{
		Response: &peer.Response{
			Status:  200,
			Header:  header,
			Length:  h.length,
			Body:    bytes.NewReader([]byte("done")),
			Trailer: func() []peer.Field { return nil },
		},
	}, nil
}

// TestResponseBeforeBody sends a large body, spooled or not, that is answered before all of it has
// been received. The caller must get the whole response, and a response to its next request on the
// same connection, unless the first response has closed it. It guards against a request without a
// response because the connection was closed while the rest of the body arrived.
func TestResponseBeforeBody(t *testing.T) {
	const spooled, streamed, part, little = 200 << 10, 300 << 10, 100 << 10, 20 << 10
	tests := map[string]struct {
		dispatcher *earlyResponder
		size, sent int // sent: bytes sent before the response
		status     int
		closes     bool
	}{
		"spooled, refused":                 {&earlyResponder{refuses: true}, spooled, spooled / 2, 503, false},
		"spooled, answered":                {&earlyResponder{length: 4}, spooled, spooled / 2, 200, false},
		"spooled, answered without length": {&earlyResponder{length: -1}, spooled, spooled / 2, 200, true},
		"refused":                          {&earlyResponder{refuses: true, firstBytes: part}, streamed, streamed / 2, 503, false},
		"refused, little sent":             {&earlyResponder{refuses: true}, streamed, little, 503, true},
		"answered":                         {&earlyResponder{length: 4, firstBytes: part}, streamed, streamed / 2, 200, false},
		"answered, little sent":            {&earlyResponder{length: 4}, streamed, little, 200, true},
		"answered without length":          {&earlyResponder{length: -1}, streamed, streamed / 2, 200, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var serverLog bytes.Buffer
			service := &entry.Service{Name: "service", Config: operator.Service{}.WithDefaults()}
			server := httptest.NewUnstartedServer(&caller.Handler{
				Lookup:     func(string) (*entry.Service, bool) { return service, true },
				Dispatcher: test.dispatcher,
				Tracer:     noop.NewTracerProvider().Tracer(""),
			})
			server.Config.ErrorLog = log.New(&serverLog, "", 0)
			server.Start()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			r := bufio.NewReader(c)
			for range 2 {
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: service.example\r\nContent-Length: %d\r\n\r\n", test.size)
				_, err = c.Write(make([]byte, test.sent))
				qt.Assert(t, err, qt.IsNil)
				response, err := http.ReadResponse(r, nil)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, response.StatusCode, qt.Equals, test.status)
				_, err = io.Copy(io.Discard, response.Body)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, response.Close, qt.Equals, test.closes)
				_, _ = c.Write(make([]byte, test.size-test.sent)) // the rest; the connection may be closed
				if test.closes {
					break
				}
			}
			c.Close()
			test.dispatcher.reading.Wait()
			server.Close()
			qt.Check(t, serverLog.String(), qt.Equals, "")
		})
	}
}

// TestBodyForwardedWhileReceived sends half of a body and waits: the request must be forwarded, and
// each attempt must be able to read the first half from the start.
func TestBodyForwardedWhileReceived(t *testing.T) {
	const size = 60_000
	service := &entry.Service{Name: "service", Config: operator.Service{}.WithDefaults()}
	requests := make(chan *entry.Request)
	server := httptest.NewServer(&caller.Handler{
		Lookup:     func(string) (*entry.Service, bool) { return service, true },
		Dispatcher: blockingDispatcher(requests),
		Tracer:     noop.NewTracerProvider().Tracer(""),
	})
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: service.example\r\nContent-Length: %d\r\n\r\n", size)
	_, err = c.Write(bytes.Repeat([]byte("a"), size/2))
	qt.Assert(t, err, qt.IsNil)
	r := <-requests
	qt.Assert(t, r.Spooled, qt.IsNotNil)
	for range 2 {
		_, err = io.ReadFull(r.Spooled.NewReader(), make([]byte, size/2))
		qt.Check(t, err, qt.IsNil)
	}
	_, err = c.Write(bytes.Repeat([]byte("b"), size/2))
	qt.Assert(t, err, qt.IsNil)
	received, err := io.ReadAll(r.Spooled.NewReader())
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(received), qt.Equals, string(bytes.Repeat([]byte("a"), size/2))+string(bytes.Repeat([]byte("b"), size/2)))
	requests <- nil
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.StatusCode, qt.Equals, 503)
}

// blockingDispatcher passes each request to the test, and refuses it when the test sends a value.
type blockingDispatcher chan *entry.Request

// Do implements caller.Dispatcher.
func (h blockingDispatcher) Do(_ context.Context, r *entry.Request) (*entry.Result, *verdict.Error) {
	h <- r
	<-h
	return nil, verdict.New(verdict.Refused, nil)
}
