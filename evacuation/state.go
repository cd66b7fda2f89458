// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package evacuation

import (
	"slices"
	"time"
)

// RetainFor is how long zones stay evacuated that the platform has lost by coming back from a
// copy, unless their operator writes them again, or removes them. Without it requests would
// go to zones that are out of service for as long as the operator takes; what is not written
// again by then was dropped.
const RetainFor = 30 * time.Second

// State is what one node knows of evacuated zones. The zero value knows of none. It is not
// safe for use by several goroutines at once.
type State struct {
	listed Set       // as read last
	stood  []string  // zones that have stood on the platform in the present era
	before Set       // what was in force at the end of an earlier era
	until  time.Time // when before counts no more
}

// Listed returns the latest Set that was read.
func (s *State) Listed() Set { return s.listed }

// Take takes in a Set that is later than the one read before. If it is the first one of its
// era, Take returns what was in force until now, which is to be retained.
func (s *State) Take(n Set, now time.Time) (before Set, restored bool) {
	if s.listed.At.Era < n.At.Era {
		before, restored = s.InForce(now), s.listed.At.Revision > 0
		s.stood = nil
	}
	s.listed = n
	s.stood = append(s.stood, n.Zones...)
	slices.Sort(s.stood)
	s.stood = slices.Compact(s.stood)
	return before, restored
}

// Retain takes in what was in force when an era ended, and when its successor was first seen.
func (s *State) Retain(before Set, seen, now time.Time) {
	s.before = before
	if seen.After(now) {
		seen = now // the clock of another instance may be ahead
	}
	s.until = now.Add(RetainFor - now.Sub(seen))
}

// InForce returns the zones that are evacuated: those read last, and of those that were
// before the platform came back from a copy the ones that have not stood there since.
func (s *State) InForce(now time.Time) Set {
	return New(s.listed.At, append(s.retained(now), s.listed.Zones...)...)
}

// retained returns the zones that the platform has lost and that stay evacuated.
func (s *State) retained(now time.Time) (zones []string) {
	if s.before.At.Era >= s.listed.At.Era || !now.Before(s.until) {
		return nil
	}
	for _, zone := range s.before.Zones {
		if !slices.Contains(s.stood, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}
