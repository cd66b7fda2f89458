// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/verdict"
)

const (
	// MaxBodyBytes is the largest body of a response that is kept.
	MaxBodyBytes = 64 << 10
	// beginTimeout bounds the creation of a claim, and finishTimeout later updates such as the writing of
	// the response.
	beginTimeout  = 2 * time.Second
	finishTimeout = 10 * time.Second
	// retryDelay is the delay after which a caller may resend a request that is still running, to get its
	// outcome.
	retryDelay = time.Second
)

// State is the progress of a claimed request.
type State string

const (
	// Claimed means that the request may run, or may have run.
	Claimed State = "claimed"
	// Completed means that it has run.
	Completed State = "answered"
)

// Record is the spec of a Claim object.
type Record struct {
	Service string `json:"service"`
	// Fingerprint distinguishes the request from others that use the same key by mistake.
	Fingerprint string `json:"fingerprint"`
	// Node is the node that created the claim.
	Node string `json:"node"`
	// ID is unique to the claim, also among those of the same request and node.
	ID string `json:"id,omitempty"`
	// ExpiresAt is when the claim may be deleted.
	ExpiresAt time.Time `json:"until"`
	State     State     `json:"state"`
	// Response is the response, if there is one and it is kept.
	Response *StoredResponse `json:"answer,omitempty"`
}

// StoredResponse is a response that is kept for resent requests.
type StoredResponse struct {
	Status int          `json:"status"`
	Header []peer.Field `json:"header"`
	Body   []byte       `json:"body"`
}

// Request identifies a request to claim.
type Request struct {
	// Service is the name of its service, and Key the idempotency key chosen by the caller.
	Service, Key string
	// Parts are the inputs of the fingerprint, such as method, target and body.
	Parts []string
	// Retention is how long the claim is kept.
	Retention time.Duration
}

// Store creates and updates claims. The exported fields are set before the first call.
type Store struct {
	// API is the platform.
	API objectapi.API
	// Node is the name of this node.
	Node string

	mu      sync.Mutex
	budgets map[string]*rate.Limiter // by service
	pending sync.WaitGroup
}

// Claim is the right to run a request.
type Claim struct {
	store  *Store
	object *objectapi.Object
	record Record
}

// Allow returns whether the service may make another claim within its budget per second, and spends one if so.
func (s *Store) Allow(service string, perSecond float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budgets == nil {
		s.budgets = make(map[string]*rate.Limiter)
	}
	b := s.budgets[service]
	if b == nil || float64(b.Limit()) != perSecond {
		b = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		s.budgets[service] = b
	}
	return b.Allow()
}

// Begin claims a request. Exactly one of the results is not nil: the claim, if the request has to be run; the
// response, if the request has run and the response was kept; or the failure.
func (s *Store) Begin(ctx context.Context, r Request) (*Claim, *StoredResponse, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	own := Record{
		Service:     r.Service,
		Fingerprint: digest(r.Parts...),
		Node:        s.Node,
		ID:          rand.Text(),
		ExpiresAt:   time.Now().Add(r.Retention).UTC(),
		State:       Claimed,
	}
	name := digest(r.Service, r.Key)
	written, err := objectapi.Put(ctx, s.API, objectapi.NewObject(operator.KindClaim, name, own))
	if err == nil {
		c := &Claim{
			store:  s,
			object: written,
			record: own,
		}
		return c, nil, nil
	}
	if !objectapi.IsConflict(err) {
		if objectapi.IsOutcomeUnknown(err) {
			s.withdraw(name, own)
		}
		return nil, nil, verdict.New(verdict.ClaimFailed, err).WithRetryAfter(retryDelay)
	}
	existing, err := s.API.Get(ctx, operator.KindClaim, name)
	if err != nil {
		return nil, nil, verdict.New(verdict.ResendUnderway, err).WithRetryAfter(retryDelay)
	}
	other, err := objectapi.DecodeSpec[Record](existing)
	if err != nil {
		return nil, nil, verdict.New(verdict.ResendUnderway, err)
	}
	return resultOf(own, other)
}

// resultOf returns the results of Begin for an existing claim.
func resultOf(own, other Record) (*Claim, *StoredResponse, *verdict.Error) {
	switch {
	case own.Fingerprint != other.Fingerprint:
		return nil, nil, verdict.New(verdict.ResendMismatch, nil)
	case other.State != Completed:
		return nil, nil, verdict.New(verdict.ResendUnderway, nil).WithRetryAfter(retryDelay)
	case other.Response == nil:
		return nil, nil, verdict.New(verdict.ResendNotKept, nil)
	}
	return nil, other.Response, nil
}

// digest returns a hash of the parts and their lengths, in a form that is a valid name on the platform.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		for i := range n {
			n[i] = byte(len(p) >> (8 * i))
		}
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:20])
}

// Finish records that the request has run, with its response, or nil if that is not kept. It returns at once; the
// write is retried until it succeeds or finishTimeout has passed. In the latter case a resent request is refused
// because the first one may have run.
func (c *Claim) Finish(response *StoredResponse) {
	next := c.record
	next.State = Completed
	next.Response = response
	c.store.retryAsync(func(ctx context.Context) error {
		o := objectapi.NewObject(operator.KindClaim, c.object.Metadata.Name, next)
		_, err := objectapi.Put(ctx, c.store.API, o.WithResourceVersion(c.object.Metadata.ResourceVersion))
		return err
	})
}

// Release deletes the claim because the request has certainly not run, so that it can be sent again.
func (c *Claim) Release() {
	c.store.retryAsync(func(ctx context.Context) error {
		return c.store.API.Delete(ctx, operator.KindClaim, c.object.Metadata.Name, c.object.Metadata.ResourceVersion)
	})
}

// withdraw deletes a claim that may have been written although the platform did not respond, so that the
// request, which does not run, can be sent again. It returns at once.
func (s *Store) withdraw(name string, own Record) {
	s.retryAsync(func(ctx context.Context) error {
		existing, err := s.API.Get(ctx, operator.KindClaim, name)
		if err != nil {
			return err
		}
		r, err := objectapi.DecodeSpec[Record](existing)
		if err != nil || r.ID != own.ID {
			return nil // another request's claim
		}
		return s.API.Delete(ctx, operator.KindClaim, name, existing.Metadata.ResourceVersion)
	})
}

// retryAsync calls f in a goroutine until it succeeds, a retry is pointless, or finishTimeout has passed.
func (s *Store) retryAsync(f func(ctx context.Context) error) {
	s.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		for n := 0; ctx.Err() == nil; n++ {
			err := f(ctx)
			if err == nil || objectapi.IsConflict(err) || objectapi.IsNotFound(err) {
				return
			}
			t := time.NewTimer(objectapi.Backoff(n, err))
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
			}
		}
	})
}

// Wait waits for all pending updates.
func (s *Store) Wait() { s.pending.Wait() }
