// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"math/rand/v2"
	"time"
)

// Candidate is what a policy may know of one upstream.
type Candidate struct {
	// Own is the number of requests in flight there from this pool.
	InFlight int
	// Load is the estimated number of requests there, from all callers.
	Load float64
	// Allowed is the number of requests that it runs at once.
	Slots int
	// Service is its expected service time.
	ServiceTime time.Duration
	// Distance is the cost of reaching it.
	Distance time.Duration
	// Crossing is what sending there costs besides, in usual service times.
	ZoneCrossingCost float64
	// Usual is the usual service time of all upstreams.
	MeanServiceTime time.Duration
	// Slowdown is how many times longer than usual work takes there now, 1 if that
	// is not known.
	Slowdown float64
	// Failing is the share of the latest requests there that failed.
	FailureRatio float64
	// Transfer is how long the body of the request takes there, if it is a large one.
	TransferTime time.Duration
	// Used is the part that is used of the limit that the upstream names, 0 if it names none.
	LimitUsed float64
	// Wait is how long a request waits there for its turn under the limit that the upstream names.
	LimitWait time.Duration
	// Local is whether it is the upstream beside this process, whose load is
	// known exactly.
	Local bool
}

// share returns the part of what the upstream takes that is in use with one request more.
func (c Candidate) utilisation() float64 { return max((c.Load+1)/float64(c.Slots), c.LimitUsed) }

// View gives a policy the candidates one by one, so that a policy that looks
// at two of them does not pay for all.
type View interface {
	// Len returns the number of candidates. It is positive.
	Len() int
	// At returns candidate i, 0 <= i < Len.
	At(i int) Candidate
}

// Policy chooses among candidates. Its methods are called by one goroutine at
// a time.
type Policy interface {
	// Choose returns the index of the chosen candidate.
	Choose(v View, random *rand.Rand) int
}

// Demanding is a Policy that says which choices are good enough. Where the best one is
// not, a few spare upstreams are considered as well.
type ThresholdPolicy interface {
	Policy
	// Enough returns whether there is no need to look further than c.
	Acceptable(c Candidate) bool
}

// Random chooses any candidate with the same probability.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(v View, random *rand.Rand) int { return random.IntN(v.Len()) }

// RoundRobin chooses the candidates in turn.
type RoundRobin struct {
	next int
}

// Choose implements Policy.
func (p *RoundRobin) Choose(v View, _ *rand.Rand) int {
	p.next++
	return p.next % v.Len()
}

// LeastOutstanding chooses the candidate with the fewest own requests in
// flight, and any of them if there are several.
type LeastOutstanding struct{}

// Choose implements Policy.
func (LeastOutstanding) Choose(v View, random *rand.Rand) int {
	return argmin(v, random, func(c Candidate) float64 { return float64(c.InFlight) })
}

// HotCold calls a candidate hot if its load is above Hot times its allowed
// requests. It chooses the cold candidate with the least service time, or the
// candidate with the least load if all are hot. See B. Wydrowski et al., Load
// is not what you should balance: introducing Prequal, NSDI 2024. Unlike there,
// the loads come from the reports on answers and not from probes of their own.
type HotCold struct {
	// Hot is the share of the allowed requests from which a candidate is hot.
	// Zero means 0.8.
	HotThreshold float64
}

const defaultHotThreshold = 0.8

// Choose implements Policy.
func (p HotCold) Choose(v View, random *rand.Rand) int {
	threshold := p.HotThreshold
	if threshold == 0 {
		threshold = defaultHotThreshold
	}
	return argmin(v, random, func(c Candidate) float64 {
		utilisation := c.Load / float64(c.Slots)
		if utilisation >= threshold || c.LimitWait > 0 {
			return 1e6 * (1 + utilisation)
		}
		return c.ServiceTime.Seconds()
	})
}

// TwoChoice draws two candidates at random and takes the one with the lower
// score
//
//	u * service + distance + transfer + wait
//
// for the load u = (load + 1) / allowed, or the used part of a limit if that is more.
// The local upstream goes first if it has a free slot, no wait, and is not slower than
// LocalSlack times the alternative. See M. Mitzenmacher, The power of two
// choices in randomized load balancing, 2001. doi:10.1109/71.963420.
type TwoChoice struct {
	// LocalSlack is how many times the alternative's service time the local
	// upstream's may be. Zero means 1.5.
	LocalSlack float64
}

const defaultLocalSlack = 1.5

// Choose implements Policy.
func (p TwoChoice) Choose(v View, random *rand.Rand) int {
	n := v.Len()
	i := random.IntN(n)
	if n == 1 {
		return i
	}
	j := random.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := v.At(i), v.At(j)
	best, bestCandidate := i, a
	if score(b) < score(a) {
		best, bestCandidate = j, b
	}
	if local := p.local(v, bestCandidate); local >= 0 {
		return local
	}
	return best
}

// local returns the index of the local candidate if it goes before other, or
// -1.
func (p TwoChoice) local(v View, other Candidate) int {
	slack := p.LocalSlack
	if slack == 0 {
		slack = defaultLocalSlack
	}
	for i := range v.Len() {
		c := v.At(i)
		if !c.Local {
			continue
		}
		free := c.Load < float64(c.Slots) && c.LimitWait == 0
		if free && c.ServiceTime.Seconds() <= slack*other.ServiceTime.Seconds() {
			return i
		}
		return -1
	}
	return -1
}

// score is the expected cost of sending a request to c, in seconds.
func score(c Candidate) float64 {
	return c.utilisation()*c.ServiceTime.Seconds() + (c.Distance + c.TransferTime + c.LimitWait).Seconds()
}

// argmin returns the index of the candidate with the least value, and any of
// them if there are several.
func argmin(v View, random *rand.Rand, value func(Candidate) float64) int {
	best, least, ties := 0, value(v.At(0)), 1
	for i := 1; i < v.Len(); i++ {
		x := value(v.At(i))
		switch {
		case x < least:
			best, least, ties = i, x, 1
		case x == least:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// ByName returns a new policy with the given name. The second result is false
// if there is none.
func ByName(name string) (Policy, bool) {
	switch name {
	case "", "twoChoice":
		return TwoChoice{}, true
	case "random":
		return Random{}, true
	case "roundRobin":
		return &RoundRobin{}, true
	case "leastOutstanding":
		return LeastOutstanding{}, true
	case "fastest":
		return Fastest{}, true
	case "hotCold":
		return HotCold{}, true
	}
	return nil, false
}
