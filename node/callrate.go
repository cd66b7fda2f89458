// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"math"
	"time"
)

const (
	// minLoadAge and maxLoadAge bound how old the upstream's last load report may grow before
	// a health check requests a new one. Instances share their processors with others for some
	// hundred milliseconds at a time, which the upstream's responses alone would show too late.
	// At most 25 health checks a second are under half of what the platform allows.
	minLoadAge = 40 * time.Millisecond
	maxLoadAge = coldCheckInterval
	// reportsPerCall is the number of load reports that an upstream should give for each call.
	// A call that arrives when the last report is old requests a new one itself, and a call
	// that meets a slow upstream is sent to another at the cost of one exchange. The periodic
	// reports serve the few calls for which other nodes choose an upstream by them.
	reportsPerCall = 4.0
	// callRateDecay is the time constant of the moving average of the call rate.
	callRateDecay = 2 * time.Second
)

// callRate is a moving average of the calls a second to the upstream. The zero value has
// observed none.
type callRate struct {
	calls     uint64
	updatedAt time.Time
	perSecond float64
}

// allowedLoadAge records the number of calls so far, and returns how old the upstream's load
// report may grow.
func (r *callRate) allowedLoadAge(calls uint64, now time.Time) time.Duration {
	if span := now.Sub(r.updatedAt); r.updatedAt.IsZero() {
		r.calls, r.updatedAt = calls, now
	} else if span > 0 {
		decay := math.Exp(-float64(span) / float64(callRateDecay))
		r.perSecond = decay*r.perSecond + (1-decay)*float64(calls-r.calls)/span.Seconds()
		r.calls, r.updatedAt = calls, now
	}
	if r.perSecond*reportsPerCall*maxLoadAge.Seconds() <= 1 {
		return maxLoadAge
	}
	return max(minLoadAge, time.Duration(float64(time.Second)/(reportsPerCall*r.perSecond)))
}
