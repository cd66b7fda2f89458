// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"time"

	"sassafrasfront.example/retryafter"
	"sassafrasfront.example/verdict"
)

// comeBack is what a caller is told to wait for where there is no estimate.
const defaultRetryAfter = time.Second

// final returns the failure as it goes to the caller: given up, and with a
// time to come back.
func finalError(e *verdict.Error) *verdict.Error {
	if e.RetryAfter == 0 && e.Status() == 503 {
		e = e.WithRetryAfter(defaultRetryAfter)
	}
	return e.WithGivenUp()
}

// final returns the failure of the request as it goes to the caller.
func (o *operation) finalError(e *verdict.Error) *verdict.Error {
	switch {
	case e.Cause == verdict.UpstreamRefused:
		e = e.WithRetryAfter(retryafter.WhenShed(o.request.Objective, e.RetryAfter))
	case o.lackedCapacity(e):
		e = e.WithRetryAfter(retryafter.WhenFull(o.request.Objective, o.expectedWait))
	}
	return finalError(e)
}

// full returns whether the request failed as there was no room for it: the last gate said
// so, or one before it did and the last upstream could not be reached.
func (o *operation) lackedCapacity(e *verdict.Error) bool {
	switch e.Cause {
	case verdict.Refused, verdict.Slowed, verdict.Draining:
		return true
	}
	info := verdict.Lookup(e.Cause)
	return len(o.refused) > 0 && info.Verdict == verdict.NotRun && info.RetryElsewhere
}

// expect takes in the wait that a gate expects which refused the request.
func (o *operation) recordExpectedWait(e *verdict.Error) {
	if e.Cause == verdict.Refused && e.RetryAfter > 0 && (o.expectedWait == 0 || e.RetryAfter < o.expectedWait) {
		o.expectedWait = e.RetryAfter
	}
}
