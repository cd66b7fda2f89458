// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import (
	"math/rand/v2"
	"time"
)

// Candidate is one upstream as a policy sees it.
type Candidate struct {
	// InFlight is the number of requests from this pool that are in flight there.
	InFlight int
	// Load is the estimated number of requests there, from all callers.
	Load float64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// ServiceTime is its expected service time.
	ServiceTime time.Duration
	// Distance is the cost of reaching it, expressed as a duration.
	Distance time.Duration
	// ZoneCrossingCost is an additional cost of sending there, in units of MeanServiceTime.
	ZoneCrossingCost float64
	// MeanServiceTime is the mean service time of all upstreams.
	MeanServiceTime time.Duration
	// Slowdown is the factor by which requests currently take longer there than
	// usual, or 1 if it is not known.
	Slowdown float64
	// FailureRatio is the fraction of the latest requests there that failed.
	FailureRatio float64
	// TransferTime is how long it takes to send the body of the request there, if it is large.
	TransferTime time.Duration
	// LimitUsed is the used fraction of the rate limit that the upstream advertises, or 0
	// if it advertises none.
	LimitUsed float64
	// LimitWait is how long a request has to wait there for the upstream's rate limit.
	LimitWait time.Duration
	// Local is whether the upstream is beside this process, so that its load is known
	// exactly.
	Local bool
}

// utilisation returns the fraction of the upstream's capacity that is in use with one more
// request.
func (c Candidate) utilisation() float64 { return max((c.Load+1)/float64(c.Slots), c.LimitUsed) }

// View gives a policy the candidates one by one, so that a policy that compares two of
// them does not pay for computing all.
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

// ThresholdPolicy is a Policy that decides whether a candidate is good enough. If the chosen
// one is not, a Pool considers a few spare upstreams as well.
type ThresholdPolicy interface {
	Policy
	// Acceptable returns whether c is good enough, so that no spare upstreams are needed.
	Acceptable(c Candidate) bool
}

// Random chooses a candidate uniformly at random.
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

// LeastOutstanding chooses the candidate with the fewest requests from this pool in
// flight. It breaks ties at random.
type LeastOutstanding struct{}

// Choose implements Policy.
func (LeastOutstanding) Choose(v View, random *rand.Rand) int {
	return argmin(v, random, func(c Candidate) float64 { return float64(c.InFlight) })
}

// HotCold considers a candidate hot if its load is at least HotThreshold times its slots,
// or if requests have to wait for its rate limit. It chooses the cold candidate with the
// shortest service time, or the candidate with the lowest relative load if all are hot. See
// B. Wydrowski et al., Load is not what you should balance: introducing Prequal, NSDI 2024.
// Unlike Prequal, it uses the loads reported with responses and sends no probes.
type HotCold struct {
	// HotThreshold is the fraction of the slots in use from which a candidate is hot.
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
//	u * serviceTime + distance + transferTime + limitWait
//
// where u is the larger of (load + 1) / slots and the used fraction of the rate limit.
// The local upstream is preferred if it has a free slot, needs no waiting, and its service
// time is at most LocalSlack times that of the drawn candidate. See M. Mitzenmacher, The
// power of two choices in randomized load balancing, 2001. doi:10.1109/71.963420.
type TwoChoice struct {
	// LocalSlack is the factor by which the local upstream's service time may exceed
	// that of the alternative. Zero means 1.5.
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

// local returns the index of the local candidate if it is preferred to other, and -1
// otherwise.
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

// argmin returns the index of the candidate with the lowest value. It breaks ties at
// random.
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
