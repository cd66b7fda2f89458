// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLateHeartbeatOfFormerStart guards against the loss of an upstream for good, after a node that has
// just started has heard a late heartbeat of the start before the present one.
func TestLateHeartbeatOfFormerStart(t *testing.T) {
	for name, leaves := range map[string]bool{
		"the present start goes on":                 false,
		"the present start has said that it leaves": true,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.configure(1, "")
			first, second := w.add("a"), w.add("b")
			w.eventually("it serves", func() bool { return second.ask("PUT", "/a/x", "warm", "").status == 200 })
			qt.Assert(t, first.upstream.Announce(first.settings.AnnounceAddress), qt.IsTrue)
			say := func(call, body string) {
				t.Helper()
				r, err := http.Post("http://"+first.settings.AnnounceAddress+"/sassafrasfront/Instances."+call, "application/json", strings.NewReader(body))
				qt.Assert(t, err, qt.IsNil)
				r.Body.Close()
				qt.Assert(t, r.StatusCode, qt.Equals, 200)
			}
			if leaves {
				say("Leave/"+first.upstream.ID, "")
			}
			say("Heartbeat/i-former", fmt.Sprintf(`{"service":"a","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingS":0,"sequence":900}`, first.settings.UpstreamAddress))
			if !leaves {
				n := 0
				w.eventually("it serves again", func() bool {
					n++
					return second.ask("PUT", "/a/x", fmt.Sprint("again", n), "").status == 200
				})
				return
			}
			before := len(first.upstream.Runs())
			for n := range 100 {
				qt.Check(t, second.ask("PUT", "/a/x", fmt.Sprint("left", n), "").status, qt.Equals, 503)
			}
			qt.Check(t, len(first.upstream.Runs()), qt.Equals, before, qt.Commentf("an acknowledged leave binds"))
		})
	}
}
