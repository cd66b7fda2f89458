// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package coldstart

import (
	"sync"
	"time"
)

// span is the time over which requests are counted: a second, and as much more as two
// requests may come closer together on their way to the upstream, which is on the same
// instance.
const span = 1020 * time.Millisecond

// Limit bounds the requests to one upstream in any second while it is cold. The zero value
// bounds nothing. Its methods may be called from any goroutine.
type Limiter struct {
	mu    sync.Mutex
	until time.Time // when the upstream is warm
	sent  []*Permit // the latest requests, as many as are allowed: a ring
	next  int       // the oldest of them, which the next one replaces
}

// Sending is a request that Take has let through.
type Permit struct {
	limit *Limiter
	at    time.Time // when it was sent
	done  bool
}

// Done records that the request has been written, be it in part. Until then it counts as
// sent at each moment: a process may be held up for a tenth of a second between the two, and
// then sends together what was let through one by one.
func (s *Permit) MarkWritten() {
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	s.at = time.Now()
	s.done = true
}

// Set allows the given number of requests in any second while the upstream is cold; 0 means
// any number. Requests of the last second that are not known, as after a start of this
// process, are taken to have been as many.
func (l *Limiter) SetLimit(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if most == len(l.sent) {
		return
	}
	l.sent = make([]*Permit, max(0, most))
	l.next = 0
	unknown := &Permit{
		limit: l,
		at:    time.Now(),
		done:  true,
	}
	for i := range l.sent {
		l.sent[i] = unknown
	}
}

// Restart says that the upstream has started anew, and was sent nothing yet.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.sent)
}

// Turn takes in that the upstream stays cold for the given time. Zero means that it is
// warm.
func (l *Limiter) SetRemaining(remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(remaining)
}

// AtLeast takes in that the upstream stays cold for the given time, or longer: word that
// may be late.
func (l *Limiter) ExtendRemaining(remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(remaining); until.After(l.until) {
		l.until = until
	}
}

// Remaining returns how much longer the upstream is cold, or 0.
func (l *Limiter) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.until))
}

// binds returns whether the bound holds now. The lock is held.
func (l *Limiter) binds(now time.Time) bool { return len(l.sent) > 0 && now.Before(l.until) }

// Most returns the number of requests that are allowed in a second now. The second result
// is false if there is no bound.
func (l *Limiter) Limit() (most int, bound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent), l.binds(time.Now())
}

// Take counts a request that is about to be sent if it may be, and otherwise returns after
// how long one may. The caller owes the Sending a Done.
func (l *Limiter) TryAcquire() (sending *Permit, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait := l.wait(time.Now(), 0); wait > 0 {
		return nil, wait
	}
	s := &Permit{limit: l}
	if len(l.sent) > 0 {
		l.sent[l.next] = s
		l.next = (l.next + 1) % len(l.sent)
	}
	return s, 0
}

// Wait returns after how long a request may be sent if the given number goes before it.
func (l *Limiter) Wait(ahead int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(time.Now(), ahead)
}

// wait returns what Wait does, by when the upstream is warm at the latest. The lock is held.
func (l *Limiter) wait(now time.Time, ahead int) time.Duration {
	if !l.binds(now) {
		return 0
	}
	n := len(l.sent)
	free := now
	switch s := l.sent[(l.next+ahead%n)%n]; {
	case s == nil:
	case !s.done:
		free = now.Add(span)
	case s.at.Add(span).After(now):
		free = s.at.Add(span)
	}
	free = free.Add(time.Duration(ahead/n) * span)
	if l.until.Before(free) {
		free = l.until
	}
	return max(0, free.Sub(now))
}
