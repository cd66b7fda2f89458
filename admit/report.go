// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

// Report is a gate's load at one instant.
type Report struct {
	// Running and Waiting count the requests in the two states. An abandoned request that
	// holds its slot counts as running.
	Running, Waiting int
	// Allowed is the number of requests that may run now, at most the slots.
	Allowed int
	// Service is the expected service time at the usual speed. It is the larger of
	// the mean over recent requests, each divided by the slowdown that it began
	// with, and the mean age of the running ones, so that it grows at once when the
	// upstream stops answering. It is zero before the first request has ended.
	ServiceTime time.Duration
	// Limited is whether the upstream names a limit, Limit its requests a second, Used the part of
	// it that was used in the last window, and Free after how long a request that comes now may
	// start under it.
	Limited   bool
	Limit     float64
	LimitUsed float64
	LimitWait time.Duration
	// Draining is whether the gate refuses all new requests.
	Draining bool
	// Slowdown is how many times longer than usual work takes now, as the
	// upstream told last. It is 1 if it has not told.
	Slowdown float64
	// Pace is the least slowdown of the last second.
	MinSlowdown float64
	// Rest is the expected rest of the present slow spell, 0 if there is none.
	SlowRemaining time.Duration
	// Failing is the share of the latest requests that the upstream failed.
	FailureRatio float64
	// Organisations is the number of them with waiting requests, summed over the classes.
	WaitingOrganisations int
	// Displaced is the number of requests so far that were refused while they waited, as
	// the queue was full and their organisation had most in it.
	Displaced uint64
}

// Report returns the gate's present load.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var service time.Duration
	if g.limiter.fast > 0 {
		service = g.expectedServiceTime(now)
	}
	limit := g.AdvertisedLimiter.State()
	waiting := g.waiting + g.pendingBodies
	return Report{
		Running:       g.occupiedSlots(now),
		Waiting:       waiting,
		Allowed:       g.allowed(now),
		Limited:       limit.Limited,
		Limit:         limit.Rate,
		LimitUsed:     limit.Used,
		LimitWait:     g.AdvertisedLimiter.Wait(waiting),
		ServiceTime:   service,
		Draining:      g.draining,
		Slowdown:      g.currentSlowdown(),
		MinSlowdown:   g.minSlowdown.value(now),
		SlowRemaining: g.slowPeriods.remaining(now, maxSlowRemaining),
		FailureRatio:  g.failureRatio.Value(now),

		WaitingOrganisations: g.waitingOrganisations(),
		Displaced:            g.displaced,
	}
}

// organisations returns the number of organisations with waiting requests, summed over the
// classes.
func (g *Gate) waitingOrganisations() (sum int) {
	for _, q := range g.classes {
		sum += q.flows.WaitingOrganisations()
	}
	return sum
}

// agePatience divides the age of running requests where the upstream tells its
// speed: requests that began while it was slow stay slow, and only an age that
// no slowdown explains says that it hangs. It is to be above any slowdown that
// an upstream which still answers tells.
const maxPlausibleSlowdown = 6

// service returns the expected service time at the given time, for an upstream
// that runs at its usual speed.
func (g *Gate) expectedServiceTime(now time.Time) time.Duration {
	mean := time.Duration(g.limiter.fast * float64(time.Second))
	if g.running == 0 {
		return mean
	}
	age := now.Sub(g.epoch) - g.startTimeSum/time.Duration(g.running)
	if g.slowdown > 0 {
		age /= maxPlausibleSlowdown
	}
	return max(mean, age)
}
