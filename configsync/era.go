// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package configsync

import "time"

// rewriteWindow is the time that operators have to write again what the platform lost when it was restored
// from a backup. Requests that need a confirmation, such as that of a key, are refused if the outage of
// the platform and this time together exceed the bound on the confirmation's age, so it must be below the
// bounds that operators set.
const rewriteWindow = 3 * time.Second

// era is the platform's current era as known to a node. The zero value means that it is unknown.
type era struct {
	number uint64
	seenAt time.Time // when the change to it was first seen by any node, or zero
}

// ObserveEra records the era in a response of the platform. The argument restored is whether the platform
// had responded to this node in an earlier era.
func (s *State) ObserveEra(number uint64, restored bool, now time.Time) {
	if number <= s.era.number {
		return
	}
	s.era = era{number: number}
	if restored {
		s.era.seenAt = now
	}
}

// merge merges the era known to another node.
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

// age returns the time since the change to the era was first seen, or 0 if it was not seen.
func (e *era) age(now time.Time) time.Duration {
	if e.seenAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(e.seenAt))
}

// Era returns the latest known era of the platform.
func (s *State) Era() uint64 { return s.era.number }

// EraSeenAt returns when the change to the current era was first seen by any node, or the zero time if no
// node saw it.
func (s *State) EraSeenAt() time.Time { return s.era.seenAt }

// RewriteWindowElapsed returns whether operators have had the time to write again what the platform may
// have lost. Before that, a read that does not find something does not prove that it was not written.
func (s *State) RewriteWindowElapsed(now time.Time) bool {
	return s.era.seenAt.IsZero() || now.Sub(s.era.seenAt) >= rewriteWindow
}
