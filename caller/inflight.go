// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"slices"
	"sync"
)

// inFlight is the set of requests that a Handler has not completed. The zero value is ready for
// use.
type inFlight struct {
	mu       sync.Mutex
	started  uint64
	requests map[*exchange]struct{}
}

func (f *inFlight) add(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[*exchange]struct{})
	}
	f.started++
	f.requests[x] = struct{}{}
}

func (f *inFlight) remove(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, x)
}

// RequestCounts returns how many requests are in flight, and how many have been started so far,
// including those. It may be called from any goroutine.
func (h *Handler) RequestCounts() (inFlight int, started uint64) {
	h.inFlight.mu.Lock()
	defer h.inFlight.mu.Unlock()
	return len(h.inFlight.requests), h.inFlight.started
}

// InFlightIDs returns the IDs of the requests in flight, at most limit, the oldest ones first.
// It may be called from any goroutine.
func (h *Handler) InFlightIDs(limit int) []string {
	h.inFlight.mu.Lock()
	list := make([]*exchange, 0, len(h.inFlight.requests))
	for x := range h.inFlight.requests {
		list = append(list, x)
	}
	h.inFlight.mu.Unlock()
	slices.SortFunc(list, func(a, b *exchange) int { return a.began.Compare(b.began) })
	ids := make([]string, min(limit, len(list)))
	for i := range ids {
		ids[i] = list[i].outcome.ID
	}
	return ids
}
