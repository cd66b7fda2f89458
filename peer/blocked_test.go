// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// TestBlockedWriter guards against calls that wait beyond their deadlines behind a call that
// is being written to a peer which reads nothing.
func TestBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &peer.Client{
			Limits: peer.Limits{WriteTimeout: time.Minute},
			Dial: func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() { _, _ = far.Write(skipFrame(far)) }() // the client's own hello is valid
				return near, nil
			},
		}
		defer c.Close()
		began := time.Now()
		go func() { _, _ = c.Start(t.Context(), newCall(), nil) }()
		synctest.Wait()
		m := newCall()
		m.Remaining = time.Second
		_, failure := c.Start(context.Background(), m, nil)
		qt.Assert(t, failure != nil, qt.IsTrue)
		qt.Check(t, failure.Cause, qt.Equals, verdict.NotWritten)
		qt.Check(t, time.Since(began), qt.Equals, time.Second)
	})
}
