// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// TestHeadThatBreaksOff guards against a response that is passed on as a whole one although the upstream
// has ended within its head or before the end of its body.
func TestHeadThatBreaksOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\n"
	responses := map[string]string{
		"with a length":             head + "Content-Length: 4\r\n\r\nmine",
		"with a length of zero":     head + "Content-Length: 0\r\n\r\n",
		"in chunks":                 head + "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"until close":               head + "\r\nmine",
		"after an interim response": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 4\r\n\r\nmine",
	}
	for name, response := range responses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				addr := serveConns(t, func(cut int, c net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					_, _ = io.WriteString(c, response[:cut])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				for cut := range len(response) {
					transport := &upstream.Transport{
						Addr:  addr,
						Names: testNames,
					}
					r, failed := transport.Send(request(t.Context(), http.MethodGet, "", "Test-Id", "1"), nil)
					inHead := !strings.Contains(response[strings.Index(response, "200"):max(cut, strings.Index(response, "200"))], "\r\n\r\n")
					if inHead {
						qt.Check(t, failed != nil, qt.IsTrue, qt.Commentf("cut after %d bytes", cut))
						continue
					}
					if failed != nil {
						qt.Check(t, reset, qt.IsTrue, qt.Commentf("cut after %d bytes: %v", cut, failed))
						continue
					}
					body, err := io.ReadAll(r.Body)
					if untilClose := name == "until close" && !reset; untilClose {
						qt.Check(t, err, qt.IsNil, qt.Commentf("the end of the connection is the end of the body"))
						continue
					}
					qt.Check(t, verdict.As(err, "").Cause, qt.Equals, verdict.ResponseTruncated, qt.Commentf("cut after %d bytes: %q, %v", cut, body, err))
				}
			})
		}
	}
}
