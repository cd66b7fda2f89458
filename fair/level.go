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
	// of a small one, and short against a rush.
	demandTime = 2 * time.Second
	// few is the number of requests within that time which say nothing of an organisation:
	// it is never beyond its part with as many.
	few = 3
	// levelEvery is how often the level is found out anew.
	levelEvery = 100 * time.Millisecond
	// levelSteps is the number of steps in which it is found, each to half of the error.
	levelSteps = 24
	// leastServed is how often an organisation is served at least, as a part of how often
	// all are. A quarter is promised.
	leastServed = 1.0 / 3
)

// Ask takes in a request that would hold a slot for the given time, at a time at which
// there are so many slots. It returns whether the slots run short by what other
// organisations ask for, while this one keeps to its part: it asks for no more than it
// would get if each had what it asks for, but at most the same as the others for its
// weight. The parts P_i of the slots S by demands d_i and weights w_i are max-min fair,
//
//	P_i = min(d_i, w_i L + a few requests), with L such that the sum of all P_i is S,
//
// so that what its organisation doesn't use of a part goes to the others. Where few
// requests of each are too many, nobody is to blame. See D. Bertsekas and R. Gallager,
// Data Networks, 1992, section 6.5.2.
func (l *Flow) Ask(expected time.Duration, slots float64, now time.Time) bool {
	f := l.flows
	l.fade(now)
	l.each = expected.Seconds() / demandTime.Seconds()
	l.demand += l.each
	if len(f.list) > 1 && now.Sub(f.filled) >= levelEvery {
		f.fill(slots, now)
	}
	return l.rank() < beyond
}

// rank orders organisations before their tags do.
type rank int

const (
	// owing is to be served first: so few of its requests have been, beside those of all,
	// that it has at least one to come.
	owing rank = iota
	// keeping is an organisation that keeps to its part while others crowd it out.
	keeping
	// beyond is one that asks for more, and any one where nobody crowds others out.
	beyond
)

// rank returns that of the organisation now.
func (l *Flow) rank() rank {
	f := l.flows
	switch {
	case !f.crowded || len(f.list) == 1:
		return beyond
	case leastServed*f.got/f.demand*l.demand-l.got >= l.each:
		return owing
	case l.demand <= l.part(f.level):
		return keeping
	}
	return beyond
}

// fade brings the demand to the given time.
func (l *Flow) fade(now time.Time) {
	left := math.Exp(-float64(now.Sub(l.faded)) / float64(demandTime))
	l.demand *= left
	l.got *= left
	l.faded = now
}

// part returns the most that the organisation gets at the given level.
func (l *Flow) part(level float64) float64 {
	return level*l.share() + few*l.each
}

// fill finds out the level at which the slots are used up, if some organisations crowd
// out others.
func (f *Flows) fill(slots float64, now time.Time) {
	f.filled = now
	f.demand, f.got = 0, 0
	var most float64
	for _, l := range f.list {
		l.fade(now)
		f.demand += l.demand
		f.got += l.got
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
