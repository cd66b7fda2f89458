// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"context"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWithdrawnIsNotBadRequest guards against a call that is withdrawn from a silent peer and
// reported as its caller's fault, because its body was about to be sent at that moment.
func TestWithdrawnIsNotBadRequest(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := &link{
		conn:      newConn(near, Limits{}.withDefaults(), nil),
		exchanges: make(map[uint64]*Exchange),
	}
	defer l.closeWith(errClosed)
	x, err := l.addExchange(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, x.credit.add(10, 10), qt.IsNil)
	// The state between the two steps of handleSilence.
	qt.Assert(t, x.stage.CompareAndSwap(stagePending, stageWithdrawn), qt.IsTrue)
	x.sendBody(strings.NewReader("body"))
	select {
	case <-x.Ready():
		_, failure := x.Result()
		t.Fatalf("ended as %v", failure)
	default:
	}
}
