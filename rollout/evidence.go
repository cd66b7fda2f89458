// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "math"

const (
	// reportsKept is the weight that counts of the former version keep with each step, so
	// that some two seconds count.
	decayPerStep = 0.9
	// lag is the number of steps after which the new version's counts are judged, and recent
	// the number of steps of the former version's that they are compared with, one by one: a
	// spell in which both fail begins at one moment, and is reported by each a step sooner or
	// later. Steps of fewer than leastInStep requests tell nothing.
	judgeDelaySteps = 2
	recentSteps     = 4
	minStepRequests = 8
	// leastReference is the number of requests of the former version from which it is a
	// reference.
	minReferenceRequests = 20
	// slowRatio is how many times the former version's median run time a request takes
	// that counts as slow. Versions that are several times slower are to be found, upstreams
	// that are cold or share their processor are not.
	slowRatio = 3.0
	// alarm is the sum of the evidence from which a version is faulty, in the logarithm of
	// a likelihood ratio: at a former version's share of failures, it is reached by chance
	// once in more than exp(alarm), some 8,000, requests.
	alarmEvidence = 9.0
)

// bounds are a share that is usual and one that shows a fault.
type rates struct {
	usual, faulty float64
}

// The shares that are usual at least, those that a fault brings about, and those from which
// nothing can be told. A fault fails a quarter or more of the requests that would not fail
// otherwise.
const (
	minFailureRate   = 0.02
	faultFailureRate = 0.25
	maxFailureRate   = 0.8
	minSlowRate      = 0.1
	faultSlowRate    = 0.6
	maxSlowRate      = 0.4
)

// perRequest returns the evidence that a request of a faulty version gives on average.
func (b rates) evidencePerRequest() float64 {
	return b.faulty*math.Log(b.faulty/b.usual) + (1-b.faulty)*math.Log((1-b.faulty)/(1-b.usual))
}

// failing and slow return the bounds, given the former version's share. The second result is
// false if it is so large that nothing can be told.
func failureRates(share float64) (rates, bool) {
	usual := max(share, minFailureRate)
	return rates{
		usual:  usual,
		faulty: usual + (1-usual)*faultFailureRate,
	}, usual < maxFailureRate
}

func slowRates(share float64) (rates, bool) {
	usual := max(share, minSlowRate)
	return rates{
		usual:  usual,
		faulty: faultSlowRate,
	}, usual < maxSlowRate
}

// evidence is a cumulative sum of log-likelihood ratios that is never below 0, so that a fault
// which begins late is found as soon as one that was there from the start. See E. S. Page,
// Continuous inspection schemes, 1954. doi:10.1093/biomet/41.1-2.100.
type evidence float64

// after returns the evidence after n more requests, of which bad were so.
func (e evidence) after(b rates, n, bad uint64) evidence {
	gain := math.Log(b.faulty / b.usual)
	loss := math.Log((1 - b.faulty) / (1 - b.usual))
	return max(0, e+evidence(float64(bad)*gain+float64(n-min(n, bad))*loss))
}

// reference is what the former version's requests of one class were like lately.
type reference struct {
	requests, failed float64
	durations        [bucketCount]float64
	steps            [recentSteps]Tally // the last first
}

// add takes in one step's counts. A step without any changes nothing: once all requests have
// moved, the last reference stays.
func (r *reference) add(t Tally) {
	copy(r.steps[1:], r.steps[:])
	r.steps[0] = t
	if t.Requests == 0 {
		return
	}
	r.requests = decayPerStep*r.requests + float64(t.Requests)
	r.failed = decayPerStep*r.failed + float64(t.Failed)
	for i := range r.durations {
		r.durations[i] *= decayPerStep
		if i < len(t.DurationCounts) {
			r.durations[i] += float64(t.DurationCounts[i])
		}
	}
}

// known returns whether there is enough to compare with.
func (r *reference) sufficient() bool { return r.requests >= minReferenceRequests }

// failedShare returns the largest share of its requests that the former version may have
// failed: in one of the last steps, or over some time where these are of too few requests.
func (r *reference) failureRateBound() float64 {
	if share := r.recentFailureRateBound(); share > 0 {
		return share
	}
	return upperBound(r.requests, r.failed)
}

// failedLately returns the largest share of its requests that the former version may have
// failed in one of the last steps.
func (r *reference) recentFailureRateBound() (share float64) {
	for _, t := range r.steps {
		if t.Requests >= minStepRequests {
			share = max(share, upperBound(float64(t.Requests), float64(t.Failed)))
		}
	}
	return share
}

// upper returns the share that is two standard deviations above the one of some requests that
// were counted.
func upperBound(requests, failed float64) float64 {
	share := (failed + 0.5) / (requests + 1)
	return share + 2*math.Sqrt(share*(1-share)/(requests+1))
}

// slowFrom returns the range of run times from which a request is slow, and the share of such
// requests at the former version.
func (r *reference) slowThreshold() (bucket int, share float64) {
	var sum float64
	median := 0
	for i, n := range r.durations {
		sum += n
		if sum >= r.requests/2 {
			median = i
			break
		}
	}
	bucket = median + int(math.Ceil(math.Log(slowRatio)/math.Log(bucketRatio)))
	var above float64
	for i := bucket; i < bucketCount; i++ {
		above += r.durations[i]
	}
	return bucket, above / max(r.requests, 1)
}
