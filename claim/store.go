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
	// MaxBody is the largest answer that is kept, in bytes.
	MaxBodyBytes = 64 << 10
	// beginTimeout bounds the claiming, finishTimeout the writing of the answer.
	beginTimeout  = 2 * time.Second
	finishTimeout = 10 * time.Second
	// comeBack is when a caller may ask again for the outcome of a request that
	// is under way.
	retryDelay = time.Second
)

// State is how far a claimed request has come.
type State string

const (
	// Claimed means that the request may run, or may have run.
	Claimed State = "claimed"
	// Answered means that it has run.
	Answered State = "answered"
)

// Record is the spec of a Claim object.
type Record struct {
	Service string `json:"service"`
	// Fingerprint tells the request from others that use the same key wrongly.
	Fingerprint string `json:"fingerprint"`
	// Node is the node that claimed it.
	Node string `json:"node"`
	// ID tells the claim from all others, also of the same request and node.
	ID string `json:"id,omitempty"`
	// Until is when the claim may be deleted.
	ExpiresAt time.Time `json:"until"`
	State     State     `json:"state"`
	// Answer is the answer, if it has come and is kept.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is an answer that is kept.
type Answer struct {
	Status int          `json:"status"`
	Header []peer.Field `json:"header"`
	Body   []byte       `json:"body"`
}

// Request names a request to claim.
type Request struct {
	// Service is the name of its service, Key the caller's key.
	Service, Key string
	// Parts are what the fingerprint is made of, such as method, target and
	// body.
	Parts []string
	// Keep is how long the claim is kept.
	Retention time.Duration
}

// Ledger makes claims. The exported fields are set before the first call.
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

// Allow returns whether the service's budget of claims per second has room, and
// spends one.
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

// Begin claims a request. Exactly one of the results is not nil: the claim, if
// the request is to be run; the answer, if it has been run and that is kept; or
// the failure.
func (s *Store) Begin(ctx context.Context, r Request) (*Claim, *Answer, *verdict.Error) {
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
		if objectapi.IsUnanswered(err) {
			s.withdraw(name, own)
		}
		return nil, nil, verdict.New(verdict.ClaimFailed, err).WithRetryAfter(retryDelay)
	}
	existing, err := s.API.Get(ctx, operator.KindClaim, name)
	if err != nil {
		return nil, nil, verdict.New(verdict.ResendUnderway, err).WithRetryAfter(retryDelay)
	}
	other, err := objectapi.SpecOf[Record](existing)
	if err != nil {
		return nil, nil, verdict.New(verdict.ResendUnderway, err)
	}
	return resultOf(own, other)
}

// found returns what follows from a claim that is there already.
func resultOf(own, other Record) (*Claim, *Answer, *verdict.Error) {
	switch {
	case own.Fingerprint != other.Fingerprint:
		return nil, nil, verdict.New(verdict.ResendMismatch, nil)
	case other.State != Answered:
		return nil, nil, verdict.New(verdict.ResendUnderway, nil).WithRetryAfter(retryDelay)
	case other.Answer == nil:
		return nil, nil, verdict.New(verdict.ResendNotKept, nil)
	}
	return nil, other.Answer, nil
}

// digest returns a hash over the parts, each with its length, as a name that
// the platform takes.
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

// Finish writes down that the request ran, and its answer, or nil if that is
// not kept. It returns at once; the writing goes on until it succeeds or has
// taken too long, and then a resent request is told that the first may have run.
func (c *Claim) Finish(a *Answer) {
	next := c.record
	next.State = Answered
	next.Answer = a
	c.store.retryAsync(func(ctx context.Context) error {
		o := objectapi.NewObject(operator.KindClaim, c.object.Metadata.Name, next)
		_, err := objectapi.Put(ctx, c.store.API, o.WithVersion(c.object.Metadata.ResourceVersion))
		return err
	})
}

// Release gives the claim up because the request certainly has not run, so that
// it can be sent again.
func (c *Claim) Release() {
	c.store.retryAsync(func(ctx context.Context) error {
		return c.store.API.Delete(ctx, operator.KindClaim, c.object.Metadata.Name, c.object.Metadata.ResourceVersion)
	})
}

// withdraw deletes a claim that may have been written though nobody answered, so that the
// request, which does not run, can be sent again. It returns at once.
func (s *Store) withdraw(name string, own Record) {
	s.retryAsync(func(ctx context.Context) error {
		existing, err := s.API.Get(ctx, operator.KindClaim, name)
		if err != nil {
			return err
		}
		r, err := objectapi.SpecOf[Record](existing)
		if err != nil || r.ID != own.ID {
			return nil // not this one's
		}
		return s.API.Delete(ctx, operator.KindClaim, name, existing.Metadata.ResourceVersion)
	})
}

// update has f try until it succeeds, or can't any more.
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

// Wait waits until what has been begun to be written is written, or given up.
func (s *Store) Wait() { s.pending.Wait() }
