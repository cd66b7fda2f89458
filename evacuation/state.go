// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package evacuation

import "time"

// RetainFor is how long zones stay evacuated that the platform has lost by coming back from a
// copy, unless their operator writes them again, or removes them. Without it requests would
// go to zones that are out of service for as long as the operator takes; what is not written
// again by then was dropped.
const RetentionPeriod = 30 * time.Second

// State is what one node knows of evacuated zones. The zero value knows of none. It is not
// safe for use by several goroutines at once.
type State struct {
	latest Set               // as read last
	seen   map[string]uint64 // the latest era in which each zone has stood on the platform
	before Set               // what was in force at the end of an earlier era
	until  time.Time         // when before counts no more
}

// Listed returns the latest Set that was read.
func (s *State) Latest() Set { return s.latest }

// Take takes in a Set that is later than the one read before. If it is the first one of its
// era, Take returns what was in force until now, which is to be retained.
func (s *State) Update(n Set, now time.Time) (before Set, restored bool) {
	if s.latest.At.Era < n.At.Era {
		before, restored = s.Active(now), s.latest.At.Revision > 0
	}
	s.latest = n
	for _, zone := range n.Zones {
		s.MarkSeen(zone, n.At.Era)
	}
	return before, restored
}

// Stood takes in that a zone has stood on the platform in an era.
func (s *State) MarkSeen(zone string, era uint64) {
	if s.seen == nil {
		s.seen = make(map[string]uint64)
	}
	s.seen[zone] = max(s.seen[zone], era)
}

// WrittenAgain returns those of the zones to be retained that have stood on the platform in the
// present era, sorted: a node that has not read them there must not retain them either.
func (s *State) SeenAgain() (zones []string) {
	if s.before.At.Era >= s.latest.At.Era {
		return nil
	}
	for _, zone := range s.before.Zones {
		if s.seenInEra(zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// hasStood returns whether a zone has stood on the platform in the present era.
func (s *State) seenInEra(zone string) bool {
	era, ok := s.seen[zone]
	return ok && era == s.latest.At.Era
}

// Retain takes in what was in force when an era ended, and when its successor was first seen.
func (s *State) Retain(before Set, seen, now time.Time) {
	s.before = before
	if seen.After(now) {
		seen = now // the clock of another instance may be ahead
	}
	s.until = now.Add(RetentionPeriod - now.Sub(seen))
}

// InForce returns the zones that are evacuated: those read last, and of those that were
// before the platform came back from a copy the ones that have not stood there since.
func (s *State) Active(now time.Time) Set {
	return New(s.latest.At, append(s.retained(now), s.latest.Zones...)...)
}

// retained returns the zones that the platform has lost and that stay evacuated.
func (s *State) retained(now time.Time) (zones []string) {
	if s.before.At.Era >= s.latest.At.Era || !now.Before(s.until) {
		return nil
	}
	for _, zone := range s.before.Zones {
		if !s.seenInEra(zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}
