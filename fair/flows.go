// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package fair

import "time"

const (
	// heldGain is the weight of one request in the mean time for which those of its
	// organisation hold a slot.
	holdTimeGain = 0.1
	// rememberFor is how long an organisation is remembered after its last request. What it
	// has used before that does not count any more when it comes back.
	flowRetention = 5 * time.Second
)

// Flows are the organisations whose requests share slots. The zero value is ready for
// use. It is not safe for use by several goroutines at once.
type Flows struct {
	// Weight, if not nil, returns the weight of an organisation, which is positive.
	// Without it all have the same.
	Weight func(organisation string) float64

	list         map[string]*Flow // by organisation
	active       []*Flow          // those with requests that wait or run
	virtualTime  float64          // start tag of the flow that had the last turn
	contended    bool             // whether some organisations crowd out others
	level        float64          // slots for each unit of weight then
	levelUpdated time.Time        // when the level was found out
	totalDemand  float64          // sum over all flows at levelAt
	totalServed  float64          // sum over all flows at levelAt
	totalWeight  float64          // sum of the weights of all flows but that without a name
	lastSweep    time.Time        // when flows were last forgotten
}

// Flow is one organisation, or all requests that have none.
type Flow struct {
	flows            *Flows
	name             string
	weight           float64
	startTag         float64 // start tag of its first waiting request
	finishTag        float64 // finish tag of the request that started last
	waiting          int
	running          int
	index            int       // among the active ones
	meanHoldTime     float64   // mean time for which its requests hold a slot in seconds, 0 if not known
	demand           float64   // slots that its requests would hold, mean of the last seconds
	served           float64   // the part of demand whose requests have started
	demandPerRequest float64   // slots that one request adds to demand
	decayedAt        time.Time // when demand and served were last brought up to date
	lastUsed         time.Time // when it last came, or one of its requests ended
}

// Flow returns the flow of an organisation. The empty name stands for requests that
// have none.
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

// Reweigh takes in that weights may have changed.
func (f *Flows) UpdateWeights() {
	f.totalWeight = 0
	for name, l := range f.list {
		l.weight = f.weightOf(name)
		if name != "" {
			f.totalWeight += l.weight
		}
	}
}

// weightOf returns the present weight of an organisation.
func (f *Flows) weightOf(organisation string) float64 {
	if f.Weight == nil || organisation == "" {
		return 1
	}
	return f.Weight(organisation)
}

// sweep forgets the flows that have not been used for long, now and then.
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
		f.totalWeight = 0 // without what rounding left
	}
}

// Len returns the number of flows that are remembered.
func (f *Flows) Len() int { return len(f.list) }

// Waiting returns the number of organisations with waiting requests.
func (f *Flows) WaitingOrganisations() int {
	var n int
	for _, l := range f.active {
		if l.waiting > 0 && l.name != "" {
			n++
		}
	}
	return n
}

// Restart forgets for how long requests have held slots, as the upstream has started anew.
func (f *Flows) ResetHoldTimes() {
	for _, l := range f.list {
		l.meanHoldTime = 0
	}
}

// Name returns the name of the organisation, or nothing.
func (l *Flow) Name() string { return l.name }

// Waiting returns the number of its requests that wait.
func (l *Flow) Waiting() int { return l.waiting }

// Before returns whether its turn comes before that of o.
func (l *Flow) Before(o *Flow) bool {
	if a, b := l.rank(), o.rank(); a != b {
		return a < b
	}
	return l.startTag < o.startTag
}

// Wait takes in that a request waits.
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

// Leave takes in that a request waits no more and has not run.
func (l *Flow) Cancel() {
	l.waiting--
	l.deactivate()
}

// deactivate takes the flow off the active ones if none of its requests waits or runs.
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

// Start takes in that a waiting request starts, which is expected to hold a slot for
// the given time.
func (l *Flow) Start(expected time.Duration) {
	f := l.flows
	f.virtualTime = max(f.virtualTime, l.startTag)
	l.finishTag = l.startTag + expected.Seconds()/l.effectiveWeight()
	l.startTag = l.finishTag
	l.served += expected.Seconds() / demandTime.Seconds()
	l.waiting--
	l.running++
}

// Expected returns for how long its next request is expected to hold a slot, given what
// is expected of those of all organisations.
func (l *Flow) ExpectedHoldTime(all time.Duration) time.Duration {
	if l.meanHoldTime == 0 {
		return all
	}
	return time.Duration(l.meanHoldTime * float64(time.Second))
}

// End takes in that a request that was expected to hold its slot for some time has
// held it for another.
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

// share returns the weight of the flow. Requests without an organisation may belong to
// any number of them: together they weigh as much as all organisations.
func (l *Flow) effectiveWeight() float64 {
	if l.name != "" || l.flows.totalWeight <= 0 {
		return l.weight
	}
	return l.flows.totalWeight
}

// Ahead returns the number of waiting requests that start up to and with its last one,
// given that a request holds a slot for the given time.
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
