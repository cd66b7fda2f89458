// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestParallelAttemptsWithinLimit guards against a request that is sent to more upstreams than its
// route allows, or run twice though it is not idempotent, when one node after the other falls silent.
func TestParallelAttemptsWithinLimit(t *testing.T) {
	for name, test := range map[string]struct {
		attempts   int
		idempotent bool
	}{
		"one":                 {attempts: 1, idempotent: true},
		"two":                 {attempts: 2, idempotent: true},
		"three":               {attempts: 3, idempotent: true},
		"two, not idempotent": {attempts: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := hedgeConfig()
				c.Retry = retryConfig().Retry
				c.Retry.MaxAttempts = 6
				w := newSimCluster(6, fastNetwork(), c, 0)
				defer w.stop()
				fail := false
				w.handle = func(node string, in *peer.InboundCall) {
					if !fail {
						_ = in.Reply(&peer.ResponseHead{Status: 200})
						return
					}
					w.Host(node).PauseLink(900 * time.Millisecond)
					time.Sleep(100 * time.Millisecond)
					in.Fail(verdict.New(verdict.UpstreamLost, nil), nil)
				}
				time.Sleep(time.Second)
				for range 100 {
					_, err := w.sendTo("/warm", true)
					qt.Assert(t, err, qt.IsNil)
				}
				fail = true
				r := w.requestTo("/", test.idempotent)
				r.MaxAttempts = test.attempts
				r.Deadline = time.Now().Add(20 * time.Second)
				_, err := w.send(r)
				qt.Check(t, err, qt.IsNotNil)
				most := test.attempts
				if !test.idempotent {
					most = 1
				}
				qt.Check(t, len(w.callsOf("/")) <= most, qt.IsTrue, qt.Commentf("%d upstreams", len(w.callsOf("/"))))
				t.Log(len(w.callsOf("/")))
				time.Sleep(time.Minute)
			})
		})
	}
}
