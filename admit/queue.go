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
// A request that arrives gets the start tag S = max(V, F), where V is the
// virtual time of the gate and F the finish tag of the class, and F becomes
// S + s/weight for the expected run time s, so that the weights divide the time
// of the slots whatever the run times. If each request counted the same, long requests
// of a class with little weight would take most of that time. The waiting request with
// the least start tag runs next, and V becomes its start tag. See P. Goyal, H. Vin and
// H. Cheng, Start-time fair queueing, 1996. doi:10.1145/248157.248171.
//
// The tags say when the class has its turns. Which of its requests gets one is up to
// the organisations that share the class.
type classQueue struct {
	class    Class
	standing standing
	flows    fair.Flows
	finish   float64
	running  int
	expected int       // requests that wait for their bodies
	waiting  []*Ticket // in the order in which they came
	run      float64   // mean run time at the usual speed, in seconds, 0 until one has ended
}

const (
	// runGain is the weight of one request in the mean run time of its class.
	runGain = 0.1
	// leastRun is the least run time that counts.
	leastRun = time.Millisecond
)

// ran takes in the run time of a request at the usual speed.
func (q *classQueue) ran(took time.Duration) {
	if q.run == 0 {
		q.run = took.Seconds()
	}
	q.run += runGain * (took.Seconds() - q.run)
}

// tag gives t, which is expected to run for the given time, its start tag.
func (q *classQueue) tag(t *Ticket, virtual float64, run time.Duration) {
	t.start = max(virtual, q.finish)
	q.finish = t.start + max(leastRun, run).Seconds()/q.class.Weight
}

// cap returns how many slots the class may hold of the given number.
func (q *classQueue) cap(allowed int) int {
	return max(1, int(q.class.MaxShare*float64(allowed)))
}

// push adds t at the end.
func (q *classQueue) push(t *Ticket) {
	q.waiting = append(q.waiting, t)
	t.flow.Enqueue()
}

// pop removes and returns the waiting request that has the next turn, with the tag of
// the first one: the tags of those before it stay where they are.
func (q *classQueue) pop() *Ticket {
	i := q.next()
	t := q.waiting[i]
	tag := t.start
	for ; i > 0; i-- {
		moved := q.waiting[i-1]
		moved.start, tag = tag, moved.start
		q.waiting[i] = moved
	}
	t.start = tag
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return t
}

// next returns the place of the waiting request that has the next turn.
func (q *classQueue) next() int {
	best := 0
	for i, t := range q.waiting {
		if t.flow.Before(q.waiting[best].flow) {
			best = i
		}
	}
	return best
}

// remove takes t out, wherever it stands. It returns whether it was there.
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

// newest returns the request that came last of the flow with the most waiting ones,
// or nil.
func (q *classQueue) newest() *Ticket {
	var most *Ticket
	for _, t := range q.waiting {
		if most == nil || t.flow.Waiting() >= most.flow.Waiting() {
			most = t
		}
	}
	return most
}

// bound returns the longest expected wait with which a request of the flow may enter
// the queue, given the longest that is configured. Where an organisation that holds
// more than its part makes the queue stand, the others still wait for their turns.
func (q *classQueue) bound(t *Ticket, most time.Duration) time.Duration {
	if t.within {
		return most
	}
	return q.standing.bound(most)
}
