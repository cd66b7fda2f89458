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

// TestNonBlocking guards against a logger that blocks when its output is not read.
func TestNonBlocking(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	log := New(NonBlocking(writer), "info")
	done := make(chan struct{})
	go func() {
		for range 3 * pendingLines {
			log.Info().Msg("not read")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second): // reached only if the writer blocks
		qt.Assert(t, false, qt.IsTrue, qt.Commentf("the writer is blocked"))
	}
}
