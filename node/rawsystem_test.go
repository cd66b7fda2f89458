// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/platform/platformtest"
)

// newRawSystem returns a system of two nodes, in which the upstream of service b responds with what respond returns, and a
// function that sends it a request over the given version of HTTP. An error means that the response is not
// complete.
func newRawSystem(t *testing.T, method string, http2 bool, respond func(platformtest.Run) string) (w *testSystem, send func() (status int, body string, err error)) {
	w = newTestSystem(t)
	w.configure(1, "")
	entry := w.add("a")
	w.addUpstream("z", &platformtest.Upstream{
		Service:     "b",
		RawResponse: respond,
	}, entry.settings.PeerAddress)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetHTTP1(!http2)
	transport.Protocols.SetUnencryptedHTTP2(http2)
	t.Cleanup(transport.CloseIdleConnections)
	n := 0
	return w, func() (status int, body string, err error) {
		n++
		r, err := http.NewRequest(method, "http://"+entry.settings.CallerAddress+"/b/x", strings.NewReader(""))
		qt.Assert(t, err, qt.IsNil)
		r.Host = "h.example"
		r.Header.Set(platformtest.RequestID, fmt.Sprintf("%06d", n))
		r.Header.Set(platformtest.Timeout, "900")
		response, err := transport.RoundTrip(r)
		if err != nil {
			return 0, "", err
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		return response.StatusCode, string(data), err
	}
}
