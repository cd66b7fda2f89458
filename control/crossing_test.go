// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/member"
)

// TestFewCross counts how often a node of a zone of some size pushes a change to another zone,
// or compares its state with one there: all together some eight times, whatever the size,
// and each of them in small zones. News goes to one elsewhere each time.
func TestFewCross(t *testing.T) {
	tests := map[string]struct {
		near, far   int
		least, most float64 // of the draws of one node
		targets     int     // that it passes something on to
	}{
		"alone":               {far: 20, least: 1, most: 1, targets: fanOut},
		"one other":           {near: 1, far: 20, least: 1, most: 1, targets: fanOut},
		"a small zone":        {near: 7, far: 20, least: 1, most: 1, targets: fanOut},
		"one zone only":       {near: 20, targets: fanOut},
		"twenty-five":         {near: 24, far: 50, least: 0.28, most: 0.36, targets: fanOut},
		"a hundred":           {near: 99, far: 200, least: 0.06, most: 0.1, targets: fanOut},
		"a thousand in zones": {near: 999, far: 2000, least: 0.004, most: 0.013, targets: fanOut},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &Control{Self: member.Record{ID: "self", Zone: "here", Addr: "10.0.0.1:1"}, Published: func(*Snapshot) {}}
			c.init()
			for i := range test.near + test.far {
				zone := "here"
				if i >= test.near {
					zone = "there"
				}
				c.members.Put(member.Record{ID: fmt.Sprint("n", i), Addr: fmt.Sprintf("10.1.%d.%d:1", i>>8, i&255), Zone: zone, State: member.Up, Incarnation: 1})
			}
			c.turnOver()
			const draws = 4000
			passed, compared := 0, 0
			for range draws {
				list := c.pushTargets()
				qt.Assert(t, list, qt.HasLen, test.targets)
				if test.far > 0 && test.near > fanOut {
					qt.Assert(t, elsewhere(c.newsTargets()), qt.Equals, 1)
				}
				if elsewhere(list) > 0 {
					passed++
				}
				if first := c.toCompare()[0]; first.Zone != "here" {
					compared++
				}
			}
			share := float64(passed) / draws
			qt.Check(t, share >= test.least && share <= test.most, qt.IsTrue, qt.Commentf("%f", share))
			qt.Check(t, float64(compared)/draws <= test.most, qt.IsTrue, qt.Commentf("%d", compared))
		})
	}
}

// elsewhere returns how many of the targets are in another zone.
func elsewhere(list []target) (n int) {
	for _, t := range list {
		if t.Zone != "here" {
			n++
		}
	}
	return n
}
