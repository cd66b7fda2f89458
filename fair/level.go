// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fair

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the mean demand of an organisation. A small one sends
	// several requests within it, and an overload lasts longer.
	demandTime = 2 * time.Second
	// burstAllowance is the number of requests within demandTime that an organisation may send
	// beyond its fair share, because so few requests do not show its demand.
	burstAllowance = 3
	// levelInterval is the minimum time between two computations of the level.
	levelInterval = 100 * time.Millisecond
	// levelSteps is the number of bisection steps in which the level is computed.
	levelSteps = 24
	// minServedRatio is the minimum ratio at which the requests of an organisation are served,
	// relative to those of all. It leaves a margin above the guaranteed quarter.
	minServedRatio = 1.0 / 3
)

// AddDemand records a request that is expected to hold a slot for the given time, while there is
// the given number of slots. It returns whether other organisations ask for more than the slots can
// serve while this one is within its fair share: it asks for no more than it would get if each
// organisation got what it asks for, but at most the same as the others relative to its weight. The
// shares P_i of the slots S for demands d_i and weights w_i are max-min fair,
//
//	P_i = min(d_i, w_i L + burst allowance), with L such that the sum of all P_i is S,
//
// so that the unused part of an organisation's share is divided among the others. If the slots are
// too few for the burst allowances alone, no organisation is the cause of the overload, and all are
// treated alike. See D. Bertsekas and R. Gallager, Data Networks, 1992, section 6.5.2.
func (l *Flow) AddDemand(expected time.Duration, slots float64, now time.Time) bool {
	f := l.flows
	l.decay(now)
	l.demandPerRequest = expected.Seconds() / demandTime.Seconds()
	l.demand += l.demandPerRequest
	if len(f.list) > 1 && now.Sub(f.levelUpdated) >= levelInterval {
		f.updateLevel(slots, now)
	}
	return l.rank() < aboveShare
}

// rank takes precedence over the start tags in the order of organisations. A lower rank is served
// first.
type rank int

const (
	// underserved is the rank of an organisation whose served requests, relative to those of
	// all, are too few by at least one.
	underserved rank = iota
	// withinShare is the rank of an organisation within its fair share while others overload the slots.
	withinShare
	// aboveShare is the rank of an organisation above it, and of all if there is no such overload.
	aboveShare
)

// rank returns the current rank of the organisation.
func (l *Flow) rank() rank {
	f := l.flows
	switch {
	case !f.contended || len(f.list) == 1:
		return aboveShare
	case minServedRatio*f.totalServed/f.totalDemand*l.demand-l.served >= l.demandPerRequest:
		return underserved
	case l.demand <= l.shareAt(f.level):
		return withinShare
	}
	return aboveShare
}

// decay brings demand and served to the given time.
func (l *Flow) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(l.decayedAt)) / float64(demandTime))
	l.demand *= factor
	l.served *= factor
	l.decayedAt = now
}

// shareAt returns the largest share that the organisation gets at the given level.
func (l *Flow) shareAt(level float64) float64 {
	return level*l.effectiveWeight() + burstAllowance*l.demandPerRequest
}

// updateLevel computes the level at which all slots are used, if some organisations ask for so
// much that others get less.
func (f *Flows) updateLevel(slots float64, now time.Time) {
	f.levelUpdated = now
	f.totalDemand, f.totalServed = 0, 0
	var maxLevel float64
	for _, l := range f.list {
		l.decay(now)
		f.totalDemand += l.demand
		f.totalServed += l.served
		maxLevel = max(maxLevel, l.demand/l.effectiveWeight())
	}
	f.contended = f.totalDemand > slots && f.allocated(0) <= slots
	if !f.contended {
		return
	}
	f.level = 0
	for step := maxLevel / 2; step > maxLevel*math.Pow(2, -levelSteps); step /= 2 {
		if f.allocated(f.level+step) <= slots {
			f.level += step
		}
	}
}

// allocated returns the sum of what all organisations get at the given level.
func (f *Flows) allocated(level float64) (sum float64) {
	for _, l := range f.list {
		sum += min(l.demand, l.shareAt(level))
	}
	return sum
}
