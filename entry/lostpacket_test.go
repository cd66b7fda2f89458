// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/internal/simnet"
	"sassafrasfront.example/operator"
)

// TestLostPacketIsNotSilence guards against a request that is retried or fails because a single
// packet between two nodes was lost. It has to be retransmitted before the node counts as silent.
func TestLostPacketIsNotSilence(t *testing.T) {
	for name, lose := range map[string]func(w *simCluster){
		"sent by the entry node": func(w *simCluster) { w.entry.DropPackets(1) },
		"sent by the gates": func(w *simCluster) {
			for _, g := range w.gates {
				g.DropPackets(1)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for after := time.Duration(0); after < linkWork; after += 25 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					config := operator.Service{Retry: operator.Retry{MaxAttempts: 3, Ratio: 1, Burst: 10}}
					w := newSimCluster(2, &simnet.Network{Latency: time.Millisecond, WindowBytes: linkWindow, UserTimeout: linkTimeout}, config, 0)
					defer w.stop()
					time.Sleep(time.Second)
					time.AfterFunc(after, func() { lose(w) })
					_, err := w.send(w.request(true, 0))
					qt.Check(t, err, qt.IsNil)
					runs, _ := w.ran()
					qt.Check(t, runs, qt.Equals, 1, qt.Commentf("lost after %v", after))
				})
			}
		})
	}
}
