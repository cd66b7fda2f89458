// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLateHeartbeatOfPreviousStart guards against the permanent loss of an upstream after a node that
// has just started receives a late heartbeat of the upstream's previous start.
func TestLateHeartbeatOfPreviousStart(t *testing.T) {
	for name, leaves := range map[string]bool{
		"the current start continues":                    false,
		"the current start has announced that it leaves": true,
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestSystem(t)
			w.configure(1, "")
			first, second := w.add("a"), w.add("b")
			w.eventually("it serves", func() bool { return second.request("PUT", "/a/x", "warm", "").status == 200 })
			qt.Assert(t, first.upstream.SendHeartbeat(first.settings.AnnounceAddress), qt.IsTrue)
			if leaves {
				qt.Assert(t, first.upstream.SendLeave(first.settings.AnnounceAddress), qt.IsTrue)
			}
			qt.Assert(t, first.upstream.SendHeartbeatAs(first.settings.AnnounceAddress, "i-former", 900), qt.IsTrue)
			if !leaves {
				n := 0
				w.eventually("it serves again", func() bool {
					n++
					return second.request("PUT", "/a/x", fmt.Sprint("again", n), "").status == 200
				})
				return
			}
			before := len(first.upstream.Runs())
			for n := range 100 {
				qt.Check(t, second.request("PUT", "/a/x", fmt.Sprint("left", n), "").status, qt.Equals, 503)
			}
			qt.Check(t, len(first.upstream.Runs()), qt.Equals, before, qt.Commentf("an acknowledged leave is final"))
		})
	}
}
