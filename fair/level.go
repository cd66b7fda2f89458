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
	demandTime  = 2 * time.Second
	leastServed = 1.0 / 3
	// levelEvery is how often the parts are found out anew.
	levelEvery = 100 * time.Millisecond
)

// Ask takes in a request that would hold a slot for the given time, and returns whether
// the organisation has kept to its part of the slots: whether it asks for no more than
// it would get if each had what it asks for, but at most the same as the others for its
// weight. The parts P_i of the slots S by demands d_i and weights w_i are max-min fair,
//
//	P_i = min(d_i, w_i L), with L such that the sum of all P_i is S,
//
// so that a part of which its organisation makes no use goes to the others. See
// D. Bertsekas and R. Gallager, Data Networks, 1992, section 6.5.2.
func (l *Flow) Ask(expected time.Duration, slots float64, now time.Time) bool {
	f := l.flows
	if now.Sub(f.filled) >= levelEvery {
		f.fill(slots, now)
	}
	l.fade(now)
	l.demand += expected.Seconds() / demandTime.Seconds()
	switch {
	case len(f.list) == 1 || math.IsInf(f.level, 1):
		return false
	case l.demand <= f.level*l.share():
		return true
	}
	return l.got*f.demand < leastServed*f.got*l.demand
}

// fade brings the demand to the given time.
func (l *Flow) fade(now time.Time) {
	left := math.Exp(-float64(now.Sub(l.faded)) / float64(demandTime))
	l.demand *= left
	l.got *= left
	l.faded = now
}

// fill finds out the level up to which the demands can be met.
func (f *Flows) fill(slots float64, now time.Time) {
	f.filled = now
	f.demand, f.got = 0, 0
	for _, l := range f.list {
		l.fade(now)
		f.demand += l.demand
		f.got += l.got
	}
	f.level = 0
	for {
		rest := slots
		var weights float64
		for _, l := range f.list {
			if l.demand <= f.level*l.share() {
				rest -= l.demand
			} else {
				weights += l.share()
			}
		}
		if weights == 0 {
			f.level = math.Inf(1)
			return
		}
		if level := rest / weights; level > f.level {
			f.level = level
			continue
		}
		return
	}
}
