// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnblocking has nobody read what is written: the writer must go on.
func TestNonBlocking(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	log := New(NonBlocking(writer), "info")
	done := make(chan struct{})
	go func() {
		for range 3 * pendingLines {
			log.Info().Msg("nobody reads this")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second): // ends a test that would never end
		qt.Assert(t, false, qt.IsTrue, qt.Commentf("the writer is blocked"))
	}
}
