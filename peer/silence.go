// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"fmt"
	"time"
)

// SilenceError says how a connection stood on which nothing was heard for long. It tells a peer
// that is gone from one that is slow, and both from a process that was late itself.
type SilenceError struct {
	// Silence is the time since the last bytes arrived.
	Silence time.Duration
	// Late is how much later than it was due this process looked at the connection.
	CheckDelay time.Duration
	// Pings is the number of pings sent since the last bytes arrived.
	Pings int
	// Written is the number of bytes written since then.
	BytesWritten uint64
	// Open is the number of calls and requests that wait for an answer.
	Pending int
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("nothing heard for %v, with %d open, %d pings and %d bytes written since, looked at %v late",
		e.Silence.Round(time.Millisecond), e.Pending, e.Pings, e.BytesWritten, e.CheckDelay.Round(time.Millisecond))
}
