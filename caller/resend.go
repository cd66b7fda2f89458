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
	// IdempotencyKey is the header by which a caller names a request that it may
	// send again.
	IdempotencyKey = "Idempotency-Key"
	// ReplayedHeader, if it is "true", says that an answer was kept from an
	// earlier sending.
	ReplayedHeader = "Sassafras-Replayed"
)

// claimed runs a request if no other sending of it has been claimed, and
// otherwise answers from what that one left.
func (x *exchange) serveClaimed(ctx context.Context, s *entry.Service, q *entry.Request, key string) (truncated bool) {
	store := x.handler.Claims
	switch {
	case store == nil:
		x.writeFailure(verdict.New(verdict.ClaimFailed, eris.New("this node has no platform to claim the request on")))
		return false
	case !store.Allow(s.Name, s.Config.Resend.WritesPerSecond):
		x.writeFailure(verdict.New(verdict.ClaimFailed, eris.New("over the service's budget of claims")))
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

// replay returns a kept answer as a result.
func storedResult(a *claim.StoredResponse) *entry.Result {
	return &entry.Result{
		Response: &peer.Response{
			Status:  a.Status,
			Header:  a.Header,
			Length:  int64(len(a.Body)),
			Body:    bytes.NewReader(a.Body),
			Trailer: func() []peer.Field { return nil },
		},
	}
}

// keeper writes down what becomes of a claimed request. A nil keeper does
// nothing.
type claimRecorder struct {
	claim      *claim.Claim
	response   *claim.StoredResponse
	body       bytes.Buffer
	storesBody bool
}

// begin takes in the outcome of the request. The body of a small answer is
// copied as it is passed on.
func (k *claimRecorder) recordResult(result *entry.Result, failure *verdict.Error) {
	switch {
	case k == nil:
	case failure != nil:
		if failure.Verdict() == verdict.NotRun {
			k.claim.Release()
		}
	default:
		k.response = &claim.StoredResponse{
			Status: result.Status,
			Header: result.Header,
		}
		if k.storesBody = result.Length >= 0 && result.Length <= claim.MaxBodyBytes; k.storesBody {
			result.Body = io.TeeReader(result.Body, &k.body)
		}
	}
}

// end takes in that the answer has been passed on, or was cut.
func (k *claimRecorder) recordEnd(truncated bool) {
	switch {
	case k == nil:
	case truncated || !k.storesBody || k.response.Status >= http.StatusInternalServerError:
		k.claim.Finish(nil)
	default:
		k.response.Body = k.body.Bytes()
		k.claim.Finish(k.response)
	}
}
