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
	// Window is the time over which an upstream counts.
	Window = 4 * time.Second
	// leastRate is the least rate, in requests a second: a limit is known to be over by an
	// answer alone, so that an upstream that takes none still gets one in each window.
	minRate = 0.25
	// late is how late requests may be that could have gone before, without loss of their
	// turns: timers and processes are held up for some hundredths of a second.
	maxLateness = 50 * time.Millisecond
)

// An upstream bears half as many requests again as it names, and five more, in any window.
// The requests written in a window are a tenth more than it names, and three, at most; the
// questions of the health check are three tenths and one. What is left is for the way between
// the gate and the upstream.
const (
	writtenFactor     = 1.1
	writtenSlack      = 3
	healthCheckFactor = 0.3
)

// Limit bounds the requests to one upstream while it names a limit. The zero value bounds
// nothing. Its methods may be called from any goroutine.
type Limiter struct {
	mu      sync.Mutex
	limited bool
	// own is whether the upstream itself has been heard, and not only other nodes.
	fromUpstream bool
	rate         float64   // as named, in requests a second
	since        time.Time // when the rate was named first
	// heard is when the rate was named last, be it within a lower one.
	observed time.Time
	ended    time.Time // when the last limit was over, zero if there was none
	written  counter

	tokens          float64 // of admission
	filled          time.Time
	lastHealthCheck time.Time // the last question of the health check
	nextRetry       time.Time // up to when refused requests were told to come back
	refused         uint64
}

// Name takes in that an answer of the upstream names a limit. Asked is when the request was
// about to be written that it answers. A higher limit than the one that holds counts if the
// request was written after that had been named last; of the answers to simultaneous requests
// the lowest counts.
func (l *Limiter) ObserveLimit(rate float64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fromUpstream = true
	l.observe(rate, sent, time.Now())
}

// Adopt takes in that another node has heard of a limit. It counts until the upstream itself
// has been heard, as after a start of this process.
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

// begin has a limit count from now on. What the upstream was sent before it named one does not
// count, but for a limit that was over for less than a window.
func (l *Limiter) start(now time.Time) {
	if l.ended.IsZero() || now.Sub(l.ended) >= Window {
		l.written.clear()
	}
	l.limited = true
	l.tokens = 0
	l.filled = now
	l.nextRetry = now
}

// End takes in that an answer names no limit, as Name does.
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

// Restart says that the upstream has started anew. It has named no limit yet.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited, l.fromUpstream, l.rate = false, false, 0
	l.since, l.ended = time.Time{}, time.Time{}
	l.written.clear()
}

// pace returns the rate at which requests are admitted, in 1/s. The lock is held.
func (l *Limiter) pace() float64 { return max(l.rate, minRate) }

// depth returns the most tokens that are saved up. The lock is held.
func (l *Limiter) depth() float64 { return 1 + maxLateness.Seconds()*l.pace() }

// most returns how many requests may be written in a window. The lock is held.
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

// Wait returns after how long a request may be admitted if the given number goes before it.
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

// Admit takes the token of a request that is admitted, after a Wait of 0.
func (l *Limiter) Admit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited {
		l.fill(time.Now())
		l.tokens--
	}
}

// Take counts a request that is about to be written if it may be, and otherwise returns after
// how long one may. After 0 the caller owes a Done or an Undo.
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

// Done records that a request has been written, be it in part. Until then it counts at each
// moment.
func (l *Limiter) MarkWritten() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written.pending--
	l.written.add(time.Now())
}

// Undo records that a request is not written after all.
func (l *Limiter) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written.pending--
}

// Ask returns 0 if the health check may be asked now, which counts, and otherwise after how
// long it may.
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

// Refuse returns when a request that could be admitted after the given time had better come
// back: after those that were refused before it, each with the time of a request to itself. The
// limit is not known to hold for longer than a window, over which later ones are spread.
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

// Rate returns the limit, in requests a second, and whether one is named.
func (l *Limiter) Rate() (rate float64, named bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate, l.limited
}

// State is how a Limit stands at one instant.
type State struct {
	// Named is whether a limit holds, and Rate the requests a second.
	Limited bool
	Rate    float64
	// Since is when the upstream named it, or named none any more. It is zero if it never named
	// one.
	Since time.Time
	// Adopted is whether only other nodes have told of it so far.
	Adopted bool
	// Written is how many requests have been written in the last window, and Used which part
	// that is of what the limit allows.
	Written int
	Used    float64
	// Refused is how many requests have been refused for a limit so far.
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
