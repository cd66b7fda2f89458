// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
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
					w := newTestSystem(t)
					w.configure(1, "")
					entry := w.add("a")
					w.addUpstream("z", &platformtest.Upstream{
						Service: "b",
						RawResponse: func(r platformtest.Run) string {
							text := whole(r.ID)
							return text[:min(int(cut.Load()), len(text))]
						},
					}, entry.settings.PeerAddress)
					transport := &http.Transport{Protocols: new(http.Protocols)}
					transport.Protocols.SetHTTP1(!http2)
					transport.Protocols.SetUnencryptedHTTP2(http2)
					defer transport.CloseIdleConnections()
					n := 0
					send := func() (status int, body string, whole bool) {
						n++
						r, err := http.NewRequest(method, "http://"+entry.settings.CallerAddress+"/b/x", strings.NewReader(""))
						qt.Assert(t, err, qt.IsNil)
						r.Host = "h.example"
						r.Header.Set(platformtest.RequestID, fmt.Sprintf("%06d", n))
						r.Header.Set(platformtest.Timeout, "900")
						response, err := transport.RoundTrip(r)
						if err != nil {
							return 0, "", false
						}
						defer response.Body.Close()
						data, err := io.ReadAll(response.Body)
						return response.StatusCode, string(data), err == nil
					}
					cut.Store(1 << 10)
					w.eventually("it serves", func() bool {
						status, body, whole := send()
						return status == http.StatusOK && body == "mine" && whole
					})
					for at := 0; at < len(whole("000000")); at += cutStep {
						cut.Store(int64(at))
						status, body, whole := send()
						qt.Check(t, status/100 == 2 && whole, qt.IsFalse, qt.Commentf("cut after %d bytes: status %d, body %q", at, status, body))
					}
				})
			}
		}
	}
}
