// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/member"
)

// TestSilenceResetWhileNotProbing guards against a node that is removed after one missed probe
// because it had missed another one long ago. In between, the sweeper's node was not the first of
// its zone and probed no node.
func TestSilenceResetWhileNotProbing(t *testing.T) {
	tests := map[string]struct {
		between bool // whether another node was the first of the zone in between
		removed bool
	}{
		"probed all the time":   {removed: true},
		"not probed in between": {between: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			n := c.addAtWith(c.listener(), "a", "z", func(k *Control) {
				k.API = nil
				k.Timing.SilenceTimeout = time.Hour
			})
			closed := c.listener()
			qt.Assert(t, closed.Close(), qt.IsNil)
			silent := member.Record{ID: "silent", Zone: "z", Addr: closed.Addr().String(), State: member.Idle, Incarnation: 1}
			other := member.Record{ID: "other", Zone: "z", Addr: closed.Addr().String(), State: member.Idle, Incarnation: 1}
			for member.RendezvousRank("z", "a", []string{other.ID}) == 0 {
				other.ID += "x" // until it ranks before a
			}
			n.init()
			n.do(func() {
				n.members.PutAll([]member.Record{silent, other})
				n.suspect([]string{silent.ID, other.ID})
			})
			s := newSweeper(n.Control)
			s.detector.MarkSilent(silent.ID, time.Now().Add(-2*time.Hour))
			if test.between {
				n.do(func() { delete(n.suspects, other.ID) })
				qt.Assert(t, n.IsFirstInZone(), qt.IsFalse)
				s.roundIfFirst(context.Background())
				n.do(func() { n.suspect([]string{other.ID}) })
			}
			qt.Assert(t, n.IsFirstInZone(), qt.IsTrue)
			s.roundIfFirst(context.Background())
			var live bool
			n.do(func() {
				r, _ := n.members.Set.Get(silent.ID)
				live = r.Live()
			})
			qt.Check(t, live, qt.Equals, !test.removed)
		})
	}
}
