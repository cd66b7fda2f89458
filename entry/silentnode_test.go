// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// TestSilentNodeIsRemembered guards against successive requests that each wait for a node that has
// lost power to be found silent. This happens if the node counts as responsive again as soon as the
// previous request has been answered elsewhere and none is open there.
func TestSilentNodeIsRemembered(t *testing.T) {
	for _, gates := range []int{2, 6} {
		t.Run(fmt.Sprint(gates, " gates"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimCluster(gates, fastNetwork(), retryConfig(), 0)
				defer w.stop()
				dead := ""
				w.handle = func(node string, in *peer.InboundCall) {
					if dead == "" && in.Call.Target == "/first" {
						dead = node
						w.Host(node).PowerOff()
						return
					}
					_ = in.Reply(&peer.ResponseHead{Status: 200, Body: []byte(node)})
				}
				time.Sleep(time.Second)
				for i := range 30 { // earns retry budget
					_, err := w.sendTo(fmt.Sprint("/before/", i), true)
					qt.Assert(t, err, qt.IsNil)
				}
				_, err := w.sendTo("/first", true)
				qt.Check(t, err, qt.IsNil)
				late := 0
				for i := range 200 {
					began := time.Now()
					_, err := w.sendTo(fmt.Sprint("/", i), true)
					qt.Check(t, err, qt.IsNil)
					if took := time.Since(began); took > 100*time.Millisecond {
						t.Logf("request %d took %v", i, took)
						late++
					}
					time.Sleep(5 * time.Millisecond)
				}
				qt.Check(t, late, qt.Equals, 0)
				time.Sleep(time.Minute)
			})
		})
	}
}
