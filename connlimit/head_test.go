// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHeadCount counts heads that arrive in two parts, cut at any byte.
func TestHeadCount(t *testing.T) {
	const body = "body\r\n\r\nGET /next HTTP/1.1\r\n\r\n"
	for name, test := range map[string]struct {
		head  string
		lines int
	}{
		"fields":              {head: "GET / HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n", lines: 4},
		"no fields":           {head: "GET / HTTP/1.1\r\n\r\n", lines: 2},
		"line feeds only":     {head: "GET / HTTP/1.1\nHost: a\n\n", lines: 3},
		"empty lines before":  {head: "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", lines: 5},
		"return in a line":    {head: "GET / HTTP/1.1\r\nX: a\rb\r\n\r\n", lines: 3},
		"two returns at ends": {head: "GET / HTTP/1.1\r\r\n\r\n", lines: 2},
	} {
		t.Run(name, func(t *testing.T) {
			text := test.head + body
			for cut := range len(text) {
				var h headCount
				h.write([]byte(text[:cut]))
				qt.Check(t, h.ended, qt.Equals, cut >= len(test.head))
				h.write([]byte(text[cut:]))
				qt.Check(t, h.ended, qt.IsTrue)
				qt.Check(t, h.bytes, qt.Equals, len(test.head))
				qt.Check(t, h.lines, qt.Equals, test.lines)
			}
		})
	}
}
