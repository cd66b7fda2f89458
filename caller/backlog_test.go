// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/caller"
)

// slowListener accepts connections with a delay, as a process short of CPU time does.
type slowListener struct {
	*net.TCPListener
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(20 * time.Millisecond)
	return l.TCPListener.Accept()
}

// TestStopBeforeAccept guards against requests that get no response because their connections
// were opened, but not yet accepted, when the listener closed.
func TestStopBeforeAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := &caller.Listener{Listener: slowListener{inner.(*net.TCPListener)}}
	server := &http.Server{
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState:   caller.ConnState,
		ConnContext: caller.ConnContext,
	}
	go func() { _ = server.Serve(l) }()
	const requests = 8
	ended := make(chan error, requests)
	for range requests {
		c, err := net.Dial("tcp", inner.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		go func() {
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			ended <- err
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = l.Drain(ctx)
	_ = server.Shutdown(ctx)
	for range requests {
		qt.Check(t, <-ended, qt.IsNil)
	}
}
