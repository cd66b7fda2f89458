// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package routes

import "sync"

// Splitter divides the requests of each route among its services in proportion to
// their weights, by smooth weighted round-robin. Its zero value is ready for use, and
// its methods may be called from any goroutine.
//
// Each service has a credit that grows by its weight with each request. The service
// with the largest credit gets the request and pays the sum W of all weights, so
// that after n requests a service of weight w has had between nw/W - 1 and nw/W + 1
// of them.
type Splitter struct {
	mu     sync.Mutex
	states map[string]*splitState
}

// splitState is the state of one route.
type splitState struct {
	services []WeightedService
	credits  []int
}

// Choose returns the service for the next request of the route. If all weights are
// zero it is the first one.
func (s *Splitter) Choose(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(r).next()
}

// state returns the state of a route. It is reset when the services change.
func (s *Splitter) state(r *Route) *splitState {
	if s.states == nil {
		s.states = make(map[string]*splitState)
	}
	x := s.states[r.Name]
	if x == nil || !equalServices(x.services, r.Services) {
		x = &splitState{
			services: r.Services,
			credits:  make([]int, len(r.Services)),
		}
		s.states[r.Name] = x
	}
	return x
}

func equalServices(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// next returns the service with the largest credit and charges it.
func (x *splitState) next() string {
	best, sum := 0, 0
	for i, w := range x.services {
		x.credits[i] += w.Weight
		sum += w.Weight
		if x.credits[i] > x.credits[best] {
			best = i
		}
	}
	x.credits[best] -= sum
	return x.services[best].Service
}
