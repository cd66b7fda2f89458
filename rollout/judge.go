// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"fmt"
	"time"
)

const (
	// trialFraction is the fraction of an order's duration at which the trial ends at the earliest.
	// widenedFraction and movedFraction are the least durations of the next two phases, as fractions of it.
	// They give a fault that begins late time to show before all requests move.
	trialFraction   = 0.4
	widenedFraction = 0.1
	movedFraction   = 0.15
	// maxWidenedFactor is the multiple of widenedFraction for which a version may keep the larger share
	// without enough evidence that it is good, as that share exceeds the exposure over longer times.
	maxWidenedFactor = 4.0
	// minPhaseTime is the least time in one phase, so that all nodes learn of it.
	minPhaseTime = 1500 * time.Millisecond
	// finalFraction is the fraction of the duration after which a version that has not reached Moved is
	// rolled back, and one that has reached it is completed.
	finalFraction = 0.85
	// minRequests is the number of judged requests that a version needs to advance.
	minRequests = 30
	// minClassRequests is the number of requests from which a class has to be judged.
	minClassRequests = 8
	// widenedClassFraction is the fraction of alarmEvidence that a faulty version would have reached in each class
	// before half of the requests move there.
	widenedClassFraction = 0.5
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = 3 * time.Second
)

// Judge decides on one Order from the reports of the nodes beside the upstreams. It is not safe for
// concurrent use. The exported fields are set before the first call.
type Judge struct {
	// Order is the order to decide on.
	Order Order
	// StartedAt is when this node received the order.
	StartedAt time.Time

	upstreams        map[string]*upstream  // by node
	former           map[string]*reference // by class
	formerTotal      reference             // requests of all classes at the former version
	failureEvidence  evidenceByClass       // evidence against the new version
	slowEvidence     evidenceByClass
	pending          [judgeDelaySteps][]stepCount // counts of the new version in the last steps, the most recent first
	phase            Phase
	phaseStartedAt   time.Time          // when the phase was first seen
	judgedRequests   uint64             // judged requests of the new version since then
	requestsByClass  map[string]uint64  // requests of the new version since then, by class
	expectedEvidence map[string]float64 // evidence that a faulty version would have given since then, by class
}

// upstream is the last report of a node, with the evidence against its upstream.
type upstream struct {
	report          Report
	received        time.Time
	tallies         map[string]Tally // tallies up to the last step, by class
	failureEvidence evidenceByClass
	slowEvidence    evidenceByClass
}

// stepCount is the tally of one class at one upstream of the new version in one step.
type stepCount struct {
	upstream *upstream
	class    string
	tally    Tally
}

// evidenceByClass is the evidence against a version by class.
type evidenceByClass map[string]evidence

// Observe records a node's report.
func (j *Judge) Observe(node string, r Report, now time.Time) {
	if j.upstreams == nil {
		j.upstreams = make(map[string]*upstream)
		j.former = make(map[string]*reference)
		j.failureEvidence = make(evidenceByClass)
		j.slowEvidence = make(evidenceByClass)
	}
	u := j.upstreams[node]
	if u == nil || u.report.StartID != r.StartID || u.report.Version != r.Version {
		u = &upstream{
			tallies:         make(map[string]Tally),
			failureEvidence: make(evidenceByClass),
			slowEvidence:    make(evidenceByClass),
		}
		j.upstreams[node] = u
	}
	u.report = r
	u.received = now
}

// Step judges the reports since the last step, and returns the next phase of the order and the reason
// for it. The argument hasCapacity is whether the version's upstreams can take all requests. Step is called
// some four times a second.
func (j *Judge) Step(current State, hasCapacity bool, now time.Time) (next Phase, reason string) {
	if current.Phase != j.phase || j.phaseStartedAt.IsZero() {
		j.phase = current.Phase
		j.phaseStartedAt = now
		j.judgedRequests = 0
		j.requestsByClass, j.expectedEvidence = make(map[string]uint64), make(map[string]float64)
	}
	j.updateReference()
	class, sum, fault := j.strongestEvidence()
	if current.Phase >= Stopped {
		return current.Phase, current.Reason
	}
	if sum >= alarmEvidence && current.Phase != Emptied { // in Emptied there is nothing to compare with
		return Stopped, fmt.Sprintf("class %s: %s, evidence %.1f of %.1f", class, fault, sum, alarmEvidence)
	}
	return j.advance(current, hasCapacity, sum < alarmEvidence/2, now)
}

// advance returns the next phase of a version that was not found faulty.
func (j *Judge) advance(current State, hasCapacity, lowEvidence bool, now time.Time) (Phase, string) {
	elapsed := float64(now.Sub(j.StartedAt)) / float64(j.Order.Duration)
	inPhase := now.Sub(j.phaseStartedAt)
	phaseTime := func(fraction float64) time.Duration {
		return max(minPhaseTime, time.Duration(fraction*float64(j.Order.Duration)))
	}
	ready := func(minClassFraction float64) bool {
		return lowEvidence && hasCapacity && j.hasEnoughEvidence(minClassFraction)
	}
	switch {
	case current.Phase == Emptied && (elapsed >= 1 || inPhase >= minPhaseTime && j.formerRunning(now) == 0):
		return Completed, fmt.Sprintf("%d requests since the former version gets none", j.judgedRequests)
	case current.Phase == Moved && lowEvidence && (elapsed >= finalFraction || inPhase >= phaseTime(movedFraction)):
		return Emptied, fmt.Sprintf("%d requests since half have moved", j.judgedRequests)
	case current.Phase == Emptied, current.Phase == Moved && elapsed < 1:
	case elapsed >= finalFraction, current.Phase == Widened && inPhase >= phaseTime(maxWidenedFactor*widenedFraction):
		return Stopped, fmt.Sprintf("not enough is known in time: %d requests, room for all: %v", j.judgedRequests, hasCapacity)
	case current.Phase == Trial && ready(0) && elapsed >= trialFraction:
		return Widened, fmt.Sprintf("%d requests on trial", j.judgedRequests)
	case current.Phase == Widened && ready(widenedClassFraction) && inPhase >= phaseTime(widenedFraction):
		return Moved, fmt.Sprintf("%d requests since the share was widened", j.judgedRequests)
	}
	return current.Phase, current.Reason
}

// hasEnoughEvidence returns whether a faulty version would have been found by now: from the evidence of all
// classes together and, in each class with many requests, from a fraction of it. If the former version
// has a high failure rate as well, that takes more requests.
func (j *Judge) hasEnoughEvidence(minClassFraction float64) bool {
	var all float64
	for class, n := range j.requestsByClass {
		all += j.expectedEvidence[class]
		if n >= minClassRequests && j.expectedEvidence[class] < minClassFraction*alarmEvidence {
			return false
		}
	}
	return all >= alarmEvidence && j.judgedRequests >= minRequests
}

// updateReference adds the reports of the former version to the reference.
func (j *Judge) updateReference() {
	sums := make(map[string]Tally)
	for _, u := range j.upstreams {
		if u.report.Version == j.Order.Version {
			continue
		}
		for class, t := range u.report.Classes {
			sums[class] = sums[class].plus(t.since(u.tallies[class]))
			u.tallies[class] = t
		}
	}
	var sum Tally
	for class, t := range sums {
		if j.former[class] == nil {
			j.former[class] = new(reference)
		}
		sum = sum.plus(t)
	}
	j.formerTotal.add(sum)
	for class, r := range j.former {
		r.add(sums[class])
	}
}

// strongestEvidence evaluates the reports of the new version, and returns the class with the most evidence of a
// fault, that evidence and the kind of fault.
func (j *Judge) strongestEvidence() (worst string, strongest float64, fault string) {
	for _, c := range j.countsToJudge() {
		j.addEvidence(c.upstream, c.class, c.tally)
	}
	for class := range j.failureEvidence {
		if e := j.sharedEvidence(class, j.failureEvidence, func(u *upstream) evidenceByClass { return u.failureEvidence }); e > strongest {
			worst, strongest, fault = class, e, "fails more requests than the former version"
		}
		if e := j.sharedEvidence(class, j.slowEvidence, func(u *upstream) evidenceByClass { return u.slowEvidence }); e > strongest {
			worst, strongest, fault = class, e, "takes longer than the former version"
		}
	}
	return worst, strongest, fault
}

// countsToJudge records the new version's counts of this step, and returns those that are to be judged now.
func (j *Judge) countsToJudge() []stepCount {
	var now []stepCount
	for _, u := range j.upstreams {
		if u.report.Version != j.Order.Version {
			continue
		}
		for class, t := range u.report.Classes {
			if d := t.since(u.tallies[class]); d.Requests > 0 {
				now = append(now, stepCount{
					upstream: u,
					class:    class,
					tally:    d,
				})
			}
			u.tallies[class] = t
		}
	}
	counts := j.pending[judgeDelaySteps-1]
	copy(j.pending[1:], j.pending[:])
	j.pending[0] = now
	return counts
}

// addEvidence adds the evidence from some requests of a class at one upstream.
func (j *Judge) addEvidence(u *upstream, class string, d Tally) {
	failureRate := j.formerTotal.recentFailureRateBound() // a class may have too few requests to show a temporary fault of both versions
	if r := j.former[class]; r != nil && r.sufficient() {
		failureRate = max(failureRate, r.failureRateBound())
		from, usual := r.slowThreshold()
		if b, ok := slowRates(usual); ok {
			u.slowEvidence.add(class, b, d.Requests, d.countFrom(from))
			j.slowEvidence.add(class, b, d.Requests, d.countFrom(from))
		}
	}
	j.failureEvidence[class] += 0 // creates the entry
	j.requestsByClass[class] += d.Requests
	if b, ok := failureRates(failureRate); ok {
		j.judgedRequests += d.Requests
		j.expectedEvidence[class] += float64(d.Requests) * b.evidencePerRequest()
		u.failureEvidence.add(class, b, d.Requests, d.Failed)
		j.failureEvidence.add(class, b, d.Requests, d.Failed)
	}
}

// add adds the evidence from n requests, of which bad failed or were slow.
func (s evidenceByClass) add(class string, b rates, n, bad uint64) {
	s[class] = s[class].after(b, n, bad)
}

// sharedEvidence returns the evidence in a class without that of the upstream with the most, so that a single
// faulty instance is not mistaken for a faulty version.
func (j *Judge) sharedEvidence(class string, all evidenceByClass, of func(u *upstream) evidenceByClass) float64 {
	var most evidence
	reporting := 0
	for _, u := range j.upstreams {
		if u.report.Version == j.Order.Version && u.report.Classes[class].Requests > 0 {
			reporting++
			most = max(most, of(u)[class])
		}
	}
	if reporting < 2 {
		return float64(all[class])
	}
	return float64(all[class] - most)
}

// formerRunning returns the number of requests in flight at upstreams of the former version with recent reports.
func (j *Judge) formerRunning(now time.Time) (running int) {
	for _, u := range j.upstreams {
		if u.report.Version != j.Order.Version && now.Sub(u.received) < maxReportAge {
			running += u.report.Running
		}
	}
	return running
}

// plus returns the sum of two tallies.
func (t Tally) plus(o Tally) Tally {
	sum := Tally{
		Requests:       t.Requests + o.Requests,
		Failed:         t.Failed + o.Failed,
		DurationCounts: make([]uint64, max(len(t.DurationCounts), len(o.DurationCounts))),
	}
	copy(sum.DurationCounts, t.DurationCounts)
	for i, n := range o.DurationCounts {
		sum.DurationCounts[i] += n
	}
	return sum
}

// countFrom returns the number of requests in a bucket of run times and all higher ones.
func (t Tally) countFrom(bucket int) (n uint64) {
	for i := bucket; i < len(t.DurationCounts); i++ {
		n += t.DurationCounts[i]
	}
	return n
}
