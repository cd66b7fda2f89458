// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"math/rand/v2"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures that ejects an
	// upstream.
	failuresToEject = 3
	// minEject and maxEject bound the time for which an upstream is ejected.
	// It doubles with each consecutive ejection.
	minEject = time.Second
	maxEject = 30 * time.Second
)

// health tracks whether an upstream may be picked.
//
// An upstream is ejected after several consecutive failures. Once the ejection time is
// over, it is on probation: one request at a time is sent there until one succeeds.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	probing      bool
}

// ejected returns whether the upstream is ejected or on probation.
func (h *health) ejected() bool { return h.ejections > 0 }

// usable returns whether the upstream may be picked now.
func (h *health) usable(now time.Time) bool {
	return h.ejections == 0 || !h.probing && !now.Before(h.ejectedUntil)
}

// begin records that a request is sent. If the upstream is on probation, the request is
// the probe.
func (h *health) begin(now time.Time) {
	if h.ejections > 0 && !now.Before(h.ejectedUntil) {
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

// eject ejects the upstream for a while, unless it is ejected already.
func (h *health) eject(now time.Time) {
	if h.ejections > 0 && now.Before(h.ejectedUntil) {
		return
	}
	d := min(maxEject, minEject<<min(h.ejections, 5))
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(d + rand.N(d/4))
}
