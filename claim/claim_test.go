// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package claim_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/claim"
	"sassafrasfront.example/internal/objectapitest"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/verdict"
)

func newStore(t *testing.T) (*objectapitest.Server, *claim.Store) {
	t.Helper()
	s := new(objectapitest.Server)
	h := httptest.NewServer(s)
	l := &claim.Store{
		API:  &objectapi.Client{JSONClient: objectapi.JSONClient{URL: h.URL, Timeout: 300 * time.Millisecond}, Namespace: "test"},
		Node: "n1",
	}
	t.Cleanup(func() {
		s.SetFaults(objectapitest.Faults{})
		l.Wait()
		h.CloseClientConnections()
		h.Close()
	})
	return s, l
}

func request(parts ...string) claim.Request {
	return claim.Request{Service: "pledgebook", Key: "k", Parts: parts, Retention: time.Hour}
}

// TestDuplicateRequest checks the result of a second claim of the same key, by the progress of the first one.
func TestDuplicateRequest(t *testing.T) {
	kept := &claim.StoredResponse{Status: 201, Body: []byte("letter 7")}
	tests := map[string]struct {
		first       func(c *claim.Claim)
		parts       []string
		want        verdict.Cause // of the failure, or empty
		runs        bool
		hasResponse bool
	}{
		"the first is running":              {first: func(*claim.Claim) {}, parts: []string{"a"}, want: verdict.ResendUnderway},
		"the first has completed":           {first: func(c *claim.Claim) { c.Finish(kept) }, parts: []string{"a"}, hasResponse: true},
		"the response is not kept":          {first: func(c *claim.Claim) { c.Finish(nil) }, parts: []string{"a"}, want: verdict.ResendNotKept},
		"the first did not run":             {first: func(c *claim.Claim) { c.Release() }, parts: []string{"a"}, runs: true},
		"another request, the same key":     {first: func(c *claim.Claim) { c.Finish(kept) }, parts: []string{"b"}, want: verdict.ResendMismatch},
		"parts with the same concatenation": {first: func(c *claim.Claim) { c.Finish(kept) }, parts: []string{"", "a"}, want: verdict.ResendMismatch},
		"another request, first running":    {first: func(*claim.Claim) {}, parts: []string{"b"}, want: verdict.ResendMismatch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			_, store := newStore(t)
			c, _, failed := store.Begin(ctx, request("a"))
			qt.Assert(t, failed == nil, qt.IsTrue)
			test.first(c)
			store.Wait()
			c, response, failed := store.Begin(ctx, request(test.parts...))
			qt.Check(t, c != nil, qt.Equals, test.runs)
			qt.Check(t, response != nil, qt.Equals, test.hasResponse)
			if test.want == "" {
				qt.Assert(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
			} else {
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, failed.Cause, qt.Equals, test.want)
			}
			if test.hasResponse {
				qt.Check(t, response, qt.DeepEquals, kept)
			}
		})
	}
}

// TestFaults checks that under each fault of the platform a request either gets the claim or is refused as not
// run.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults objectapitest.Faults
		want   verdict.Cause
	}{
		"none":           {},
		"down":           {faults: objectapitest.Faults{Down: true}, want: verdict.ClaimFailed},
		"hangs":          {faults: objectapitest.Faults{Hang: true}, want: verdict.ClaimFailed},
		"fails":          {faults: objectapitest.Faults{FailureRatio: 1}, want: verdict.ClaimFailed},
		"lost responses": {faults: objectapitest.Faults{LoseWrites: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, l := newStore(t)
			s.SetFaults(test.faults)
			c, _, failed := l.Begin(context.Background(), request("a"))
			qt.Check(t, c != nil, qt.Equals, test.want == "")
			if test.want != "" {
				qt.Assert(t, failed != nil, qt.IsTrue)
				qt.Check(t, failed.Cause, qt.Equals, test.want)
				qt.Check(t, failed.Verdict(), qt.Equals, verdict.NotRun)
				qt.Check(t, failed.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

// lateResponseAPI is an API whose Create succeeds, but whose caller is cancelled before the response arrives.
type lateResponseAPI struct {
	objectapi.API
	cancelCaller func()
}

func (x *lateResponseAPI) Create(ctx context.Context, o *objectapi.Object) (*objectapi.Object, error) {
	if _, err := x.API.Create(ctx, o); err != nil {
		return nil, err
	}
	x.cancelCaller()
	return nil, &objectapi.Error{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
}

// TestUnansweredClaimIsWithdrawn guards against a request that can't be sent again although it was refused as
// not run: the platform had stored the claim, but its response came too late.
func TestUnansweredClaimIsWithdrawn(t *testing.T) {
	s, l := newStore(t)
	api := l.API
	ctx, cancel := context.WithCancel(context.Background())
	l.API = &lateResponseAPI{API: api, cancelCaller: cancel}
	_, _, failed := l.Begin(ctx, request("a"))
	qt.Assert(t, failed != nil, qt.IsTrue)
	qt.Check(t, failed.Cause, qt.Equals, verdict.ClaimFailed)
	qt.Check(t, failed.Verdict(), qt.Equals, verdict.NotRun)
	l.Wait()
	l.API = api
	c, _, failed := l.Begin(context.Background(), request("a"))
	qt.Check(t, failed == nil, qt.IsTrue, qt.Commentf("%v", failed))
	qt.Check(t, c != nil, qt.IsTrue)

	s.SetFaults(objectapitest.Faults{Hang: true})
	_, _, failed = l.Begin(context.Background(), request("a"))
	qt.Assert(t, failed != nil, qt.IsTrue)
	s.SetFaults(objectapitest.Faults{})
	l.Wait()
	_, _, failed = l.Begin(context.Background(), request("a"))
	qt.Assert(t, failed != nil, qt.IsTrue)
	qt.Check(t, failed.Cause, qt.Equals, verdict.ResendUnderway, qt.Commentf("the other request's claim stays"))
}

// TestOneOfManyRuns sends the same request through many nodes concurrently, while the platform loses responses.
func TestOneOfManyRuns(t *testing.T) {
	s, l := newStore(t)
	s.SetFaults(objectapitest.Faults{LoseWrites: 0.3})
	var runs atomic.Int32
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			other := &claim.Store{API: l.API, Node: "other"}
			c, _, _ := other.Begin(context.Background(), request("a"))
			if c != nil {
				runs.Add(1)
				c.Finish(nil)
				other.Wait()
			}
		})
	}
	all.Wait()
	qt.Check(t, runs.Load(), qt.Equals, int32(1))
}

func TestBudget(t *testing.T) {
	var l claim.Store
	var allowed int
	for range 100 {
		if l.Allow("a", 5) {
			allowed++
		}
	}
	qt.Check(t, allowed >= 5 && allowed <= 7, qt.IsTrue, qt.Commentf("%d", allowed))
	qt.Check(t, l.Allow("b", 5), qt.IsTrue)
}

func TestSweep(t *testing.T) {
	ctx := context.Background()
	_, l := newStore(t)
	for _, key := range []string{"a", "b"} {
		r := request("x")
		r.Key = key
		if key == "b" {
			r.Retention = 24 * time.Hour
		}
		_, _, failed := l.Begin(ctx, r)
		qt.Assert(t, failed == nil, qt.IsTrue)
	}
	n, err := claim.Sweep(ctx, l.API, time.Now().Add(2*time.Hour))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, n, qt.Equals, 1)
	left, err := l.API.List(ctx, operator.KindClaim)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, left.Items, qt.HasLen, 1)
}
