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
	// pendingLines is the number of lines that may wait to be written. If there are more,
	// the oldest are dropped.
	pendingLines = 4096
	// pollInterval is the time between two checks for lines to write.
	pollInterval = 50 * time.Millisecond
)

// NonBlocking returns a writer that never waits for w: lines that w does not accept in time
// are dropped, and their number is written instead. Its Close writes the pending lines.
func NonBlocking(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, pendingLines, pollInterval, func(missed int) {
		_, _ = fmt.Fprintf(w, "level=warn event=\"log lines dropped\" count=%d\n", missed)
	})
}
