// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRefusedHead guards against a head that is read far beyond the limit of the configuration, and against a
// refusal that does not promise that the request has not run.
func TestRefusedHead(t *testing.T) {
	const lineBytes = 1000
	w := newTestSystem(t)
	w.store.Put("config", "main", rawJSON(`{"version":"r1","services":[{"name":"b","healthPath":"/healthz"}],"limits":{"maxHeaderBytes":16384},"virtualHosts":[{"host":"h.example","paths":[`+route("b", "idempotent", "b")+`]}]}`))
	n := w.add("b")
	request := func(fields int, end string) (*http.Response, error) {
		c, err := net.Dial("tcp", n.settings.CallerAddress)
		if err != nil {
			return nil, err // the node does not listen yet
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		_, _ = fmt.Fprintf(c, "GET /b/x HTTP/1.1\r\nHost: h.example\r\n%s%s", strings.Repeat("X: "+strings.Repeat("x", lineBytes)+"\r\n", fields), end)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		return r, err
	}
	w.eventually("the limit is in force", func() bool {
		r, err := request(17, "\r\n")
		return err == nil && r.StatusCode == http.StatusRequestHeaderFieldsTooLarge
	})
	r, err := request(30, "") // without its end
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	qt.Check(t, r.Header.Get("Sassafras-Verdict"), qt.Equals, "notRun")
	qt.Check(t, r.Close, qt.IsTrue)
}
