// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package verdict

import (
	"errors"
	"time"
)

// Error is a failed request together with its verdict. All layers return
// their failures as an *Error.
type Error struct {
	// Cause says what went wrong.
	Cause Cause
	// RetryAfter is how long the caller should wait before it retries. Zero means
	// that there is no estimate.
	RetryAfter time.Duration
	// GivenUp is whether a hop nearer the upstream has used up its attempts. No
	// hop retries such a request.
	GivenUp bool
	// Err is the underlying error, or nil.
	Err error
}

// New returns an error with the given cause.
func New(c Cause, err error) *Error {
	return &Error{
		Cause: c,
		Err:   err,
	}
}

// WithRetryAfter returns a copy of e with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithGivenUp returns a copy of e that is marked as given up.
func (e *Error) WithGivenUp() *Error {
	c := *e
	c.GivenUp = true
	return &c
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := string(e.Cause) + " (" + e.Verdict().String() + ")"
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Verdict returns whether the request may have run.
func (e *Error) Verdict() Verdict { return Lookup(e.Cause).Verdict }

// Status returns the HTTP status that is sent to the caller.
func (e *Error) Status() int { return Lookup(e.Cause).Status }

// MayRepeat returns whether sending the request to another upstream is both
// safe and useful. A request that has not run is safe to repeat, one that may
// have run only if it is idempotent, and one that ran never is. Package retry
// accounts for budgets and deadlines.
func (e *Error) MayRepeat(idempotent bool) bool {
	info := Lookup(e.Cause)
	if e.GivenUp || !info.RetryElsewhere {
		return false
	}
	switch info.Verdict {
	case NotRun:
		return true
	case MayHaveRun:
		return idempotent
	default:
		return false
	}
}

// As returns the *Error in the chain of err. An error without one is wrapped
// with the given cause. As returns nil if err is nil.
func As(err error, otherwise Cause) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return New(otherwise, err)
}
