// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ratelimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"sassafrasfront.example/organisation"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/quota"
	"sassafrasfront.example/ratelimit"
	"sassafrasfront.example/verdict"
)

// runLimiter calls f with a running Limiter that is its own coordinator.
func runLimiter(t *testing.T, f func(t *testing.T, l *ratelimit.Limiter)) {
	synctest.Test(t, func(t *testing.T) {
		l := &ratelimit.Limiter{
			Bounds:       quota.Bounds{Window: 5 * time.Second},
			Hello:        peer.Hello{Node: "n1", Control: true},
			Coordinators: func() []ratelimit.Peer { return []ratelimit.Peer{} },
			Members:      func() int { return 1 },
			Log:          zerolog.Nop(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(done)
		}()
		f(t, l)
		cancel()
		<-done
	})
}

// set returns organisations of which o has a limit of ten a second.
func set(t *testing.T) *organisation.Set {
	s, err := organisation.NewSet([]organisation.Organisation{{Name: "o", Rate: 10, Burst: 5}, {Name: "free"}})
	qt.Assert(t, err, qt.IsNil)
	return s
}

var (
	request = ratelimit.Request{Organisation: "o", Remaining: time.Second}
	free    = ratelimit.Request{Organisation: "free", Remaining: time.Second}
)

// TestAdmit checks that requests are admitted within the limit, and why others are refused.
func TestAdmit(t *testing.T) {
	runLimiter(t, func(t *testing.T, l *ratelimit.Limiter) {
		ctx := t.Context()
		for range 100 {
			_, failure := l.Admit(ctx, request)
			qt.Assert(t, failure == nil, qt.IsTrue, qt.Commentf("nothing is limited yet"))
		}
		l.SetStoredNodes(1)
		l.SetOrganisations(set(t))
		_, failure := l.Admit(ctx, request)
		qt.Assert(t, failure, qt.IsNotNil)
		qt.Check(t, failure.Cause, qt.Equals, verdict.LimitUnknown, qt.Commentf("its share may still be held elsewhere"))
		qt.Check(t, failure.RetryAfter > 0, qt.IsTrue)
		_, failure = l.Admit(ctx, free)
		qt.Check(t, failure == nil, qt.IsTrue)

		time.Sleep(3 * time.Second)
		var granted int
		var permits []*ratelimit.Permit
		for granted = 0; ; granted++ {
			permit, refused := l.Admit(ctx, request)
			if failure = refused; refused != nil {
				break
			}
			permits = append(permits, permit)
		}
		qt.Check(t, granted >= 5 && granted < 30, qt.IsTrue, qt.Commentf("%d", granted))
		qt.Check(t, failure.Cause, qt.Equals, verdict.RateLimited)
		qt.Check(t, failure.Status(), qt.Equals, 429)
		permits[len(permits)-1].Refund()
		time.Sleep(failure.RetryAfter)
		_, failure = l.Admit(ctx, request)
		qt.Check(t, failure == nil, qt.IsTrue, qt.Commentf("it retries after RetryAfter"))

		u := l.Usages(ctx, 10)
		qt.Assert(t, u, qt.HasLen, 1)
		qt.Check(t, u[0].Limited, qt.Equals, uint64(1))
		qt.Check(t, u[0].LocalRate > 0 && u[0].TotalRate > 0, qt.IsTrue)
		l.SetOrganisations(nil)
		for range 100 {
			_, failure := l.Admit(ctx, request)
			qt.Assert(t, failure == nil, qt.IsTrue)
		}
	})
}

// TestCallerLeaves has a caller give up while its request waits for a coordinator.
func TestCallerLeaves(t *testing.T) {
	runLimiter(t, func(t *testing.T, l *ratelimit.Limiter) {
		l.SetOrganisations(set(t))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, failure := l.Admit(ctx, request)
		qt.Assert(t, failure, qt.IsNotNil)
		qt.Check(t, failure.Verdict(), qt.Equals, verdict.NotRun)
		qt.Check(t, time.Since(began), qt.Equals, 10*time.Millisecond)
		qt.Check(t, l.State().Waiting, qt.Equals, 0)
	})
}

// TestHandleInvalid has peers send invalid requests.
func TestHandleInvalid(t *testing.T) {
	runLimiter(t, func(t *testing.T, l *ratelimit.Limiter) {
		for name, payload := range map[string][]byte{
			"nothing":         nil,
			"not a map":       {0xc0 + 1},
			"too long a list": {0xdd, 0xff, 0xff, 0xff, 0xff},
		} {
			_, err := l.Handle(peer.Hello{Node: "n2"}, payload)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf(name))
			_, err = l.HandleRates(peer.Hello{Node: "n2"}, payload)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf(name))
		}
	})
}
