// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import "time"

// Report is the load of a gate at one instant.
type Report struct {
	// Running and Waiting count the running and waiting requests. An abandoned request that
	// holds its slot counts as running.
	Running, Waiting int
	// Allowed is the number of requests that may run now, at most the slots.
	Allowed int
	// ServiceTime is the expected service time at the usual speed: the larger of the mean over
	// recent requests, each divided by the slowdown at its start, and the mean age of the
	// running ones, so that it grows at once when the upstream stops responding. It is zero
	// before the first request has ended.
	ServiceTime time.Duration
	// Limited is whether the upstream advertises a limit, Limit is that limit in requests per
	// second, LimitUsed the fraction of it that was used in the last window, and LimitWait the
	// time until a request that arrives now may start under it.
	Limited   bool
	Limit     float64
	LimitUsed float64
	LimitWait time.Duration
	// Draining is whether the gate refuses all new requests.
	Draining bool
	// Slowdown is how many times longer than usual the upstream takes now, as it last
	// reported, or 1 if it has not reported.
	Slowdown float64
	// MinSlowdown is the minimum slowdown of the last second.
	MinSlowdown float64
	// SlowRemaining is the expected remaining time of the present slow period, or 0.
	SlowRemaining time.Duration
	// FailureRatio is the fraction of recent requests that the upstream failed.
	FailureRatio float64
	// WaitingOrganisations is the number of organisations with waiting requests, summed over
	// the classes.
	WaitingOrganisations int
	// Displaced is the number of requests that have been refused while waiting because the
	// queue was full and their organisation had the most requests in it.
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

// waitingOrganisations returns the number of organisations with waiting requests, summed over the
// classes.
func (g *Gate) waitingOrganisations() (sum int) {
	for _, q := range g.classes {
		sum += q.flows.WaitingOrganisations()
	}
	return sum
}

// maxPlausibleSlowdown divides the age of running requests if the upstream reports its speed:
// requests that started while it was slow stay slow, and only an age that no slowdown explains
// shows that it hangs. It must be above any slowdown reported by an upstream that still responds.
const maxPlausibleSlowdown = 6

// expectedServiceTime returns the expected service time at the given time, for an upstream that
// runs at its usual speed.
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
