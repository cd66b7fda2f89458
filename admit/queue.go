// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

import (
	"time"

	"sassafrasfront.example/fair"
)

// classQueue holds the waiting requests of one class and the class's state in
// start-time fair queueing.
//
// A request that arrives gets the start tag S = max(V, F), where V is the virtual time of the
// gate and F the finish tag of the class, and F becomes S + s/weight for the expected run time s.
// The weights thus divide the time of the slots whatever the run times; if each request counted
// the same, long requests of a class with little weight would take most of that time. The waiting
// request with the smallest start tag runs next, and V becomes its start tag. See P. Goyal, H. Vin
// and H. Cheng, Start-time fair queueing, 1996. doi:10.1145/248157.248171.
//
// The tags decide when the next request of the class starts, and the flows of the organisations that
// share the class decide which of its requests that is.
type classQueue struct {
	class         Class
	standing      standing
	flows         fair.Flows
	finishTag     float64
	running       int
	pendingBodies int       // requests that wait for their bodies
	waiting       []*Ticket // in the order of their arrival
	meanRun       float64   // mean run time at the usual speed, in seconds, 0 until one has ended
}

const (
	// runGain is the weight of one request in the mean run time of its class.
	runGain = 0.1
	// minRun is the minimum run time used in computations.
	minRun = time.Millisecond
)

// observeRun records the run time of a request at the usual speed.
func (q *classQueue) observeRun(took time.Duration) {
	if q.meanRun == 0 {
		q.meanRun = took.Seconds()
	}
	q.meanRun += runGain * (took.Seconds() - q.meanRun)
}

// tag sets the start tag of t, which is expected to run for the given time.
func (q *classQueue) tag(t *Ticket, virtual float64, run time.Duration) {
	t.startTag = max(virtual, q.finishTag)
	q.finishTag = t.startTag + max(minRun, run).Seconds()/q.class.Weight
}

// maxSlots returns how many of the given number of slots the class may hold.
func (q *classQueue) maxSlots(allowed int) int {
	return max(1, int(q.class.MaxShare*float64(allowed)))
}

// push adds t at the end.
func (q *classQueue) push(t *Ticket) {
	q.waiting = append(q.waiting, t)
	t.flow.Enqueue()
}

// pop removes and returns the waiting request whose turn is next. It gets the tag of the first
// one; the tags stay at their positions in the queue.
func (q *classQueue) pop() *Ticket {
	i := q.nextIndex()
	t := q.waiting[i]
	tag := t.startTag
	for ; i > 0; i-- {
		moved := q.waiting[i-1]
		moved.startTag, tag = tag, moved.startTag
		q.waiting[i] = moved
	}
	t.startTag = tag
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return t
}

// nextIndex returns the index of the waiting request whose turn is next.
func (q *classQueue) nextIndex() int {
	best := 0
	for i, t := range q.waiting {
		if t.flow.Before(q.waiting[best].flow) {
			best = i
		}
	}
	return best
}

// remove removes t from the queue and returns whether it was there.
func (q *classQueue) remove(t *Ticket) bool {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			t.flow.Cancel()
			return true
		}
	}
	return false
}

// newestOfLargestFlow returns the last request of the organisation with the most waiting ones, or
// nil.
func (q *classQueue) newestOfLargestFlow() *Ticket {
	var newest *Ticket
	for _, t := range q.waiting {
		if newest == nil || t.flow.Waiting() >= newest.flow.Waiting() {
			newest = t
		}
	}
	return newest
}

// maxWait returns the longest expected wait with which t may enter the queue, given the
// configured maximum. If an organisation above its fair share causes a standing queue,
// the other organisations may still wait for their turns.
func (q *classQueue) maxWait(t *Ticket, configured time.Duration) time.Duration {
	if t.withinShare {
		return configured
	}
	return q.standing.maxWait(configured)
}
