// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"sassafrasfront.example/gate"
	"sassafrasfront.example/upstream"
)

// TestProbeLoad has requests probe the upstream's load while it responds, and while it
// does not.
func TestProbeLoad(t *testing.T) {
	tests := map[string]struct {
		responds bool
		probes   int           // all at once
		maxWait  time.Duration // of all, at most
		received int
		limited  bool // whether the upstream advertises a limit
	}{
		"answered":                          {responds: true, probes: 1, received: 1},
		"not answered":                      {probes: 1, maxWait: loadProbeTimeout},
		"more than the burst":               {responds: true, probes: 3 * loadProbeBurst, received: loadProbeBurst},
		"the upstream advertises a limit":   {responds: true, probes: 1, limited: true},
		"more than the burst, not answered": {probes: 3 * loadProbeBurst, maxWait: loadProbeTimeout * (loadProbeBurst + 2)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				n := &Node{
					gate:           new(gate.Gate),
					loadProbes:     make(chan chan struct{}),
					loadProbeLimit: rate.NewLimiter(loadProbesPerSecond, loadProbeBurst),
				}
				if test.limited {
					n.gate.SetAnnouncement(&upstream.Announcement{StartID: "i-1"})
					n.gate.HandleNotice("i-1", upstream.Notice{Limited: true, Limit: 5})
				}
				received := 0
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					for test.responds {
						select {
						case done := <-n.loadProbes:
							received++
							close(done)
						case <-ctx.Done():
							return
						}
					}
				}()
				began := time.Now()
				for range test.probes {
					n.probeLoad(ctx)
				}
				qt.Check(t, time.Since(began) <= test.maxWait, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				cancel()
				<-ended
				qt.Check(t, received, qt.Equals, test.received)
			})
		})
	}
}
