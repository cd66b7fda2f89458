// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
)

// TestRefusedBeforeEndOfBody guards against a refusal that waits for the end of a body, which may never
// come, and against a connection that is closed although the whole body has been sent.
func TestRefusedBeforeEndOfBody(t *testing.T) {
	const long = 100_000
	p := newProxy(t, operator.Service{MaxBodyBytes: 1 << 20}, http.HandlerFunc(echo))
	tests := map[string]struct {
		request string
		status  int
		reused  bool // whether the connection serves another request
	}{
		"no route, a byte short":       {request: "POST / HTTP/1.1\nHost: other.example\nContent-Length: 5\n\nhell", status: 404},
		"no route, long and short":     {request: "POST / HTTP/1.1\nHost: other.example\nContent-Length: 100000\n\n" + strings.Repeat("x", long-1), status: 404},
		"no route, chunks":             {request: "POST / HTTP/1.1\nHost: other.example\nTransfer-Encoding: chunked\n\n1\nx\n", status: 404},
		"no route, nothing of it":      {request: "POST / HTTP/1.1\nHost: other.example\nContent-Length: 5\n\n", status: 404},
		"no route, over what is read":  {request: "POST / HTTP/1.1\nHost: other.example\nContent-Length: 900000\n\n" + strings.Repeat("x", long), status: 404},
		"upgrade, a byte short":        {request: "POST / HTTP/1.1\nHost: service.example\nConnection: Upgrade\nUpgrade: websocket\nContent-Length: 5\n\nhell", status: 501},
		"bad timeout, a byte short":    {request: "POST / HTTP/1.1\nHost: service.example\nSassafras-Timeout-Ms: soon\nContent-Length: 5\n\nhell", status: 400},
		"over the limit, a byte short": {request: "POST / HTTP/1.1\nHost: service.example\nContent-Length: 2000000\n\nhell", status: 413},
		"no route, whole":              {request: "POST / HTTP/1.1\nHost: other.example\nContent-Length: 5\n\nhello", status: 404, reused: true},
		"no route, whole and long":     {request: "POST / HTTP/1.1\nHost: other.example\nContent-Length: 100000\n\n" + strings.Repeat("x", long), status: 404, reused: true},
		"no route, whole chunks":       {request: "POST / HTTP/1.1\nHost: other.example\nTransfer-Encoding: chunked\n\n1\nx\n0\n\n", status: 404, reused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", p.server.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			_, _ = io.WriteString(c, strings.ReplaceAll(test.request, "\n", "\r\n"))
			reader := bufio.NewReader(c)
			response, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, response.StatusCode, qt.Equals, test.status)
			qt.Check(t, string(body), qt.Contains, `"verdict":"notRun"`)
			if test.reused {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: service.example\r\n\r\n")
				_, err = http.ReadResponse(reader, nil)
				qt.Check(t, err, qt.IsNil)
				return
			}
			rest, err := io.ReadAll(reader)
			qt.Check(t, string(rest), qt.Equals, "")
			qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection is closed"))
		})
	}
}
