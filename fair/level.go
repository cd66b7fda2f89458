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
	spare = 3
	// levelEvery is how often the level is found out anew.
	levelEvery = 100 * time.Millisecond
	// levelSteps is the number of steps in which it is found, each to half of the error.
	levelSteps = 24
	// leastServed is how often an organisation is served at least, as a part of how often
	// all are. It leaves room above the quarter that is promised.
	leastServed = 1.0 / 3
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
	l.fade(now)
	l.each = expected.Seconds() / demandTime.Seconds()
	l.demand += l.each
	if len(f.list) > 1 && now.Sub(f.levelAt) >= levelEvery {
		f.findLevel(slots, now)
	}
	return l.rank() < beyondPart
}

// rank orders organisations before their tags do.
type rank int

const (
	// underserved is an organisation of whose requests so few have been served, beside those
	// of all, that at least one more is due.
	underserved rank = iota
	// withinPart is one that keeps to its part while others crowd it out.
	withinPart
	// beyondPart is one that asks for more, and any one where nobody crowds others out.
	beyondPart
)

// rank returns that of the organisation now.
func (l *Flow) rank() rank {
	f := l.flows
	switch {
	case !f.crowded || len(f.list) == 1:
		return beyondPart
	case leastServed*f.served/f.demand*l.demand-l.served >= l.each:
		return underserved
	case l.demand <= l.part(f.level):
		return withinPart
	}
	return beyondPart
}

// fade brings demand and served to the given time.
func (l *Flow) fade(now time.Time) {
	left := math.Exp(-float64(now.Sub(l.fadedAt)) / float64(demandTime))
	l.demand *= left
	l.served *= left
	l.fadedAt = now
}

// part returns the most that the organisation gets at the given level.
func (l *Flow) part(level float64) float64 {
	return level*l.share() + spare*l.each
}

// findLevel finds the level at which the slots are used up, if some organisations crowd
// out others.
func (f *Flows) findLevel(slots float64, now time.Time) {
	f.levelAt = now
	f.demand, f.served = 0, 0
	var most float64
	for _, l := range f.list {
		l.fade(now)
		f.demand += l.demand
		f.served += l.served
		most = max(most, l.demand/l.share())
	}
	f.crowded = f.demand > slots && f.given(0) <= slots
	if !f.crowded {
		return
	}
	f.level = 0
	for step := most / 2; step > most*math.Pow(2, -levelSteps); step /= 2 {
		if f.given(f.level+step) <= slots {
			f.level += step
		}
	}
}

// given returns what all organisations get at the given level.
func (f *Flows) given(level float64) (sum float64) {
	for _, l := range f.list {
		sum += min(l.demand, l.part(level))
	}
	return sum
}
