// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReloadedServiceIsOrigin guards against requests that run as requests of the service that was beside the
// node before its settings changed.
func TestReloadedServiceIsOrigin(t *testing.T) {
	w := newTestSystem(t)
	w.configure(1, "")
	m, other := w.add("a"), w.add("b")
	n := 0
	send := func() bool {
		n++
		return m.request("GET", "/b/x", fmt.Sprint(n), "").status == 200
	}
	origin := func() string {
		runs := other.upstream.Runs()
		return runs[len(runs)-1].Caller
	}
	w.eventually("it serves", send)
	qt.Check(t, origin(), qt.Equals, "a")
	for _, service := range []string{"b", "a"} {
		s := m.settings
		s.Service = service
		m.process.Reload(s)
		qt.Assert(t, send(), qt.IsTrue)
		qt.Check(t, origin(), qt.Equals, service, qt.Commentf("after a reload"))
	}
}
