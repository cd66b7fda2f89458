// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/verdict"
)

// TestInvalidResponse guards against a write that is taken for one that has, or has not, taken effect
// because of a response that is not one of HTTP.
func TestInvalidResponse(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\n{}"
	for name, response := range map[string]string{
		"status 000":                    "HTTP/1.1 000 OK\r\n" + end,
		"status 099":                    "HTTP/1.1 099 OK\r\n" + end,
		"status +20":                    "HTTP/1.1 +20 OK\r\n" + end,
		"status 600":                    "HTTP/1.1 600 OK\r\n" + end,
		"blank in a name":               "HTTP/1.1 200 OK\r\nX Y: z\r\n" + end,
		"blank after Content-Length":    "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n{}",
		"blank after Transfer-Encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a refusal":            "HTTP/1.1 409 Conflict\r\nX Y: z\r\n" + end,
		"control byte in a name":        "HTTP/1.1 200 OK\r\nX\x01: z\r\n" + end,
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer listener.Close()
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, q.Body)
						_, _ = io.WriteString(c, response)
					}
					_ = c.Close()
				}
			}()
			c := &objectapi.JSONClient{URL: "http://" + listener.Addr().String()}
			var body struct{}
			for _, decoded := range []any{nil, &body} {
				_, err = c.Do(t.Context(), http.MethodPut, "/", struct{}{}, decoded)
				e, ok := errors.AsType[*objectapi.Error](err)
				qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, e.Verdict, qt.Equals, verdict.MayHaveRun, qt.Commentf("%v", err))
			}
		})
	}
}
