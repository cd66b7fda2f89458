// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

// spellMemory is the number of spells that are remembered: the last half minute of
// an upstream that slows down once a second.
const slowPeriodHistory = 32

// spells remembers for how long an upstream stayed slow, to tell how long it is
// likely to stay so. The expected rest of a spell of age a is the mean of L - a over
// the remembered lengths L > a, the mean residual life. Where no spell was so long,
// it is a: who waits for no longer than what the waiting can gain then loses at most
// as much again, as in A. Karlin et al., Competitive snoopy caching, 1988.
// doi:10.1007/BF01762111.
type slowPeriods struct {
	lengths [slowPeriodHistory]time.Duration
	count   int
	since   time.Time // when the present spell began, zero if there is none
}

// observe takes in whether the upstream is slow.
func (s *slowPeriods) observe(slow bool, now time.Time) {
	switch {
	case slow && s.since.IsZero():
		s.since = now
	case !slow && !s.since.IsZero():
		s.lengths[s.count%slowPeriodHistory] = now.Sub(s.since)
		s.count++
		s.since = time.Time{}
	}
}

// age returns for how long the present spell has lasted. The second result is
// false if there is none.
func (s *slowPeriods) age(now time.Time) (time.Duration, bool) {
	if s.since.IsZero() {
		return 0, false
	}
	return now.Sub(s.since), true
}

// rest returns the expected rest of the present spell, in which the rest of each
// remembered one counts as at most the given time. It is 0 if there is none.
func (s *slowPeriods) remaining(now time.Time, limit time.Duration) time.Duration {
	age, slow := s.age(now)
	if !slow {
		return 0
	}
	var sum time.Duration
	var n int
	for _, l := range s.lengths[:min(s.count, slowPeriodHistory)] {
		if l > age {
			sum += min(limit, l-age)
			n++
		}
	}
	if n == 0 {
		return min(limit, age)
	}
	return sum / time.Duration(n)
}
