// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestConnectionsOfMet has a node meet others at its start, of which some become neighbours: it
// keeps no connection to the rest.
func TestConnectionsOfMet(t *testing.T) {
	tests := map[string]struct {
		members int
		met     int // which of them it has met, as far as they stay no neighbours
	}{
		"as many as neighbours": {members: 10, met: 3},
		"many":                  {members: 1000, met: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := sizedAs("fresh", test.members)
			near := make(map[string]bool)
			for _, r := range c.neighbours.All() {
				near[r.Addr] = true
			}
			kept := 0
			for i := range test.met {
				addr := recordOf(i, test.members, 1).Addr
				c.client(addr)
				c.release(addr)
				if near[addr] {
					kept++
				}
			}
			qt.Check(t, c.clients, qt.HasLen, kept)
		})
	}
}
