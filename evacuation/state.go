// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package evacuation

import "time"

// RetentionPeriod is how long zones that the platform has lost by a restore from a backup stay
// evacuated, unless their operator writes them again, or removes them. Without it, requests would
// be sent to zones that are out of service until the operator has reacted. Zones that are not
// written again within the period are no longer evacuated.
const RetentionPeriod = 30 * time.Second

// State is a node's state of the evacuated zones. The zero value has none. It is not
// safe for concurrent use.
type State struct {
	latest Set               // the latest set that was read
	seen   map[string]uint64 // the latest era in which each zone was seen on the platform
	before Set               // the zones active at the end of an earlier era
	until  time.Time         // the end of the retention period of before
}

// Latest returns the latest Set that was read.
func (s *State) Latest() Set { return s.latest }

// Update replaces the latest Set by a later one. If that is the first one of its era, Update
// returns the zones active until now, which are to be retained.
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

// MarkSeen records that a zone was seen on the platform in an era.
func (s *State) MarkSeen(zone string, era uint64) {
	if s.seen == nil {
		s.seen = make(map[string]uint64)
	}
	s.seen[zone] = max(s.seen[zone], era)
}

// SeenAgain returns the retained zones that have been seen on the platform in the current era,
// sorted. A node that has not read them there must not retain them either.
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

// seenInEra returns whether a zone has been seen on the platform in the current era.
func (s *State) seenInEra(zone string) bool {
	era, ok := s.seen[zone]
	return ok && era == s.latest.At.Era
}

// Retain sets the zones that were active when an era ended, and the time when its successor was
// first seen.
func (s *State) Retain(before Set, seen, now time.Time) {
	s.before = before
	if seen.After(now) {
		seen = now // the clock of another instance may be ahead
	}
	s.until = now.Add(RetentionPeriod - now.Sub(seen))
}

// Active returns the evacuated zones: those of the latest Set, and those active before a restore
// of the platform that have not been seen there since.
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
