// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"time"

	"sassafrasfront.example/retryafter"
	"sassafrasfront.example/verdict"
)

// defaultRetryAfter is the Retry-After of a failure for which there is no estimate.
const defaultRetryAfter = time.Second

// finalError returns the failure as it is returned to the caller: given up, and
// with a Retry-After if its status is 503.
func finalError(e *verdict.Error) *verdict.Error {
	if e.RetryAfter == 0 && e.Status() == 503 {
		e = e.WithRetryAfter(defaultRetryAfter)
	}
	return e.WithGivenUp()
}

// finalError returns the failure of the request as it is returned to the caller.
func (o *operation) finalError(e *verdict.Error) *verdict.Error {
	switch {
	case e.Cause == verdict.UpstreamRefused:
		e = e.WithRetryAfter(retryafter.WhenShed(o.request.Objective, e.RetryAfter))
	case o.lackedCapacity(e):
		e = e.WithRetryAfter(retryafter.WhenFull(o.request.Objective, o.expectedWait))
	}
	return finalError(e)
}

// lackedCapacity returns whether the request failed for lack of capacity: either the last gate
// refused it, or an earlier one did and the last upstream could not be reached.
func (o *operation) lackedCapacity(e *verdict.Error) bool {
	switch e.Cause {
	case verdict.Refused, verdict.Slowed, verdict.Draining:
		return true
	}
	info := verdict.Lookup(e.Cause)
	return len(o.refused) > 0 && info.Verdict == verdict.NotRun && info.RetryElsewhere
}

// recordExpectedWait records the wait that is expected by a gate which refused the request.
func (o *operation) recordExpectedWait(e *verdict.Error) {
	if e.Cause == verdict.Refused && e.RetryAfter > 0 && (o.expectedWait == 0 || e.RetryAfter < o.expectedWait) {
		o.expectedWait = e.RetryAfter
	}
}
