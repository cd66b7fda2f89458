// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package connlimit

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoRoom means that a request is refused because others take all the room.
var ErrNoRoom = eris.New("no room for the request")

// HeadBytes returns the size of a request's head as it was received, in bytes. It returns false if
// that is not known.
func HeadBytes(r *http.Request) (int, bool) {
	c := connOf(r)
	if c == nil || r.ProtoMajor != 1 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.bytes, c.head.ended && !c.ahead
}

// Request is a request that is being handled. Its methods may be called on nil, and from one goroutine
// at a time.
type Request struct {
	conn *Conn
	held int64
	turn *turn // or nil
}

// begin does what Begin does. It returns nil if c is nil.
func (c *Conn) begin(r *http.Request) (*Request, error) {
	if c == nil {
		return nil, nil
	}
	q := &Request{conn: c}
	bytes, fields := headSize(r)
	costly := fields > c.listener.Limits().MaxFreeFields || c.listener.IsCostly != nil && c.listener.IsCostly(r)
	if r.ProtoMajor > 1 {
		return q.beginStream(headCost(bytes, fields), costly)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHandler { // the head had been received with the last request
		c.phase = phaseHandler
		c.since = time.Now()
	}
	c.ahead = c.nextAhead || c.used && !c.readSinceEnd
	c.nextAhead = false
	if !c.growHead(headCost(bytes, fields), false) || (c.ahead || costly) && !c.enterLane() {
		return nil, ErrNoRoom
	}
	return q, nil
}

// beginStream does what begin does for a request of HTTP/2.
func (q *Request) beginStream(cost int64, costly bool) (*Request, error) {
	c := q.conn
	c.mu.Lock()
	if c.requests == 0 {
		c.since = time.Now()
	}
	c.requests++
	c.sinceRequest = 0
	c.endHead()
	c.mu.Unlock()
	ok := q.grow(streamBytes+cost, !costly)
	if costly && ok {
		q.turn = c.listener.Lane.enter()
		ok = q.turn != nil
	}
	if !ok {
		q.End()
		return nil, ErrNoRoom
	}
	return q, nil
}

// streamBytes is what a small request takes on an HTTP/2 connection.
const streamBytes = 16 << 10

// headSize returns the size of a request's head in bytes, and its number of fields.
func headSize(r *http.Request) (bytes, fields int) {
	bytes = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return bytes, fields
}

// Grow records that the request makes the process hold n more bytes, and returns whether there is room for
// them.
func (q *Request) Grow(n int64) bool {
	if q == nil || n <= 0 {
		return true
	}
	return q.grow(n, true)
}

// grow does what Grow does. It waits for room only if wait is set.
func (q *Request) grow(n int64, wait bool) bool {
	if !q.conn.account.grow(n, wait) {
		return false
	}
	q.held += n
	return true
}

// GrowAnyway does what Grow does for a request that can't be refused any more. Other connections may
// be closed for it.
func (q *Request) GrowAnyway(n int64) {
	if q != nil && n > 0 {
		q.conn.account.growAnyway(n)
		q.held += n
	}
}

// End records that the request has ended.
func (q *Request) End() {
	if q == nil {
		return
	}
	c := q.conn
	if q.held > 0 {
		c.account.shrink(q.held)
		q.held = 0
	}
	if q.turn != nil {
		q.turn.leave()
		q.turn = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHTTP2 {
		c.requests--
		if c.requests == 0 {
			c.since = time.Now()
		}
	}
}
