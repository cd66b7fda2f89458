// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package logfmt

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// pendingLines is the number of lines that may wait to be written. More are
	// dropped, the oldest first.
	pendingLines = 4096
	// pollEvery is the time between two looks for lines to write.
	pollInterval = 50 * time.Millisecond
)

// Unblocking returns a writer that never waits for w: lines that w does not take
// in time are dropped, and their number is written in their place. Its Close
// writes what is pending.
func NonBlocking(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, pendingLines, pollInterval, func(missed int) {
		_, _ = fmt.Fprintf(w, "level=warn event=\"log lines dropped\" count=%d\n", missed)
	})
}
