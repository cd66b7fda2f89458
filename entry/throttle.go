// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"net/http"
	"sync"
	"time"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/verdict"
)

// throttles are the throttles of a service's classes, and the share of its
// requests that all its upstreams refused.
type throttles struct {
	mu      sync.Mutex
	byClass map[string]*admit.Throttle
	refused admit.Share
}

// of returns the throttle of a class.
func (t *throttles) of(class string) *admit.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byClass[class]
	if h == nil {
		if t.byClass == nil {
			t.byClass = make(map[string]*admit.Throttle)
		}
		h = new(admit.Throttle)
		t.byClass[class] = h
	}
	return h
}

// ended takes in how a request ended.
func (t *throttles) ended(class string, result *Result, failure *verdict.Error, now time.Time) {
	t.mu.Lock()
	t.refused.Add(failure != nil && failure.Cause == verdict.Refused, now)
	t.mu.Unlock()
	if result != nil {
		t.of(class).Ran(result.Status == http.StatusInternalServerError, now)
	}
}

// leastRefusals is the number of requests that a share of refused ones rests on.
const leastRefusals = 3

// refusedElsewhere returns the largest share of requests to another service that
// are refused now. What runs at s may be calling any of them.
func (d *Dispatcher) refusedElsewhere(s *service, now time.Time) float64 {
	var most float64
	for name, other := range d.load() {
		if name == s.Name {
			continue
		}
		other.throttles.mu.Lock()
		share, events := other.throttles.refused.Value(now)
		other.throttles.mu.Unlock()
		if events >= leastRefusals {
			most = max(most, share)
		}
	}
	return most
}

// held returns why a request is not sent at all, or nil if it is.
func (d *Dispatcher) held(s *service, r *Request) *verdict.Error {
	if !s.Config.Queue.Throttle {
		return nil
	}
	now := time.Now()
	if s.throttles.of(r.Class).Admit(d.refusedElsewhere(s, now), now) {
		return nil
	}
	d.event(s.Name, EventThrottled)
	return verdict.New(verdict.Throttled, nil).WithRetryAfter(comeBackSoon)
}
