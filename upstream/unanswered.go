// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package upstream

import (
	"fmt"
	"time"

	"sassafrasfront.example/internal/tcp"
)

// UnansweredError describes the progress of a request that was abandoned before its response began.
// It distinguishes an upstream that does not read from one that does not respond, and both from a
// connection that does not deliver data.
type UnansweredError struct {
	// Elapsed is the time since a connection was available for the request.
	Elapsed time.Duration
	// Written is the number of bytes of the request that the kernel accepted.
	Written int64
	// Unacknowledged is the number of bytes that the upstream's kernel had not acknowledged, or
	// -1 if unknown.
	Unacknowledged int
	// PriorRequests is the number of earlier requests on the connection.
	PriorRequests int
	// Err is the reason why the request was abandoned, or nil.
	Err error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	s := fmt.Sprintf("no response for %v, with %d bytes written, %d of them unacknowledged, after %d requests on the connection",
		e.Elapsed.Round(time.Millisecond), e.Written, e.Unacknowledged, e.PriorRequests)
	if e.Err != nil {
		s = e.Err.Error() + ": " + s
	}
	return s
}

// Unwrap returns the reason why the request was abandoned.
func (e *UnansweredError) Unwrap() error { return e.Err }

// recordUnacknowledged records the number of bytes that the upstream's kernel has not acknowledged.
// The connection must be open.
func (c *conn) recordUnacknowledged() {
	n, err := tcp.UnacknowledgedBytes(c.Conn)
	if err != nil {
		n = -1
	}
	c.unacked = n
}

// unansweredError returns the progress of a request that was abandoned for a reason.
func (c *conn) unansweredError(reason error) error {
	return &UnansweredError{
		Elapsed:        time.Since(c.startedAt),
		Written:        c.bytesSent.Load(),
		Unacknowledged: c.unacked,
		PriorRequests:  c.requests - 1,
		Err:            reason,
	}
}
