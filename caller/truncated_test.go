// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
)

// TestTruncatedResponseInHTTP10 guards against a truncated response that a caller takes for a whole
// one: one without a length ends with its connection in HTTP/1.0, so that an orderly end is a whole
// response.
func TestTruncatedResponseInHTTP10(t *testing.T) {
	p := newProxy(t, operator.Service{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/truncated" {
			panic(http.ErrAbortHandler)
		}
	}))
	for path, whole := range map[string]bool{"/whole": true, "/truncated": false} {
		t.Run(path, func(t *testing.T) {
			for range 20 {
				c, err := net.Dial("tcp", p.server.Listener.Addr().String())
				qt.Assert(t, err, qt.IsNil)
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				_, err = io.WriteString(c, "GET "+path+" HTTP/1.0\r\nHost: service.example\r\n\r\n")
				qt.Assert(t, err, qt.IsNil)
				response, err := io.ReadAll(c)
				if whole {
					qt.Check(t, strings.HasSuffix(string(response), "\r\n\r\npart"), qt.IsTrue, qt.Commentf("%q", response))
				}
				qt.Check(t, err == nil, qt.Equals, whole, qt.Commentf("%q, %v", response, err))
			}
		})
	}
}
