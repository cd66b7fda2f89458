// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// TestBrokenResponseIsNotWhole guards against a success that callers take for whole, with an empty or a short
// body, although the upstream ended within the head of its response or before the end of its body.
func TestBrokenResponseIsNotWhole(t *testing.T) {
	const cutStep = 5 // bytes
	framings := map[string]string{
		"with a length": "Content-Length: 4\r\n\r\nmine",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for framing, rest := range framings {
			for _, http2 := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s, HTTP/2 %v", method, framing, http2), func(t *testing.T) {
					t.Parallel()
					var cut atomic.Int64
					whole := func(id string) string {
						return "HTTP/1.1 200 OK\r\n" + platformtest.RequestID + ": " + id + "\r\n" + platformtest.Signature + ": s\r\n" + rest
					}
					w, send := newRawSystem(t, method, http2, func(r platformtest.Run) string {
						text := whole(r.ID)
						return text[:min(int(cut.Load()), len(text))]
					})
					cut.Store(1 << 10)
					w.eventually("it serves", func() bool {
						status, body, err := send()
						return status == http.StatusOK && body == "mine" && err == nil
					})
					for at := 0; at < len(whole("000000")); at += cutStep {
						cut.Store(int64(at))
						status, body, err := send()
						qt.Check(t, status/100 == 2 && err == nil, qt.IsFalse, qt.Commentf("cut after %d bytes: status %d, body %q", at, status, body))
					}
				})
			}
		}
	}
}
