// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package route

import "time"

// view is the candidates of a pool as a policy sees them.
type view[K comparable] struct {
	pool      *Pool[K]
	now       time.Time
	bodyBytes int64 // the size of the request's body
}

// Len implements View.
func (v view[K]) Len() int { return len(v.pool.candidates) }

// At implements View.
func (v view[K]) At(i int) Candidate {
	p, e := v.pool, v.pool.candidates[i]
	c := Candidate{
		InFlight:         e.inFlight,
		Load:             max(p.meanLoad, float64(e.inFlight)),
		Slots:            max(1, e.target.Slots),
		ServiceTime:      p.meanServiceTime(),
		Distance:         e.target.Distance,
		ZoneCrossingCost: e.target.ZoneCrossingCost,
		MeanServiceTime:  p.meanServiceTime(),
		Local:            e.target.Local,
		Slowdown:         1,
	}
	if !e.reportedAt.IsZero() {
		age := v.now.Sub(e.reportedAt)
		fresh := decay(age, loadDecay)
		known := float64(e.reported.Running + e.reported.Waiting + e.sentSince - e.endedSince)
		c.Load = max(float64(e.inFlight), fresh*known+(1-fresh)*c.Load)
		c.Slots = e.reported.Slots
		if e.reported.ServiceTime > 0 {
			fresh = decay(age, serviceTimeDecay)
			c.ServiceTime = time.Duration(fresh*float64(e.reported.ServiceTime) + (1-fresh)*float64(c.ServiceTime))
		}
		if e.reported.Slowdown > 0 {
			fresh = decay(age, slowdownDecay)
			c.Slowdown = fresh*e.reported.Slowdown + (1-fresh)*c.Slowdown
		}
		c.FailureRatio = e.failureRatio(v.now)
		c.LimitUsed, c.LimitWait = e.rateLimitState(age)
	}
	if v.bodyBytes > 0 && !e.target.Local {
		c.TransferTime = p.transferTime(e, v.bodyBytes, v.now)
	}
	if e.inFlight > 0 {
		age := v.now.Sub(timeOrigin) - e.startSum/time.Duration(e.inFlight)
		if e.reported.Slowdown > 0 {
			age /= inFlightAgeDivisor
		}
		c.ServiceTime = max(c.ServiceTime, age)
	}
	return c
}

const (
	// minRateLimit is the lowest rate limit that is assumed, in requests per second. An upstream
	// that accepts no requests is still sent one from time to time, as only a response shows
	// that the limit has ended.
	minRateLimit = 0.25
	// rateLimitWindow is the time over which the used fraction of a rate limit is counted.
	rateLimitWindow = 4 * time.Second
)

// rateLimitState returns the used fraction of the rate limit that the upstream advertises, and
// how long a request has to wait for it, given the age of the last report. It combines that
// report with the requests sent since.
func (e *entry[K]) rateLimitState(age time.Duration) (used float64, wait time.Duration) {
	if !e.reported.Limited {
		return 0, 0
	}
	usedSeconds := float64(e.sentSince) / max(minRateLimit, e.reported.Limit) // seconds of the rate limit that they take
	used = min(1, decay(age, rateLimitWindow)*e.reported.LimitUsed+usedSeconds/rateLimitWindow.Seconds())
	return used, max(0, e.reported.LimitWait+time.Duration(usedSeconds*float64(time.Second))-age)
}

// transferTime returns how long it takes to send a body to a node, over the slower one of the
// two links and behind the bodies that are already queued at the other end.
func (p *Pool[K]) transferTime(e *entry[K], body int64, now time.Time) time.Duration {
	var seconds float64
	if p.LinkBandwidth > 0 {
		seconds = float64(body) / p.LinkBandwidth
	}
	if rate := e.reported.LinkBandwidth; rate > 0 {
		backlog := decay(now.Sub(e.reportedAt), loadDecay) * float64(int64(e.reported.BacklogBytes)+e.bodyBytesSince)
		seconds = max(seconds, (backlog+float64(body))/rate)
	}
	return time.Duration(seconds * float64(time.Second))
}

// failureRatio returns the last reported failure ratio, decayed by its age.
func (e *entry[K]) failureRatio(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return decay(now.Sub(e.reportedAt), failureRatioDecay) * e.reported.FailureRatio
}
