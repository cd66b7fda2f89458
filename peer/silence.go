// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peer

import (
	"fmt"
	"time"
)

// SilenceError describes the state of a connection on which nothing was received for a long
// time. It distinguishes a lost peer from a slow one, and both from a local process that
// was itself delayed.
type SilenceError struct {
	// Silence is the time since the last bytes were received.
	Silence time.Duration
	// CheckDelay is how late this process checked the connection.
	CheckDelay time.Duration
	// Pings is the number of pings sent since the last bytes were received.
	Pings int
	// BytesWritten is the number of bytes written since then.
	BytesWritten uint64
	// Pending is the number of calls and requests that wait for a response.
	Pending int
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("nothing heard for %v, with %d open, %d pings and %d bytes written since, checked %v late",
		e.Silence.Round(time.Millisecond), e.Pending, e.Pings, e.BytesWritten, e.CheckDelay.Round(time.Millisecond))
}
