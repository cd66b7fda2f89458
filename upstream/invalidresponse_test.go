// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/upstream"
	"sassafrasfront.example/verdict"
)

// invalidResponses are responses that violate RFC 9112, or whose framing it does not define.
func invalidResponses() map[string]string {
	const fields = "Test-Id: 1\r\nTest-Signature: s\r\n"
	const end = "Content-Length: 4\r\n\r\nmine"
	const ok = "HTTP/1.1 200 OK\r\n" + fields
	responses := map[string]string{
		"blank after Content-Length":         ok + "Content-Length : 4\r\n\r\nminemore",
		"blank after a second length":        ok + "Content-Length : 2\r\n" + end,
		"blank after Transfer-Encoding":      ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"blank in a name":                    ok + "X Y: z\r\n" + end,
		"blank before a name":                ok + "A: b\r\n: z\r\n" + end,
		"tab before the colon":               ok + "X\t: z\r\n" + end,
		"control byte in a name":             ok + "X\x01Y: z\r\n" + end,
		"DEL in a name":                      ok + "X\x7fY: z\r\n" + end,
		"high byte in a name":                ok + "X\xe9Y: z\r\n" + end,
		"separator in a name":                ok + "X(Y): z\r\n" + end,
		"control byte in a value":            ok + "X: \x01\r\n" + end,
		"carriage return in a value":         ok + "X: a\rb\r\n" + end,
		"no colon":                           ok + "X\r\n" + end,
		"chunked in HTTP/1.0":                "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"length and chunked":                 ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"other version":                      "HTTP/2.0 200 OK\r\n" + fields + end,
		"two digits":                         "HTTP/1.1 20 OK\r\n" + fields + end,
		"four digits":                        "HTTP/1.1 2000 OK\r\n" + fields + end,
		"blank in an interim response":       "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + ok + end,
		"blank in a second interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX : z\r\n\r\n" + ok + end,
		"blank in a response to another":     "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nX Y: z\r\n" + end + ok + end,
	}
	for _, status := range []string{"000", "001", "099", "+20", "-20", "0x1", "600", "999"} {
		responses["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + fields + end
	}
	return responses
}

// TestInvalidResponse guards against passing on a response that is not one of HTTP/1.1, with a line
// that is no field or a body that is not the upstream's.
func TestInvalidResponse(t *testing.T) {
	for name, response := range invalidResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serveConns(t, func(_ int, c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			})
			transport := &upstream.Transport{
				Addr:  addr,
				Names: testNames,
			}
			var interim []http.Header
			_, failed := transport.Send(request(t.Context(), http.MethodGet, "", "Test-Id", "1"), func(_ int, h http.Header) { interim = append(interim, h) })
			qt.Assert(t, failed != nil, qt.IsTrue)
			qt.Check(t, failed.Cause, qt.Equals, verdict.ResponseMalformed, qt.Commentf("%v", failed))
			qt.Check(t, interim, qt.HasLen, 0, qt.Commentf("nothing of it is passed on"))
			qt.Check(t, transport.OpenConns(), qt.Equals, 0)
		})
	}
}

// isTruncated returns whether err says that a response ended before it was complete.
func isTruncated(err error) bool {
	e, ok := errors.AsType[*verdict.Error](err)
	return ok && e.Cause == verdict.ResponseTruncated
}

// TestInvalidTrailer guards against a response that is passed on as a whole one although its trailer
// has a line that is no field.
func TestInvalidTrailer(t *testing.T) {
	for name, line := range map[string]string{
		"blank before the colon":  "X : z",
		"blank in a name":         "X Y: z",
		"control byte in a name":  "X\x01: z",
		"control byte in a value": "X: \x01",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serveConns(t, func(_ int, c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n"+line+"\r\n\r\n")
					_, _ = io.Copy(io.Discard, c)
				}
			})
			transport := &upstream.Transport{
				Addr:         addr,
				MaxIdleConns: 1,
				Names:        testNames,
			}
			r, failed := transport.Send(request(t.Context(), http.MethodGet, "", "Test-Id", "1"), nil)
			qt.Assert(t, failed == nil, qt.IsTrue)
			_, err := io.ReadAll(r.Body)
			qt.Check(t, isTruncated(err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, transport.OpenConns(), qt.Equals, 0)
		})
	}
}

// TestFramingFieldsInTrailer guards against trailer fields that the receiver of a response may merge
// into its head, where they would say how long its body is.
func TestFramingFieldsInTrailer(t *testing.T) {
	addr := serveConns(t, func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\nContent-Length: 9\r\nTransfer-Encoding: gzip\r\nX-Sum: 1\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		}
	})
	transport := &upstream.Transport{
		Addr:  addr,
		Names: testNames,
	}
	r, failed := transport.Send(request(t.Context(), http.MethodGet, "", "Test-Id", "1"), nil)
	qt.Assert(t, failed == nil, qt.IsTrue)
	body, err := io.ReadAll(r.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Equals, "mine")
	qt.Check(t, r.Trailer, qt.DeepEquals, http.Header{"X-Sum": {"1"}})
}

// TestInvalidHealthResponse guards against a health check that is taken for one of a healthy upstream although
// its response is not one of HTTP/1.1.
func TestInvalidHealthResponse(t *testing.T) {
	for name, response := range invalidResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serveConns(t, func(_ int, c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			})
			h, err := upstream.Health(t.Context(), addr, "/", testNames, 10*time.Second)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%+v", h))
		})
	}
}
