// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import "time"

// rewriteFor is the time that operators are given to write again what the platform has lost
// by coming back from a copy. What needs a confirmation, such as keys, is refused for as long
// as this and the platform's absence together last beyond the bound on that, so it is to be
// below the bounds that operators set.
const rewriteWindow = 3 * time.Second

// era is what a node knows of the platform's present era. Its zero value knows of none.
type era struct {
	number uint64
	seenAt time.Time // when it was first seen, by any node; zero if it was not seen to rise
}

// EraSeen takes in that the platform names an era. Restored is whether it had answered this
// node before, in an earlier one.
func (s *State) ObserveEra(number uint64, restored bool, now time.Time) {
	if number <= s.era.number {
		return
	}
	s.era = era{number: number}
	if restored {
		s.era.seenAt = now
	}
}

// hear takes in the era that another node knows.
func (e *era) merge(n ReadStatus, now time.Time) {
	seenAt := now.Add(-n.EraAge)
	switch {
	case n.Era < e.number:
	case n.Era > e.number && n.EraAge <= 0:
		*e = era{number: n.Era}
	case n.Era > e.number:
		*e = era{
			number: n.Era,
			seenAt: seenAt,
		}
	case n.EraAge > 0 && (e.seenAt.IsZero() || seenAt.Before(e.seenAt)):
		e.seenAt = seenAt
	}
}

// age returns the time since the era was seen to rise, or 0 if it was not.
func (e *era) age(now time.Time) time.Duration {
	if e.seenAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(e.seenAt))
}

// Era returns the platform's latest era that is known.
func (s *State) Era() uint64 { return s.era.number }

// EraRose returns when the present era was first seen by any node, or the zero time if none
// has seen it rise.
func (s *State) EraSeenAt() time.Time { return s.era.seenAt }

// Rewritten returns whether operators have had the time to write again what the platform may
// have lost. Before that, a read that does not find something does not confirm that it was
// not written.
func (s *State) RewriteWindowElapsed(now time.Time) bool {
	return s.era.seenAt.IsZero() || now.Sub(s.era.seenAt) >= rewriteWindow
}
