// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/claim"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

const (
	// IdempotencyKey is the header field that identifies a request that the caller may
	// retry.
	IdempotencyKey = "Idempotency-Key"
	// ReplayedHeader, if it is "true", marks the stored response of an earlier attempt.
	ReplayedHeader = "Sassafras-Replayed"
)

// serveClaimed runs a request if no earlier attempt of it has been claimed, and otherwise
// responds with what that attempt stored.
func (x *exchange) serveClaimed(ctx context.Context, s *entry.Service, q *entry.Request, key string) (truncated bool) {
	store := x.handler.Claims
	switch {
	case store == nil:
		x.writeFailure(verdict.New(verdict.ClaimFailed, eris.New("this node has no platform on which to claim the request")))
		return false
	case !store.Allow(s.Name, s.Config.Resend.WritesPerSecond):
		x.writeFailure(verdict.New(verdict.ClaimFailed, eris.New("the service's budget of claims per second is spent")))
		return false
	}
	c, stored, failure := store.Begin(ctx, claim.Request{
		Service:   s.Name,
		Key:       key,
		Parts:     []string{q.Method, q.Target, string(q.Body)},
		Retention: s.Config.Resend.Retention.Std(),
	})
	switch {
	case failure != nil:
		x.writeFailure(failure.WithGivenUp())
		return false
	case stored != nil:
		x.w.Header().Set(ReplayedHeader, "true")
		return x.writeResponse(storedResult(stored))
	}
	return x.dispatch(ctx, q, &claimRecorder{claim: c})
}

// storedResult returns a stored response as a result.
func storedResult(s *claim.StoredResponse) *entry.Result {
	return &entry.Result{
		Response: &peer.Response{
			Status:  s.Status,
			Header:  s.Header,
			Length:  int64(len(s.Body)),
			Body:    bytes.NewReader(s.Body),
			Trailer: func() []peer.Field { return nil },
		},
	}
}

// claimRecorder records the outcome of a claimed request. A nil claimRecorder does nothing.
type claimRecorder struct {
	claim      *claim.Claim
	response   *claim.StoredResponse
	body       bytes.Buffer
	storesBody bool
}

// recordResult records the outcome of the request. The body of a small response is copied while
// it is forwarded.
func (cr *claimRecorder) recordResult(result *entry.Result, failure *verdict.Error) {
	switch {
	case cr == nil:
	case failure != nil:
		if failure.Verdict() == verdict.NotRun {
			cr.claim.Release()
		}
	default:
		cr.response = &claim.StoredResponse{
			Status: result.Status,
			Header: result.Header,
		}
		if cr.storesBody = result.Length >= 0 && result.Length <= claim.MaxBodyBytes; cr.storesBody {
			result.Body = io.TeeReader(result.Body, &cr.body)
		}
	}
}

// recordEnd records that the response has been forwarded, or was truncated.
func (cr *claimRecorder) recordEnd(truncated bool) {
	switch {
	case cr == nil:
	case truncated || !cr.storesBody || cr.response.Status >= http.StatusInternalServerError:
		cr.claim.Finish(nil)
	default:
		cr.response.Body = cr.body.Bytes()
		cr.claim.Finish(cr.response)
	}
}
