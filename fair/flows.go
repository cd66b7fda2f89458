// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fair

import "time"

const (
	// holdTimeGain is the weight of one request in the mean time for which the requests of an
	// organisation hold a slot.
	holdTimeGain = 0.1
	// flowRetention is how long an organisation is remembered after its last request. Its
	// usage before that does not count when it sends requests again.
	flowRetention = 5 * time.Second
)

// Flows are the organisations whose requests share slots. The zero value is ready for use. It is
// not safe for concurrent use.
type Flows struct {
	// Weight, if not nil, returns the weight of an organisation, which is positive. Without it
	// all organisations have the same weight.
	Weight func(organisation string) float64

	list         map[string]*Flow // by organisation
	active       []*Flow          // those with requests that wait or run
	virtualTime  float64          // largest start tag of the requests started so far
	contended    bool             // whether some organisations ask for so much that others get less
	level        float64          // slots per unit of weight, if contended
	levelUpdated time.Time        // when the level was computed
	totalDemand  float64          // sum over all flows at levelUpdated
	totalServed  float64          // sum over all flows at levelUpdated
	totalWeight  float64          // sum of the weights of all flows with a name
	lastSweep    time.Time        // when unused flows were last removed
}

// Flow is one organisation, or the requests that have none.
type Flow struct {
	flows            *Flows
	name             string
	weight           float64
	startTag         float64 // of its first waiting request
	finishTag        float64 // of the request that started last
	waiting          int
	running          int
	index            int       // in Flows.active
	meanHoldTime     float64   // mean time for which its requests hold a slot, in seconds, 0 if unknown
	demand           float64   // slots that its requests would hold, averaged over the last seconds
	served           float64   // the same for the requests that have started
	demandPerRequest float64   // slots that one request adds to demand
	decayedAt        time.Time // when demand and served were last updated
	lastUsed         time.Time // when its last request arrived or ended
}

// Flow returns the flow of an organisation. The empty name stands for requests that have none.
func (f *Flows) Flow(organisation string, now time.Time) *Flow {
	f.sweep(now)
	l := f.list[organisation]
	if l == nil {
		l = &Flow{
			flows:  f,
			name:   organisation,
			weight: f.weightOf(organisation),
		}
		if organisation != "" {
			f.totalWeight += l.weight
		}
		if f.list == nil {
			f.list = make(map[string]*Flow)
		}
		f.list[organisation] = l
	}
	l.lastUsed = now
	return l
}

// UpdateWeights reads the weights of all organisations again.
func (f *Flows) UpdateWeights() {
	f.totalWeight = 0
	for name, l := range f.list {
		l.weight = f.weightOf(name)
		if name != "" {
			f.totalWeight += l.weight
		}
	}
}

// weightOf returns the current weight of an organisation.
func (f *Flows) weightOf(organisation string) float64 {
	if f.Weight == nil || organisation == "" {
		return 1
	}
	return f.Weight(organisation)
}

// sweep removes the flows that have not been used for flowRetention. It does so at most once in
// that time.
func (f *Flows) sweep(now time.Time) {
	if now.Sub(f.lastSweep) < flowRetention {
		return
	}
	f.lastSweep = now
	for name, l := range f.list {
		if l.waiting+l.running > 0 || now.Sub(l.lastUsed) < flowRetention {
			continue
		}
		delete(f.list, name)
		if name != "" {
			f.totalWeight -= l.weight
		}
	}
	if len(f.list) == 0 {
		f.totalWeight = 0 // discard rounding errors
	}
}

// Len returns the number of flows that are stored.
func (f *Flows) Len() int { return len(f.list) }

// WaitingOrganisations returns the number of organisations with waiting requests.
func (f *Flows) WaitingOrganisations() int {
	var n int
	for _, l := range f.active {
		if l.waiting > 0 && l.name != "" {
			n++
		}
	}
	return n
}

// ResetHoldTimes discards the mean times for which requests hold slots, after a restart of the
// upstream.
func (f *Flows) ResetHoldTimes() {
	for _, l := range f.list {
		l.meanHoldTime = 0
	}
}

// Name returns the name of the organisation, or the empty string.
func (l *Flow) Name() string { return l.name }

// Waiting returns the number of waiting requests.
func (l *Flow) Waiting() int { return l.waiting }

// Before returns whether the next request of l starts before that of o.
func (l *Flow) Before(o *Flow) bool {
	if a, b := l.rank(), o.rank(); a != b {
		return a < b
	}
	return l.startTag < o.startTag
}

// Enqueue records that a request starts to wait.
func (l *Flow) Enqueue() {
	if l.waiting == 0 {
		l.startTag = max(l.flows.virtualTime, l.finishTag)
	}
	if l.waiting+l.running == 0 {
		l.index = len(l.flows.active)
		l.flows.active = append(l.flows.active, l)
	}
	l.waiting++
}

// Cancel records that a waiting request has been removed without running.
func (l *Flow) Cancel() {
	l.waiting--
	l.deactivate()
}

// deactivate removes the flow from the active ones if none of its requests waits or runs.
func (l *Flow) deactivate() {
	if l.waiting+l.running > 0 {
		return
	}
	f := l.flows
	last := len(f.active) - 1
	f.active[l.index] = f.active[last]
	f.active[l.index].index = l.index
	f.active[last] = nil
	f.active = f.active[:last]
}

// Start records that a waiting request starts, which is expected to hold a slot for the given
// time.
func (l *Flow) Start(expected time.Duration) {
	f := l.flows
	f.virtualTime = max(f.virtualTime, l.startTag)
	l.finishTag = l.startTag + expected.Seconds()/l.effectiveWeight()
	l.startTag = l.finishTag
	l.served += expected.Seconds() / demandTime.Seconds()
	l.waiting--
	l.running++
}

// ExpectedHoldTime returns for how long the next request is expected to hold a slot, given the
// expected time over all organisations.
func (l *Flow) ExpectedHoldTime(all time.Duration) time.Duration {
	if l.meanHoldTime == 0 {
		return all
	}
	return time.Duration(l.meanHoldTime * float64(time.Second))
}

// End records the end of a request, with the time for which it was expected to hold its slot
// and the time for which it did.
func (l *Flow) End(expected, held time.Duration, now time.Time) {
	if l.meanHoldTime == 0 {
		l.meanHoldTime = held.Seconds()
	}
	l.meanHoldTime += holdTimeGain * (held.Seconds() - l.meanHoldTime)
	l.running--
	l.lastUsed = now
	excess := (held - expected).Seconds() / l.effectiveWeight()
	l.finishTag += excess
	l.startTag += excess
	l.deactivate()
}

// effectiveWeight returns the weight of the flow. Requests without an organisation may belong to
// any number of organisations: together they weigh as much as all organisations.
func (l *Flow) effectiveWeight() float64 {
	if l.name != "" || l.flows.totalWeight <= 0 {
		return l.weight
	}
	return l.flows.totalWeight
}

// QueuePosition returns the number of waiting requests of all flows that start up to and including
// the last waiting request of l, if each request holds a slot for the given time.
func (l *Flow) QueuePosition(holdTime time.Duration) int {
	n := l.waiting
	rank := l.rank()
	lastTag := l.startTag + float64(l.waiting-1)*holdTime.Seconds()/l.effectiveWeight()
	for _, o := range l.flows.active {
		switch r := o.rank(); {
		case o == l || o.waiting == 0 || r > rank:
		case r < rank:
			n += o.waiting
		case o.startTag <= lastTag:
			n += min(o.waiting, 1+int((lastTag-o.startTag)*o.effectiveWeight()/holdTime.Seconds()))
		}
	}
	return n
}
