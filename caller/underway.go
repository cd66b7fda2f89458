// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package caller

import (
	"slices"
	"sync"
)

// underWay are the requests that a Handler has not ended. The zero value is ready for use.
type underWay struct {
	mu    sync.Mutex
	begun uint64
	open  map[*exchange]struct{}
}

func (u *underWay) add(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open == nil {
		u.open = make(map[*exchange]struct{})
	}
	u.begun++
	u.open[x] = struct{}{}
}

func (u *underWay) remove(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, x)
}

// Count returns how many requests are under way, and how many have begun so far, those
// included. It may be called from any goroutine.
func (h *Handler) RequestCounts() (open int, begun uint64) {
	h.underWay.mu.Lock()
	defer h.underWay.mu.Unlock()
	return len(h.underWay.open), h.underWay.begun
}

// Open returns the ids of the requests that are under way, at most so many, the oldest
// ones first. It may be called from any goroutine.
func (h *Handler) InFlightIDs(most int) []string {
	h.underWay.mu.Lock()
	list := make([]*exchange, 0, len(h.underWay.open))
	for x := range h.underWay.open {
		list = append(list, x)
	}
	h.underWay.mu.Unlock()
	slices.SortFunc(list, func(a, b *exchange) int { return a.began.Compare(b.began) })
	ids := make([]string, min(most, len(list)))
	for i := range ids {
		ids[i] = list[i].outcome.ID
	}
	return ids
}
