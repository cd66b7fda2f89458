// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package contact

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestShouldRegisterManyStarts has many nodes start at once beside an empty registry, and beside one
// with enough entries: the number of entries that they write must not grow with that of nodes.
func TestShouldRegisterManyStarts(t *testing.T) {
	for _, nodes := range []int{12, 100, 1000, 18000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(nodes)))
			var empty, withEntries int
			for range nodes {
				draw := random.Float64()
				if shouldRegister(nodes, 0, draw) {
					empty++
				}
				if shouldRegister(nodes, targetEntries, draw) {
					withEntries++
				}
			}
			qt.Check(t, empty >= 1 && empty <= 2*targetEntries, qt.IsTrue, qt.Commentf("%d", empty))
			qt.Check(t, withEntries, qt.Equals, 0)
		})
	}
}
