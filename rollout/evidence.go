// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "math"

const (
	// decayPerStep is the factor by which the counts of the former version decay in each step, so
	// that about the last two seconds count.
	decayPerStep = 0.9
	// judgeDelaySteps is the number of steps after which the new version's counts are judged. They are
	// compared with each of the former version's last recentSteps steps: when both versions begin to
	// fail at the same moment, one may report it a step earlier than the other. Steps with fewer than
	// minStepRequests requests are ignored.
	judgeDelaySteps = 2
	recentSteps     = 4
	minStepRequests = 8
	// minReferenceRequests is the number of requests of the former version from which it serves as
	// reference.
	minReferenceRequests = 20
	// slowRatio is the multiple of the former version's median run time above which a request is
	// slow. It is large enough that a version that is several times slower is found, and upstreams
	// that are cold or share their processor are not.
	slowRatio = 3.0
	// alarmEvidence is the sum of the evidence from which a version is considered faulty, as the logarithm
	// of a likelihood ratio: with the former version's failure rate it is reached by chance once in
	// more than exp(alarmEvidence), or some 8,000, requests.
	alarmEvidence = 9.0
)

// rates are a rate that is usual and one that shows a fault.
type rates struct {
	usual, faulty float64
}

// The lowest usual rates, the rates caused by a fault, and the usual rates from which a fault can't
// be detected. A fault fails at least a quarter of the requests that would otherwise succeed.
const (
	minFailureRate   = 0.02
	faultFailureRate = 0.25
	maxFailureRate   = 0.8
	minSlowRate      = 0.1
	faultSlowRate    = 0.6
	maxSlowRate      = 0.4
)

// evidencePerRequest returns the mean evidence given by a request of a faulty version.
func (b rates) evidencePerRequest() float64 {
	return b.faulty*math.Log(b.faulty/b.usual) + (1-b.faulty)*math.Log((1-b.faulty)/(1-b.usual))
}

// failureRates returns the bounds on the failure rate, given the former version's. The second result is
// false if that is too high to detect a fault.
func failureRates(rate float64) (rates, bool) {
	usual := max(rate, minFailureRate)
	return rates{
		usual:  usual,
		faulty: usual + (1-usual)*faultFailureRate,
	}, usual < maxFailureRate
}

// slowRates is like failureRates, for the rate of slow requests.
func slowRates(rate float64) (rates, bool) {
	usual := max(rate, minSlowRate)
	return rates{
		usual:  usual,
		faulty: faultSlowRate,
	}, usual < maxSlowRate
}

// evidence is a cumulative sum of log-likelihood ratios with a lower bound of 0, so that a fault that
// begins late is found as quickly as one that was present from the start. See E. S. Page, Continuous
// inspection schemes, 1954. doi:10.1093/biomet/41.1-2.100.
type evidence float64

// after returns the evidence after n more requests, of which bad failed or were slow.
func (e evidence) after(b rates, n, bad uint64) evidence {
	gain := math.Log(b.faulty / b.usual)
	loss := math.Log((1 - b.faulty) / (1 - b.usual))
	return max(0, e+evidence(float64(bad)*gain+float64(n-min(n, bad))*loss))
}

// reference holds statistics of the former version's recent requests of one class.
type reference struct {
	requests, failed float64
	durations        [bucketCount]float64
	steps            [recentSteps]Tally // the most recent first
}

// add adds the counts of one step. The statistics do not decay in a step without requests: the last
// ones stay in use after all requests have moved to the new version.
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

// sufficient returns whether there are enough requests to compare with.
func (r *reference) sufficient() bool { return r.requests >= minReferenceRequests }

// failureRateBound returns an upper bound of the former version's failure rate: the highest of the last
// steps, or the decayed mean if these have too few requests.
func (r *reference) failureRateBound() float64 {
	if rate := r.recentFailureRateBound(); rate > 0 {
		return rate
	}
	return upperBound(r.requests, r.failed)
}

// recentFailureRateBound returns the highest upper bound of the former version's failure rate in one of the
// last steps.
func (r *reference) recentFailureRateBound() (rate float64) {
	for _, t := range r.steps {
		if t.Requests >= minStepRequests {
			rate = max(rate, upperBound(float64(t.Requests), float64(t.Failed)))
		}
	}
	return rate
}

// upperBound returns the observed failure rate plus two standard deviations.
func upperBound(requests, failed float64) float64 {
	rate := (failed + 0.5) / (requests + 1)
	return rate + 2*math.Sqrt(rate*(1-rate)/(requests+1))
}

// slowThreshold returns the bucket of run times from which a request is slow, and the rate of such
// requests at the former version.
func (r *reference) slowThreshold() (bucket int, rate float64) {
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
