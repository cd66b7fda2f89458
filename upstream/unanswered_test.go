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
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// TestUnanswered checks that the failure of a request that the upstream has read but not responded to
// describes its progress, on a new and on a reused connection.
func TestUnanswered(t *testing.T) {
	tests := map[string]struct {
		priorRequests int
	}{
		"a new connection":  {},
		"a used connection": {priorRequests: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			addr := serveConns(t, func(_ int, c net.Conn) {
				for range test.priorRequests {
					readRequest(c)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				readRequest(c)
				close(read)
				_, _ = io.Copy(io.Discard, c)
			})
			tr := &upstream.Transport{Addr: addr, MaxIdleConns: 1}
			for range test.priorRequests {
				response, failure := tr.Send(request(context.Background(), "GET", ""), nil)
				qt.Assert(t, failure == nil, qt.IsTrue)
				_, err := io.Copy(io.Discard, response.Body)
				qt.Assert(t, err, qt.IsNil)
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			go func() {
				<-read
				cancel(verdict.New(verdict.TimedOut, io.ErrNoProgress))
			}()
			_, failure := tr.Send(request(ctx, "GET", ""), nil)
			qt.Assert(t, failure != nil, qt.IsTrue)
			qt.Check(t, failure.Cause, qt.Equals, verdict.TimedOut)
			qt.Check(t, errors.Is(failure, io.ErrNoProgress), qt.IsTrue)
			got, ok := errors.AsType[*upstream.UnansweredError](failure)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, got.Written > 0, qt.IsTrue)
			qt.Check(t, got.Unacknowledged >= 0, qt.IsTrue)
			qt.Check(t, got.PriorRequests, qt.Equals, test.priorRequests)
		})
	}
}

// readRequest reads a request without a body.
func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_ = r.Body.Close()
	}
}
