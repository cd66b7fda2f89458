// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package coldstart

import (
	"sync"
	"time"
)

// window is the time over which requests are counted: a second, plus the time by which two
// requests may get closer to each other on their way to the upstream, which is on the same
// instance.
const window = 1020 * time.Millisecond

// Limiter limits the requests to one upstream in any second while it is cold. The zero value
// limits nothing. Its methods may be called from any goroutine.
type Limiter struct {
	mu     sync.Mutex
	warmAt time.Time // when the upstream is warm
	recent []*Permit // a ring of the latest requests, as many as are allowed in a second
	oldest int       // the oldest of them, which the next one replaces
}

// Permit is the permission to send one request.
type Permit struct {
	limiter   *Limiter
	writtenAt time.Time // when it was written
	written   bool
}

// MarkWritten records that the request has been written, even if only in part. Until then it
// counts as sent at every moment: a process may be paused for a tenth of a second between the
// two, and then writes at once what was let through one by one.
func (p *Permit) MarkWritten() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.writtenAt = time.Now()
	p.written = true
}

// SetLimit sets the number of requests that are allowed in any second while the upstream is cold;
// 0 means any number. Requests of the last second that are not known, as after a start of this
// process, are assumed to have been as many.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit == len(l.recent) {
		return
	}
	l.recent = make([]*Permit, max(0, limit))
	l.oldest = 0
	unknown := &Permit{
		limiter:   l,
		writtenAt: time.Now(),
		written:   true,
	}
	for i := range l.recent {
		l.recent[i] = unknown
	}
}

// Reset records that the upstream has restarted, and has not been sent any requests yet.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.recent)
}

// SetRemaining records that the upstream stays cold for the given time. Zero means that it is
// warm.
func (l *Limiter) SetRemaining(remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmAt = time.Now().Add(remaining)
}

// ExtendRemaining records that the upstream stays cold for at least the given time, according to
// a report that may be outdated.
func (l *Limiter) ExtendRemaining(remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(remaining); until.After(l.warmAt) {
		l.warmAt = until
	}
}

// Remaining returns how much longer the upstream is cold, or 0.
func (l *Limiter) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.warmAt))
}

// active returns whether the limit applies now. The lock is held.
func (l *Limiter) active(now time.Time) bool { return len(l.recent) > 0 && now.Before(l.warmAt) }

// Limit returns the number of requests that are allowed in a second. The second result is false
// if no limit applies now.
func (l *Limiter) Limit() (limit int, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.recent), l.active(time.Now())
}

// TryAcquire counts a request that is about to be sent and returns a Permit if it may be sent now,
// and otherwise returns the time after which one may be. The caller must call MarkWritten on the
// Permit.
func (l *Limiter) TryAcquire() (permit *Permit, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait := l.wait(time.Now(), 0); wait > 0 {
		return nil, wait
	}
	p := &Permit{limiter: l}
	if len(l.recent) > 0 {
		l.recent[l.oldest] = p
		l.oldest = (l.oldest + 1) % len(l.recent)
	}
	return p, 0
}

// Wait returns the time after which a request may be sent if the given number is sent before it.
func (l *Limiter) Wait(ahead int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(time.Now(), ahead)
}

// wait is Wait at the given time. The result is at most the time until the upstream is warm. The
// lock is held.
func (l *Limiter) wait(now time.Time, ahead int) time.Duration {
	if !l.active(now) {
		return 0
	}
	n := len(l.recent)
	free := now
	switch p := l.recent[(l.oldest+ahead%n)%n]; {
	case p == nil:
	case !p.written:
		free = now.Add(window)
	case p.writtenAt.Add(window).After(now):
		free = p.writtenAt.Add(window)
	}
	free = free.Add(time.Duration(ahead/n) * window)
	if l.warmAt.Before(free) {
		free = l.warmAt
	}
	return max(0, free.Sub(now))
}
