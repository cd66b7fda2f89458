// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReceivedSince guards against a count of bytes that is huge as the connection was replaced meanwhile.
func TestReceivedSince(t *testing.T) {
	for name, row := range map[string]struct{ before, now, want uint64 }{
		"the same connection": {before: 100, now: 150, want: 50},
		"nothing":             {before: 100, now: 100, want: 0},
		"another connection":  {before: 100, now: 30, want: 30},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, receivedSince(row.before, row.now), qt.Equals, row.want) })
	}
}
