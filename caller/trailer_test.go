// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/upstream"
)

// TestTrailer has a trailer with fields that only the node may set, that contain a key, that say how the
// request is framed, or whose names are none: an upstream may merge it into the header.
func TestTrailer(t *testing.T) {
	b := &streamedBody{
		request: &http.Request{Trailer: http.Header{
			"Authorization":  {"Bearer key"},
			"X-Organisation": {"other"},
			"X-Request-Id":   {"other"},
			"X-Sum":          {"1"},

			"Content-Length":    {"9"},
			"Transfer-Encoding": {"chunked"},
			"Host":              {"other.example"},
			"Connection":        {"X-Sum"},
			"X Y":               {"z"},
			"Content-Length ":   {"9"},
		}},
		reservedFields: reservedFields(upstream.FieldNames{RequestID: "X-Request-Id", Organisation: "X-Organisation"}),
	}
	qt.Check(t, b.Trailer(), qt.DeepEquals, []peer.Field{{Name: "X-Sum", Value: "1"}})
}
