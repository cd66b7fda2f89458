// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestTooManyCalls guards against the loss of all calls of a connection because one call exceeds
// the limit, while calls that their sender has cancelled have not ended yet.
func TestTooManyCalls(t *testing.T) {
	const maxCalls = 4
	began := make(chan struct{}, maxCalls)
	end := make(chan struct{})
	_, c := serve(t, peer.Limits{MaxOpenCalls: maxCalls}, func(in *peer.InboundCall) {
		began <- struct{}{}
		<-end
		_ = in.Reply(&peer.ResponseHead{Status: 200})
	})
	var kept []*peer.Exchange
	for i := range maxCalls {
		x, failure := c.Start(context.Background(), newCall(), nil)
		qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		<-began
		if i > 0 {
			kept = append(kept, x)
			continue
		}
		x.Close() // its handler continues
	}
	x, failure := c.Start(context.Background(), newCall(), nil)
	qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	select {
	case <-x.Ready():
	case <-time.After(time.Minute):
		t.Fatal("no response to the call over the limit")
	}
	_, failure = x.Result()
	qt.Assert(t, failure != nil, qt.IsTrue)
	qt.Check(t, failure.Cause, qt.Equals, verdict.Refused)
	close(end)
	for _, x := range kept {
		_, failure := x.Wait()
		qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	}
}
