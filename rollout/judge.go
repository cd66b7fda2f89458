// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"fmt"
	"time"
)

const (
	// trialUntil and widenedFor are the part of an order's duration up to which a version
	// stays on trial, and for which its share is widened and then most requests go there. A
	// fault that begins late is to show before all do.
	trialFraction   = 0.4
	widenedFraction = 0.1
	movedFraction   = 0.15
	// mostWidened is how many times that long a version keeps the larger share without being
	// known to be good: the share is more than it may have for long.
	maxWidenedFactor = 4.0
	// leastStep is the least time in one phase, so that all nodes have heard of it.
	minPhaseTime = 1500 * time.Millisecond
	// lastStep is the part of the duration after which a version that has not moved is
	// rolled back, and one that has moved is completed.
	finalFraction = 0.85
	// leastRequests is the number of a version's requests without which it goes no further.
	minRequests = 30
	// leastInClass is the number of requests of a class from which it has to be judged.
	minClassRequests = 8
	// widenedInEach is the part of the evidence for an alarm that a faulty version would have to
	// have given in each class before most requests move there.
	widenedClassEvidence = 0.5
	// reportAge is how old a report may be that counts.
	maxReportAge = 3 * time.Second
)

// Judge decides on one Order from what the nodes beside the upstreams report. It is not safe
// for use by several goroutines at once. The exported fields are set before the first call.
type Judge struct {
	// Order is what is decided on.
	Order Order
	// Began is when this node heard of it.
	StartedAt time.Time

	upstreams        map[string]*upstream  // by node
	former           map[string]*reference // by class
	formerTotal      reference             // the former version's requests of all classes
	failureEvidence  evidenceByClass       // of the new version, by class
	slowEvidence     evidenceByClass
	pending          [judgeDelaySteps][]stepCount // the new version's counts of the last steps, the last first
	phase            Phase
	phaseStartedAt   time.Time          // when the phase was first seen
	judgedRequests   uint64             // of the version since then, that were judged
	requestsByClass  map[string]uint64  // of the version since then, by class
	expectedEvidence map[string]float64 // the evidence that a faulty version would have given since then
}

// upstream is what a node has reported.
type upstream struct {
	report          Report
	received        time.Time
	tallies         map[string]Tally // up to the last step, by class
	failureEvidence evidenceByClass
	slowEvidence    evidenceByClass
}

// counted is what one upstream of the new version counts in one step, of one class.
type stepCount struct {
	upstream *upstream
	class    string
	tally    Tally
}

// sums are the evidence against a version by class.
type evidenceByClass map[string]evidence

// Observe takes in a node's report.
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

// Step judges what was reported since the last step, and returns the phase that the order is
// to be in and why. Room is whether the version's upstreams can take all requests. It is
// called some four times a second.
func (j *Judge) Step(present State, hasCapacity bool, now time.Time) (next Phase, reason string) {
	if present.Phase != j.phase || j.phaseStartedAt.IsZero() {
		j.phase = present.Phase
		j.phaseStartedAt = now
		j.judgedRequests = 0
		j.requestsByClass, j.expectedEvidence = make(map[string]uint64), make(map[string]float64)
	}
	j.updateReference()
	class, sum, fault := j.strongestEvidence()
	if present.Phase >= Stopped {
		return present.Phase, present.Reason
	}
	if sum >= alarmEvidence && present.Phase != Emptied { // nothing is left then to compare with
		return Stopped, fmt.Sprintf("class %s: %s, evidence %.1f of %.1f", class, fault, sum, alarmEvidence)
	}
	return j.advance(present, hasCapacity, sum < alarmEvidence/2, now)
}

// advance returns the next phase of a version that is not found faulty.
func (j *Judge) advance(present State, hasCapacity, calm bool, now time.Time) (Phase, string) {
	elapsed := float64(now.Sub(j.StartedAt)) / float64(j.Order.Duration)
	inPhase := now.Sub(j.phaseStartedAt)
	phaseTime := func(share float64) time.Duration {
		return max(minPhaseTime, time.Duration(share*float64(j.Order.Duration)))
	}
	ready := func(classEvidence float64) bool { return calm && hasCapacity && j.hasEnoughEvidence(classEvidence) }
	switch {
	case present.Phase == Emptied && (elapsed >= 1 || inPhase >= minPhaseTime && j.formerRunning(now) == 0):
		return Completed, fmt.Sprintf("%d requests since the former version gets none", j.judgedRequests)
	case present.Phase == Moved && calm && (elapsed >= finalFraction || inPhase >= phaseTime(movedFraction)):
		return Emptied, fmt.Sprintf("%d requests since half have moved", j.judgedRequests)
	case present.Phase == Emptied, present.Phase == Moved && elapsed < 1:
	case elapsed >= finalFraction, present.Phase == Widened && inPhase >= phaseTime(maxWidenedFactor*widenedFraction):
		return Stopped, fmt.Sprintf("not enough is known in time: %d requests, room for all: %v", j.judgedRequests, hasCapacity)
	case present.Phase == Trial && ready(0) && elapsed >= trialFraction:
		return Widened, fmt.Sprintf("%d requests on trial", j.judgedRequests)
	case present.Phase == Widened && ready(widenedClassEvidence) && inPhase >= phaseTime(widenedFraction):
		return Moved, fmt.Sprintf("%d requests since the share was widened", j.judgedRequests)
	}
	return present.Phase, present.Reason
}

// enough returns whether a faulty version would have been found by now: by the evidence of all
// classes together, and, where each has many requests, by a part of it in each. Where the former
// version fails many as well, that takes more of them.
func (j *Judge) hasEnoughEvidence(classEvidence float64) bool {
	var all float64
	for class, n := range j.requestsByClass {
		all += j.expectedEvidence[class]
		if n >= minClassRequests && j.expectedEvidence[class] < classEvidence*alarmEvidence {
			return false
		}
	}
	return all >= alarmEvidence && j.judgedRequests >= minRequests
}

// learnFormer takes in what was reported of the former version.
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

// judge takes in what was reported of the new version, and returns the class with the most
// evidence against it, and what of.
func (j *Judge) strongestEvidence() (worst string, strongest float64, fault string) {
	for _, c := range j.dueCounts() {
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

// due takes in the new version's counts of this step, and returns those that are to be judged.
func (j *Judge) dueCounts() []stepCount {
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
	due := j.pending[judgeDelaySteps-1]
	copy(j.pending[1:], j.pending[:])
	j.pending[0] = now
	return due
}

// weigh adds the evidence of some requests of a class at one upstream.
func (j *Judge) addEvidence(u *upstream, class string, d Tally) {
	share := j.formerTotal.recentFailureRateBound() // a class may have too few requests to tell of a spell
	if r := j.former[class]; r != nil && r.sufficient() {
		share = max(share, r.failureRateBound())
		from, usual := r.slowThreshold()
		if b, ok := slowRates(usual); ok {
			u.slowEvidence.add(class, b, d.Requests, d.countFrom(from))
			j.slowEvidence.add(class, b, d.Requests, d.countFrom(from))
		}
	}
	j.failureEvidence[class] += 0 // which shows that there are such requests
	j.requestsByClass[class] += d.Requests
	if b, ok := failureRates(share); ok {
		j.judgedRequests += d.Requests
		j.expectedEvidence[class] += float64(d.Requests) * b.evidencePerRequest()
		u.failureEvidence.add(class, b, d.Requests, d.Failed)
		j.failureEvidence.add(class, b, d.Requests, d.Failed)
	}
}

// add adds the evidence of n requests, of which bad were so.
func (s evidenceByClass) add(class string, b rates, n, bad uint64) {
	s[class] = s[class].after(b, n, bad)
}

// shared returns the evidence in a class that more than one upstream has given: a single
// faulty instance is not taken for a faulty version.
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

// formerRunning returns the number of requests at reporting upstreams of the former version.
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

// above returns the number of requests in a range of run times or a later one.
func (t Tally) countFrom(bucket int) (n uint64) {
	for i := bucket; i < len(t.DurationCounts); i++ {
		n += t.DurationCounts[i]
	}
	return n
}
