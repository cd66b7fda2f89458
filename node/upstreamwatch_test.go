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

// TestAskLoad has requests ask for the upstream's speed while it answers, and while
// it does not.
func TestAskLoad(t *testing.T) {
	tests := map[string]struct {
		answers bool
		asks    int           // all at once
		took    time.Duration // by each, at most
		heard   int
		limited bool // whether the upstream names a limit
	}{
		"answered":                   {answers: true, asks: 1, heard: 1},
		"not answered":               {asks: 1, took: askTimeout},
		"more than may ask":          {answers: true, asks: 3 * askBurst, heard: askBurst},
		"the upstream names a limit": {answers: true, asks: 1, limited: true},
		"more, and nothing answered": {asks: 3 * askBurst, took: askTimeout * (askBurst + 2)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				n := &Node{
					gate:      new(gate.Gate),
					loadAsked: make(chan chan struct{}),
					asks:      rate.NewLimiter(askRate, askBurst),
				}
				if test.limited {
					n.gate.SetAnnouncement(&upstream.Announcement{StartID: "i-1"})
					n.gate.HandleNotice("i-1", upstream.Notice{Limited: true, Limit: 5})
				}
				heard := 0
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					for test.answers {
						select {
						case told := <-n.loadAsked:
							heard++
							close(told)
						case <-ctx.Done():
							return
						}
					}
				}()
				began := time.Now()
				for range test.asks {
					n.askLoad(ctx)
				}
				qt.Check(t, time.Since(began) <= test.took, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				cancel()
				<-ended
				qt.Check(t, heard, qt.Equals, test.heard)
			})
		})
	}
}
