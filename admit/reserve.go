// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"math"
	"time"
)

const (
	// arrivalTime is the time constant of a class's rate of arrivals.
	arrivalTime = 2 * time.Second
	// reserveShare is the largest part of the slots that is kept free for others.
	reserveShare = 0.5
)

// arrivals is a rate of arrivals, averaged exponentially.
type arrivals struct {
	count float64 // of arrivals, each weighing exp(-age/2 s)
	at    time.Time
}

// add takes in one arrival.
func (a *arrivals) add(now time.Time) {
	a.fade(now)
	a.count++
}

// rate returns the arrivals per second.
func (a *arrivals) rate(now time.Time) float64 {
	a.fade(now)
	return a.count / arrivalTime.Seconds()
}

// fade brings the count to the given time.
func (a *arrivals) fade(now time.Time) {
	a.count *= math.Exp(-float64(now.Sub(a.at)) / float64(arrivalTime))
	a.at = now
}

// reserve returns how many slots have to stay free if a request of class i starts:
// those that more urgent classes are about to need and that won't become free in
// the time for which they can wait. A class to which a slots are offered, by its
// arrivals per second and its run time s, and that runs r requests is about to need
//
//	a + sqrt(a) - r
//
// more. This is trunk reservation, see F. Kelly, Routing and capacity allocation in
// networks with trunk reservation, 1990. doi:10.1287/moor.15.4.771.
func (g *Gate) reserve(i, allowed int, now time.Time) float64 {
	var sum float64
	for _, h := range g.classes[i+1:] {
		run := g.run(h).Seconds()
		offered := h.arrivals.rate(now) * run
		need := offered + math.Sqrt(offered) - float64(h.running)
		if need <= 0 {
			continue
		}
		others := max(0, g.freeing-float64(h.running)/max(leastRun.Seconds(), run))
		need -= 0.5 * others * g.longestWait(h).Seconds()
		sum += max(0, need)
	}
	return min(sum, reserveShare*float64(allowed))
}
