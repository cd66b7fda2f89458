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

// TestInvalidResponseIsNotPassedOn guards against callers that receive a response which is not one of
// HTTP/1.1, or a connection that is closed without any response, when an upstream sends one.
func TestInvalidResponseIsNotPassedOn(t *testing.T) {
	const end = "Content-Length: 4\r\n\r\nmine"
	// The first line and the fields that follow the signature.
	responses := map[string][2]string{
		"status 000":                    {"HTTP/1.1 000 OK", end},
		"status 099":                    {"HTTP/1.1 099 OK", end},
		"status +20":                    {"HTTP/1.1 +20 OK", end},
		"blank after Content-Length":    {"HTTP/1.1 200 OK", "Content-Length : 4\r\n\r\nminemore"},
		"blank after Transfer-Encoding": {"HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n"},
		"blank in a name":               {"HTTP/1.1 200 OK", "X Y: z\r\n" + end},
		"control byte in a name":        {"HTTP/1.1 200 OK", "X\x01: z\r\n" + end},
		"chunked in HTTP/1.0":           {"HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n"},
		"interim response":              {"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK", end},
		"interim status 000":            {"HTTP/1.1 000 Early\r\n\r\nHTTP/1.1 200 OK", end},
	}
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("HTTP/2 %v", http2), func(t *testing.T) {
			t.Parallel()
			valid := [2]string{"HTTP/1.1 200 OK", end}
			var current atomic.Pointer[[2]string]
			current.Store(&valid)
			w, send := newRawSystem(t, http.MethodPost, http2, func(r platformtest.Run) string {
				response := current.Load()
				return response[0] + "\r\n" + platformtest.RequestID + ": " + r.ID + "\r\n" + platformtest.Signature + ": s\r\n" + response[1]
			})
			w.eventually("it serves", func() bool {
				status, body, err := send()
				return status == http.StatusOK && body == "mine" && err == nil
			})
			for name, response := range responses {
				current.Store(&response)
				status, body, err := send()
				qt.Check(t, err, qt.IsNil, qt.Commentf("%s", name))
				qt.Check(t, status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %s", name, body))
			}
		})
	}
}
