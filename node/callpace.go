// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"math"
	"time"
)

const (
	// leastLoadAge and mostLoadAge are the ages between which the upstream's last word on its
	// speed may grow before its health check is asked. Instances share their processors with
	// others for some hundred milliseconds at a time, of which answers alone would tell late.
	// 25 questions a second at most are under half of what the platform allows.
	minLoadAge = 40 * time.Millisecond
	maxLoadAge = coldCheckInterval
	// wordsPerCall is how many words on its speed an upstream is to give for each call. A
	// call that comes in asks by itself where the last word is old, and a call that meets a
	// slow upstream goes elsewhere at the cost of one exchange, so the words are for the few
	// calls that others choose by them.
	reportsPerCall = 4.0
	// paceFade is the time constant with which earlier calls are forgotten.
	callRateDecay = 2 * time.Second
)

// callPace is how many calls a second come in to the upstream. The zero value has seen none.
type callRate struct {
	calls     uint64
	updatedAt time.Time
	perSecond float64
}

// loadAge takes in the number of calls so far, and returns how old the upstream's word may grow.
func (p *callRate) allowedLoadAge(calls uint64, now time.Time) time.Duration {
	if span := now.Sub(p.updatedAt); p.updatedAt.IsZero() {
		p.calls, p.updatedAt = calls, now
	} else if span > 0 {
		decay := math.Exp(-float64(span) / float64(callRateDecay))
		p.perSecond = decay*p.perSecond + (1-decay)*float64(calls-p.calls)/span.Seconds()
		p.calls, p.updatedAt = calls, now
	}
	if p.perSecond*reportsPerCall*maxLoadAge.Seconds() <= 1 {
		return maxLoadAge
	}
	return max(minLoadAge, time.Duration(float64(time.Second)/(reportsPerCall*p.perSecond)))
}
