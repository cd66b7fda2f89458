// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// deadlineSpan is the time over which the longest time that callers allow is determined.
const deadlineSpan = 10 * time.Second

// runFraction is the fraction of its latency objective that a request is expected to run.
// Operators set objectives at two to five times the usual service time.
const runFraction = 0.5

// Lateness detects requests that can't be answered within their latency objective any more
// because they were refused before: they have less time left than others of their class.
type Lateness struct {
	classes map[string]*longestTime
}

// longestTime is the longest time that callers of a class have allowed, in the present span
// and in the previous one.
type longestTime struct {
	span              int64
	current, previous time.Duration
}

// Late returns whether a request of a class is late, given the time that it has left. In a
// class without an objective, which is 0, no request is late.
func (l *Lateness) Late(class string, left, objective, now time.Duration) bool {
	if l.classes == nil {
		l.classes = make(map[string]*longestTime)
	}
	longest := l.classes[class]
	if longest == nil {
		longest = new(longestTime)
		l.classes[class] = longest
	}
	if span := int64(now / deadlineSpan); span != longest.span {
		longest.previous = 0
		if span == longest.span+1 {
			longest.previous = longest.current
		}
		longest.current = 0
		longest.span = span
	}
	longest.current = max(longest.current, left)
	elapsed := max(longest.current, longest.previous) - left
	return objective > 0 && elapsed > time.Duration((1-runFraction)*float64(objective))
}
