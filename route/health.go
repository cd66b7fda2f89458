// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"math/rand/v2"
	"time"
)

const (
	// failuresToEject is the number of failures in a row that ejects an
	// upstream.
	failuresToEject = 3
	// minEject and maxEject bound the time for which an upstream is ejected.
	// It doubles with each ejection in a row.
	minEject = time.Second
	maxEject = 30 * time.Second
)

// health says whether an upstream may be picked.
//
// An upstream is ejected after some failures in a row. When its time is over,
// one request at a time is sent there until one succeeds.
type health struct {
	failures  int
	ejections int
	until     time.Time
	probing   bool
}

// ejected returns whether the upstream is ejected or on probation.
func (h *health) ejected() bool { return h.ejections > 0 }

// usable returns whether the upstream may be picked now.
func (h *health) usable(now time.Time) bool {
	return h.ejections == 0 || !h.probing && !now.Before(h.until)
}

// begin records that a request is sent. It is the probe if the upstream is on
// probation.
func (h *health) begin(now time.Time) {
	if h.ejections > 0 && !now.Before(h.until) {
		h.probing = true
	}
}

// end records the outcome of a request.
func (h *health) end(o Outcome, now time.Time) {
	h.probing = false
	switch o {
	case Succeeded:
		h.failures = 0
		h.ejections = 0
	case Failed:
		h.failures++
		if h.failures >= failuresToEject {
			h.eject(now)
		}
	case Unreachable:
		h.eject(now)
	}
}

// eject takes the upstream out for a while, unless it already is.
func (h *health) eject(now time.Time) {
	if h.ejections > 0 && now.Before(h.until) {
		return
	}
	d := min(maxEject, minEject<<min(h.ejections, 5))
	h.ejections++
	h.failures = 0
	h.until = now.Add(d + rand.N(d/4))
}
