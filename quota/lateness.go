// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import "time"

// deadlineSpan is the time over which the longest time that callers allow is found.
const deadlineSpan = 10 * time.Second

// runPart is the part of its objective that a request is expected to run. Operators set
// objectives at two to five times the usual run.
const runPart = 0.5

// Lateness finds requests that can't be answered within their objective any more, as their
// callers have been refused before: they have less time left than others of their class.
type Lateness struct {
	classes map[string]*allowed
}

// allowed is the longest time that callers of a class have allowed, in the present span and
// in the one before it.
type allowed struct {
	span      int64
	now, last time.Duration
}

// Late returns whether a request of a class is late that has the given time left. A class
// without an objective, which is 0, has none.
func (l *Lateness) Late(class string, left, objective, now time.Duration) bool {
	if l.classes == nil {
		l.classes = make(map[string]*allowed)
	}
	a := l.classes[class]
	if a == nil {
		a = new(allowed)
		l.classes[class] = a
	}
	if span := int64(now / deadlineSpan); span != a.span {
		a.last = 0
		if span == a.span+1 {
			a.last = a.now
		}
		a.now = 0
		a.span = span
	}
	a.now = max(a.now, left)
	elapsed := max(a.now, a.last) - left
	return objective > 0 && elapsed > time.Duration((1-runPart)*float64(objective))
}
