// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/entry"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

// refuse fails a call with the given cause and Retry-After.
func refuse(c verdict.Cause, after time.Duration) gateFunc {
	return func(in *peer.InboundCall) { in.Fail(verdict.New(c, nil).WithRetryAfter(after), nil) }
}

// TestRetryAfter checks that callers are told to retry within their objective, unless a gate or
// an upstream expects a longer wait.
func TestRetryAfter(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		handlers    []gateFunc
		maxAttempts int
		least, most time.Duration
	}{
		"all are full":               {handlers: []gateFunc{fail(verdict.Refused)}, maxAttempts: 3, least: 112 * ms, most: 188 * ms},
		"all are full, few attempts": {handlers: []gateFunc{fail(verdict.Refused)}, maxAttempts: 2, least: 112 * ms, most: 188 * ms},
		"all are full for long":      {handlers: []gateFunc{refuse(verdict.Refused, 900*ms), refuse(verdict.Refused, 700*ms), refuse(verdict.Refused, 800*ms)}, maxAttempts: 3, least: 700 * ms, most: 700 * ms},
		"all have just slowed down":  {handlers: []gateFunc{fail(verdict.Slowed)}, maxAttempts: 2, least: 112 * ms, most: 188 * ms},
		"upstreams refuse":           {handlers: []gateFunc{fail(verdict.UpstreamRefused)}, maxAttempts: 2, least: 30 * ms, most: 70 * ms},
		"upstreams ask for more":     {handlers: []gateFunc{refuse(verdict.UpstreamRefused, 2*time.Second)}, maxAttempts: 2, least: 2 * time.Second, most: 2 * time.Second},
		"all but one that is gone":   {handlers: []gateFunc{fail(verdict.Refused), fail(verdict.Refused), fail(verdict.UpstreamDialFailed)}, maxAttempts: 3, least: 112 * ms, most: 188 * ms},
		"no connection":              {handlers: []gateFunc{fail(verdict.UpstreamDialFailed)}, maxAttempts: 2, least: time.Second, most: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, _ := newDispatcher(t, operator.Service{Retry: operator.Retry{MaxAttempts: test.maxAttempts, Ratio: 0.1, Burst: 5}}, 3, test.handlers...)
			_, failure := d.Do(t.Context(), &entry.Request{
				Service:   "service",
				Class:     "default",
				Method:    "GET",
				Target:    "/",
				Objective: time.Second,
				Deadline:  time.Now().Add(10 * time.Second),
			})
			qt.Assert(t, failure, qt.IsNotNil)
			qt.Check(t, failure.GivenUp, qt.IsTrue)
			qt.Check(t, failure.RetryAfter >= test.least && failure.RetryAfter <= test.most, qt.IsTrue, qt.Commentf("%v after %v", failure.RetryAfter, failure))
		})
	}
}
