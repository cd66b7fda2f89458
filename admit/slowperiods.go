// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

// slowPeriodHistory is the number of slow periods that are remembered: those of the last half
// minute if an upstream slows down once a second.
const slowPeriodHistory = 32

// slowPeriods remembers the lengths of an upstream's slow periods, to estimate how long the
// present one will last. The expected remaining time of a period of age a is the mean of L - a
// over the remembered lengths L > a, the mean residual life. If no remembered period was so
// long, it is a: a request that waits no longer than the wait can gain then loses at most as
// much again, as in A. Karlin et al., Competitive snoopy caching, 1988. doi:10.1007/BF01762111.
type slowPeriods struct {
	lengths [slowPeriodHistory]time.Duration
	count   int
	since   time.Time // when the present slow period began, zero if there is none
}

// observe records whether the upstream is slow.
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

// age returns how long the present slow period has lasted. The second result is false if there
// is none.
func (s *slowPeriods) age(now time.Time) (time.Duration, bool) {
	if s.since.IsZero() {
		return 0, false
	}
	return now.Sub(s.since), true
}

// remaining returns the expected remaining time of the present slow period, or 0 if there is
// none. The remaining time of each remembered period counts as at most the given time.
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
