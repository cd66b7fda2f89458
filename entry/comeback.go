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
const comeBack = time.Second

// final returns the failure as it goes to the caller: given up, and with a
// time to come back.
func final(e *verdict.Error) *verdict.Error {
	if e.RetryAfter == 0 && e.Status() == 503 {
		e = e.WithRetryAfter(comeBack)
	}
	return e.WithGivenUp()
}

// final returns the failure of the request as it goes to the caller.
func (f *flight) final(e *verdict.Error) *verdict.Error {
	switch {
	case e.Cause == verdict.UpstreamRefused:
		e = e.WithRetryAfter(retryafter.WhenShed(f.request.Objective, e.RetryAfter))
	case f.full(e):
		e = e.WithRetryAfter(retryafter.WhenFull(f.request.Objective, f.expected))
	}
	return final(e)
}

// full returns whether the request failed as there was no room for it: the last gate said
// so, or one before it did and the last upstream could not be reached.
func (f *flight) full(e *verdict.Error) bool {
	switch e.Cause {
	case verdict.Refused, verdict.Slowed, verdict.Draining:
		return true
	}
	entry := verdict.Lookup(e.Cause)
	return len(f.refused) > 0 && entry.Verdict == verdict.NotRun && entry.RetryElsewhere
}

// expect takes in the wait that a gate expects which refused the request.
func (f *flight) expect(e *verdict.Error) {
	if e.Cause == verdict.Refused && e.RetryAfter > 0 && (f.expected == 0 || e.RetryAfter < f.expected) {
		f.expected = e.RetryAfter
	}
}
