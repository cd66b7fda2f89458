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
	trialUntil = 0.4
	widenedFor = 0.1
	movedFor   = 0.15
	// mostWidened is how many times that long a version keeps the larger share without being
	// known to be good: the share is more than it may have for long.
	mostWidened = 4.0
	// leastStep is the least time in one phase, so that all nodes have heard of it.
	leastStep = 1500 * time.Millisecond
	// lastStep is the part of the duration after which a version that has not moved is
	// rolled back, and one that has moved is completed.
	lastStep = 0.85
	// leastRequests is the number of a version's requests without which it goes no further.
	leastRequests = 30
	// leastInClass is the number of requests of a class from which it has to be judged.
	leastInClass = 8
	// widenedInEach is the part of the evidence for an alarm that a faulty version would have to
	// have given in each class before most requests move there.
	widenedInEach = 0.5
	// reportAge is how old a report may be that counts.
	reportAge = 3 * time.Second
)

// Judge decides on one Order from what the nodes beside the upstreams report. It is not safe
// for use by several goroutines at once. The exported fields are set before the first call.
type Judge struct {
	// Order is what is decided on.
	Order Order
	// Began is when this node heard of it.
	StartedAt time.Time

	upstreams map[string]*upstream  // by node
	former    map[string]*reference // by class
	all       reference             // the former version's requests of all classes
	failed    sums                  // of the new version, by class
	slow      sums
	waiting   [lag][]counted // the new version's counts of the last steps, the last first
	phase     Phase
	since     time.Time          // when the phase was first seen
	requests  uint64             // of the version since then, that were judged
	seen      map[string]uint64  // of the version since then, by class
	power     map[string]float64 // the evidence that a faulty version would have given since then
}

// upstream is what a node has reported.
type upstream struct {
	report   Report
	received time.Time
	judged   map[string]Tally // up to the last step, by class
	failed   sums
	slow     sums
}

// counted is what one upstream of the new version counts in one step, of one class.
type counted struct {
	upstream *upstream
	class    string
	tally    Tally
}

// sums are the evidence against a version by class.
type sums map[string]evidence

// Observe takes in a node's report.
func (j *Judge) Observe(node string, r Report, now time.Time) {
	if j.upstreams == nil {
		j.upstreams = make(map[string]*upstream)
		j.former = make(map[string]*reference)
		j.failed = make(sums)
		j.slow = make(sums)
	}
	u := j.upstreams[node]
	if u == nil || u.report.StartID != r.StartID || u.report.Version != r.Version {
		u = &upstream{
			judged: make(map[string]Tally),
			failed: make(sums),
			slow:   make(sums),
		}
		j.upstreams[node] = u
	}
	u.report = r
	u.received = now
}

// Step judges what was reported since the last step, and returns the phase that the order is
// to be in and why. Room is whether the version's upstreams can take all requests. It is
// called some four times a second.
func (j *Judge) Step(present State, room bool, now time.Time) (next Phase, reason string) {
	if present.Phase != j.phase || j.since.IsZero() {
		j.phase = present.Phase
		j.since = now
		j.requests = 0
		j.seen, j.power = make(map[string]uint64), make(map[string]float64)
	}
	j.learnFormer()
	class, sum, what := j.judge()
	if present.Phase >= Stopped {
		return present.Phase, present.Reason
	}
	if sum >= alarm && present.Phase != Emptied { // nothing is left then to compare with
		return Stopped, fmt.Sprintf("class %s: %s, evidence %.1f of %.1f", class, what, sum, alarm)
	}
	return j.advance(present, room, sum < alarm/2, now)
}

// advance returns the next phase of a version that is not found faulty.
func (j *Judge) advance(present State, room, calm bool, now time.Time) (Phase, string) {
	part := float64(now.Sub(j.StartedAt)) / float64(j.Order.Duration)
	inPhase := now.Sub(j.since)
	step := func(share float64) time.Duration {
		return max(leastStep, time.Duration(share*float64(j.Order.Duration)))
	}
	ready := func(inEach float64) bool { return calm && room && j.enough(inEach) }
	switch {
	case present.Phase == Emptied && (part >= 1 || inPhase >= leastStep && j.formerRunning(now) == 0):
		return Completed, fmt.Sprintf("%d requests since the former version gets none", j.requests)
	case present.Phase == Moved && calm && (part >= lastStep || inPhase >= step(movedFor)):
		return Emptied, fmt.Sprintf("%d requests since half have moved", j.requests)
	case present.Phase == Emptied, present.Phase == Moved && part < 1:
	case part >= lastStep, present.Phase == Widened && inPhase >= step(mostWidened*widenedFor):
		return Stopped, fmt.Sprintf("not enough is known in time: %d requests, room for all: %v", j.requests, room)
	case present.Phase == Trial && ready(0) && part >= trialUntil:
		return Widened, fmt.Sprintf("%d requests on trial", j.requests)
	case present.Phase == Widened && ready(widenedInEach) && inPhase >= step(widenedFor):
		return Moved, fmt.Sprintf("%d requests since the share was widened", j.requests)
	}
	return present.Phase, present.Reason
}

// enough returns whether a faulty version would have been found by now: by the evidence of all
// classes together, and, where each has many requests, by a part of it in each. Where the former
// version fails many as well, that takes more of them.
func (j *Judge) enough(inEach float64) bool {
	var all float64
	for class, n := range j.seen {
		all += j.power[class]
		if n >= leastInClass && j.power[class] < inEach*alarm {
			return false
		}
	}
	return all >= alarm && j.requests >= leastRequests
}

// learnFormer takes in what was reported of the former version.
func (j *Judge) learnFormer() {
	sums := make(map[string]Tally)
	for _, u := range j.upstreams {
		if u.report.Version == j.Order.Version {
			continue
		}
		for class, t := range u.report.Classes {
			sums[class] = sums[class].plus(t.since(u.judged[class]))
			u.judged[class] = t
		}
	}
	var sum Tally
	for class, t := range sums {
		if j.former[class] == nil {
			j.former[class] = new(reference)
		}
		sum = sum.plus(t)
	}
	j.all.add(sum)
	for class, r := range j.former {
		r.add(sums[class])
	}
}

// judge takes in what was reported of the new version, and returns the class with the most
// evidence against it, and what of.
func (j *Judge) judge() (worst string, most float64, what string) {
	for _, c := range j.due() {
		j.weigh(c.upstream, c.class, c.tally)
	}
	for class := range j.failed {
		if e := j.shared(class, j.failed, func(u *upstream) sums { return u.failed }); e > most {
			worst, most, what = class, e, "fails more requests than the former version"
		}
		if e := j.shared(class, j.slow, func(u *upstream) sums { return u.slow }); e > most {
			worst, most, what = class, e, "takes longer than the former version"
		}
	}
	return worst, most, what
}

// due takes in the new version's counts of this step, and returns those that are to be judged.
func (j *Judge) due() []counted {
	var now []counted
	for _, u := range j.upstreams {
		if u.report.Version != j.Order.Version {
			continue
		}
		for class, t := range u.report.Classes {
			if d := t.since(u.judged[class]); d.Requests > 0 {
				now = append(now, counted{
					upstream: u,
					class:    class,
					tally:    d,
				})
			}
			u.judged[class] = t
		}
	}
	due := j.waiting[lag-1]
	copy(j.waiting[1:], j.waiting[:])
	j.waiting[0] = now
	return due
}

// weigh adds the evidence of some requests of a class at one upstream.
func (j *Judge) weigh(u *upstream, class string, d Tally) {
	share := j.all.failedLately() // a class may have too few requests to tell of a spell
	if r := j.former[class]; r != nil && r.known() {
		share = max(share, r.failedShare())
		from, usual := r.slowFrom()
		if b, ok := slow(usual); ok {
			u.slow.add(class, b, d.Requests, d.above(from))
			j.slow.add(class, b, d.Requests, d.above(from))
		}
	}
	j.failed[class] += 0 // which shows that there are such requests
	j.seen[class] += d.Requests
	if b, ok := failing(share); ok {
		j.requests += d.Requests
		j.power[class] += float64(d.Requests) * b.perRequest()
		u.failed.add(class, b, d.Requests, d.Failed)
		j.failed.add(class, b, d.Requests, d.Failed)
	}
}

// add adds the evidence of n requests, of which bad were so.
func (s sums) add(class string, b bounds, n, bad uint64) { s[class] = s[class].after(b, n, bad) }

// shared returns the evidence in a class that more than one upstream has given: a single
// faulty instance is not taken for a faulty version.
func (j *Judge) shared(class string, all sums, of func(u *upstream) sums) float64 {
	var most evidence
	tried := 0
	for _, u := range j.upstreams {
		if u.report.Version == j.Order.Version && u.report.Classes[class].Requests > 0 {
			tried++
			most = max(most, of(u)[class])
		}
	}
	if tried < 2 {
		return float64(all[class])
	}
	return float64(all[class] - most)
}

// formerRunning returns the number of requests at reporting upstreams of the former version.
func (j *Judge) formerRunning(now time.Time) (running int) {
	for _, u := range j.upstreams {
		if u.report.Version != j.Order.Version && now.Sub(u.received) < reportAge {
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
func (t Tally) above(bucket int) (n uint64) {
	for i := bucket; i < len(t.DurationCounts); i++ {
		n += t.DurationCounts[i]
	}
	return n
}
