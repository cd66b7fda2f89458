// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package throttle

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Window is the time over which an upstream counts requests.
	Window = 4 * time.Second
	// minRate is the lowest rate of admission, in requests per second. Only a response shows that
	// a limit has ended, so that an upstream that accepts no requests still gets one in each
	// window.
	minRate = 0.25
	// maxLateness is how late a request may start without losing its turn: timers and processes
	// are delayed by some hundredths of a second.
	maxLateness = 50 * time.Millisecond
)

// In any window, an upstream tolerates 1.5 times as many requests as it advertises, and five more.
// At most 1.1 times as many as it advertises, and three more, are written in a window, and at most
// 0.3 times as many health checks, and one more, are sent. The rest allows for delays between the
// gate and the upstream.
const (
	writtenFactor     = 1.1
	writtenSlack      = 3
	healthCheckFactor = 0.3
)

// Limiter limits the requests to one upstream while the upstream advertises a limit. The zero
// value limits nothing. Its methods may be called from any goroutine.
type Limiter struct {
	mu      sync.Mutex
	limited bool
	// fromUpstream is whether the upstream itself has responded, and not only other nodes.
	fromUpstream bool
	rate         float64   // as advertised, in requests per second
	since        time.Time // when the rate was first observed
	// observed is when a limit was last observed, unless it was ignored.
	observed time.Time
	ended    time.Time // when the last limit ended, zero if none has
	written  counter

	tokens          float64 // for admission
	filled          time.Time
	lastHealthCheck time.Time // when the last health check was sent
	nextRetry       time.Time // when the next refused request may be retried
	refused         uint64
}

// ObserveLimit records that a response of the upstream advertises a limit, where sent is when the
// request that it belongs to was about to be written. A limit higher than the present one is
// ignored unless the request was written after the present one was last observed: of the responses
// to concurrent requests, the lowest limit counts.
func (l *Limiter) ObserveLimit(rate float64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fromUpstream = true
	l.observe(rate, sent, time.Now())
}

// AdoptLimit records a limit that another node has observed. It applies until the upstream itself
// has responded, as after a start of this process.
func (l *Limiter) AdoptLimit(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fromUpstream && (!l.limited || rate < l.rate) {
		l.observe(rate, time.Time{}, time.Now())
	}
}

func (l *Limiter) observe(rate float64, sent, now time.Time) {
	if l.limited && rate > l.rate && sent.Before(l.observed) {
		return
	}
	l.observed = now
	if l.limited && rate == l.rate {
		return
	}
	l.fill(now)
	if !l.limited {
		l.start(now)
	}
	l.rate = rate
	l.since = now
	l.tokens = min(l.tokens, l.depth())
}

// start applies a limit from now on. What was written before does not count, unless the previous
// limit ended less than a window ago.
func (l *Limiter) start(now time.Time) {
	if l.ended.IsZero() || now.Sub(l.ended) >= Window {
		l.written.clear()
	}
	l.limited = true
	l.tokens = 0
	l.filled = now
	l.nextRetry = now
}

// ObserveNoLimit records that a response advertises no limit, where sent is as in ObserveLimit.
func (l *Limiter) ObserveNoLimit(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fromUpstream = true
	if !l.limited || sent.Before(l.observed) {
		return
	}
	now := time.Now()
	l.limited = false
	l.rate = 0
	l.since = now
	l.ended = now
}

// Reset records that the upstream has restarted. It has not advertised a limit yet.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited, l.fromUpstream, l.rate = false, false, 0
	l.since, l.ended = time.Time{}, time.Time{}
	l.written.clear()
}

// pace returns the rate at which requests are admitted, in requests per second. The lock is held.
func (l *Limiter) pace() float64 { return max(l.rate, minRate) }

// depth returns the depth of the token bucket. The lock is held.
func (l *Limiter) depth() float64 { return 1 + maxLateness.Seconds()*l.pace() }

// maxWritten returns how many requests may be written in a window. The lock is held.
func (l *Limiter) maxWritten() int {
	return int(writtenFactor*l.pace()*Window.Seconds()) + writtenSlack
}

// fill adds the tokens since the last call. The lock is held.
func (l *Limiter) fill(now time.Time) {
	if l.limited {
		l.tokens = min(l.depth(), l.tokens+now.Sub(l.filled).Seconds()*l.pace())
	}
	l.filled = now
}

// Wait returns the time after which a request may be admitted if the given number is admitted
// before it.
func (l *Limiter) Wait(ahead int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		return 0
	}
	now := time.Now()
	l.fill(now)
	missing := float64(ahead+1) - l.tokens
	var paced time.Duration
	if missing > 0 {
		paced = time.Duration(missing / l.pace() * float64(time.Second))
	}
	return max(paced, l.written.wait(ahead+1, l.maxWritten(), now))
}

// Admit takes the token of a request that is admitted after Wait has returned 0.
func (l *Limiter) Admit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited {
		l.fill(time.Now())
		l.tokens--
	}
}

// TryAcquire counts a request that is about to be written and returns 0 if it may be written now,
// and otherwise returns the time after which one may be. After 0, the caller must call MarkWritten
// or Cancel.
func (l *Limiter) TryAcquire() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited {
		if wait := l.written.wait(1, l.maxWritten(), time.Now()); wait > 0 {
			return wait
		}
	}
	l.written.pending++
	return 0
}

// MarkWritten records that a request has been written, even if only in part. Until then it counts
// in every window.
func (l *Limiter) MarkWritten() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written.pending--
	l.written.add(time.Now())
}

// Cancel records that a request is not written after all.
func (l *Limiter) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written.pending--
}

// TryHealthCheck counts a health check and returns 0 if one may be sent now, and otherwise returns
// the time after which one may be.
func (l *Limiter) TryHealthCheck() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		return 0
	}
	now := time.Now()
	every := time.Duration(float64(time.Second) / (healthCheckFactor * l.pace()))
	if wait := every - now.Sub(l.lastHealthCheck); wait > 0 {
		return wait
	}
	l.lastHealthCheck = now
	return 0
}

// RetryAfter counts a refused request and returns the time after which it should be retried, given
// the time after which it could be admitted. Refused requests are spread at the rate of the limit.
// As the limit may not last for longer than a window, those that would be retried later than that
// are spread over a window at random.
func (l *Limiter) RetryAfter(after time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		return after
	}
	l.refused++
	now := time.Now()
	at := now.Add(after)
	if l.nextRetry.After(at) {
		at = l.nextRetry
	}
	if horizon := now.Add(after + Window); at.After(horizon) {
		return after + rand.N(Window)
	}
	l.nextRetry = at.Add(time.Duration(float64(time.Second) / l.pace()))
	return at.Sub(now)
}

// Limit returns the limit in requests per second, and whether there is one.
func (l *Limiter) Limit() (rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate, l.limited
}

// State is the state of a Limiter at one instant.
type State struct {
	// Limited is whether a limit applies, and Rate the limit in requests per second.
	Limited bool
	Rate    float64
	// Since is when the upstream began to advertise the limit, or to advertise none. It is zero
	// if it has never advertised one.
	Since time.Time
	// Adopted is whether the limit is known only from other nodes.
	Adopted bool
	// Written is the number of requests written in the last window, and Used the fraction that
	// this is of what the limit allows.
	Written int
	Used    float64
	// Refused is the number of requests refused because of a limit so far.
	Refused uint64
}

// State returns the present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{
		Limited: l.limited,
		Rate:    l.rate,
		Since:   l.since,
		Adopted: l.limited && !l.fromUpstream,
		Written: l.written.count(time.Now()),
		Refused: l.refused,
	}
	if l.limited {
		s.Used = float64(s.Written) / (l.pace() * Window.Seconds())
	}
	return s
}
