// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"fmt"
	"time"

	"sassafrasfront.example/internal/tcp"
)

// UnansweredError says how far a request had come that was given up on before its answer began. It
// tells an upstream that does not read from one that does not answer, and both from a connection
// that carries nothing.
type UnansweredError struct {
	// Took is the time since a connection was there for the request.
	Elapsed time.Duration
	// Written is how many bytes of the request the kernel took.
	Written int64
	// Unacknowledged is how many bytes the upstream's kernel had not acknowledged, or -1 if that
	// is not known.
	Unacknowledged int
	// Before is the number of requests that the connection had carried before.
	PriorRequests int
	// Err is why the request was given up on, or nil.
	Err error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	s := fmt.Sprintf("no answer for %v, with %d bytes written, %d of them unacknowledged, after %d requests on the connection",
		e.Elapsed.Round(time.Millisecond), e.Written, e.Unacknowledged, e.PriorRequests)
	if e.Err != nil {
		s = e.Err.Error() + ": " + s
	}
	return s
}

// Unwrap returns why the request was given up on.
func (e *UnansweredError) Unwrap() error { return e.Err }

// countUnacknowledged notes what the upstream's kernel has not acknowledged, while the connection
// is open.
func (c *conn) recordUnacknowledged() {
	n, err := tcp.Unacknowledged(c.Conn)
	if err != nil {
		n = -1
	}
	c.unacked = n
}

// unanswered returns how far the request had come that was given up on for a reason.
func (c *conn) unansweredError(reason error) error {
	return &UnansweredError{
		Elapsed:        time.Since(c.startedAt),
		Written:        c.bytesSent.Load(),
		Unacknowledged: c.unacked,
		PriorRequests:  c.requests - 1,
		Err:            reason,
	}
}
