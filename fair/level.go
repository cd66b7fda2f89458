// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fair

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the mean demand of an organisation: some requests
	// of a small one come in it, and a rush lasts longer.
	demandTime = 2 * time.Second
	// spare is the number of requests within that time that an organisation may have beside
	// its part: so few say nothing of what it asks for.
	burstAllowance = 3
	// levelEvery is how often the level is found out anew.
	levelInterval = 100 * time.Millisecond
	// levelSteps is the number of steps in which it is found, each to half of the error.
	levelSteps = 24
	// leastServed is how often an organisation is served at least, as a part of how often
	// all are. It leaves room above the quarter that is promised.
	minServedRatio = 1.0 / 3
)

// Ask takes in a request that would hold a slot for the given time, at a time at which
// there are so many slots. It returns whether the slots run short by what other
// organisations ask for, while this one keeps to its part: it asks for no more than it
// would get if each had what it asks for, but at most the same as the others for its
// weight. The parts P_i of the slots S by demands d_i and weights w_i are max-min fair,
//
//	P_i = min(d_i, w_i L + spare requests), with L such that the sum of all P_i is S,
//
// so that what an organisation doesn't use of its part goes to the others. Where the slots
// are too few for the spare requests alone, no organisation is the cause, and all are
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

// rank orders organisations before their tags do.
type rank int

const (
	// underserved is an organisation of whose requests so few have been served, beside those
	// of all, that at least one more is due.
	underserved rank = iota
	// withinPart is one that keeps to its part while others crowd it out.
	withinShare
	// beyondPart is one that asks for more, and any one where nobody crowds others out.
	aboveShare
)

// rank returns that of the organisation now.
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

// fade brings demand and served to the given time.
func (l *Flow) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(l.decayedAt)) / float64(demandTime))
	l.demand *= factor
	l.served *= factor
	l.decayedAt = now
}

// part returns the most that the organisation gets at the given level.
func (l *Flow) shareAt(level float64) float64 {
	return level*l.effectiveWeight() + burstAllowance*l.demandPerRequest
}

// findLevel finds the level at which the slots are used up, if some organisations crowd
// out others.
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

// given returns what all organisations get at the given level.
func (f *Flows) allocated(level float64) (sum float64) {
	for _, l := range f.list {
		sum += min(l.demand, l.shareAt(level))
	}
	return sum
}
