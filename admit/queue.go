// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package admit

// classQueue holds the waiting requests of one class and the class's state in
// start-time fair queueing.
//
// A request that arrives gets the start tag S = max(V, F), where V is the
// virtual time of the gate and F the finish tag of the class, and F becomes
// S + 1/weight. The waiting request with the least start tag runs next, and V
// becomes its start tag. See P. Goyal, H. Vin and H. Cheng, Start-time fair
// queueing, 1996. doi:10.1145/248157.248171.
type classQueue struct {
	class    Class
	standing standing
	finish   float64
	running  int
	waiting  []*Ticket
}

// tag gives t its start tag.
func (q *classQueue) tag(t *Ticket, virtual float64) {
	t.start = max(virtual, q.finish)
	q.finish = t.start + 1/q.class.Weight
}

// cap returns how many slots the class may hold of the given number.
func (q *classQueue) cap(allowed int) int {
	return max(1, int(q.class.Share*float64(allowed)))
}

// push adds t at the end.
func (q *classQueue) push(t *Ticket) {
	q.waiting = append(q.waiting, t)
}

// pop removes and returns the first waiting request.
func (q *classQueue) pop() *Ticket {
	t := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return t
}

// remove takes t out, wherever it stands. It returns whether it was there.
func (q *classQueue) remove(t *Ticket) bool {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
