// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"sync"
	"time"
)

const (
	// answersPerEnd is how many runs of a request have been answered for each end at
	// which it was at hand, where the end is not put down to it. What many callers send is
	// at hand at every end, with hundreds of answers for each; a request that ends
	// upstreams has none, or few. One that ends less than one run in 20 is not told from
	// what is merely popular, and goes on.
	responsesPerCrash = 20
	// answersSpan is how long an answer counts, at least, and at most twice as long. A
	// request that was harmless until then is suspected again after as long.
	responseWindow = 10 * time.Second
	// maxAnswered bounds the requests whose answers are counted in a span: 0.3 MB. Most
	// of the requests may be of a kind of their own; of one that comes often enough to
	// count, one comes before the room is taken.
	maxCountedRequests = 8192
)

// Answers counts the answered runs of each request at one gate, so that an end of its
// upstream is not put down to requests that run there all the time. The zero value is
// ready. Its methods may be called from any goroutine.
type AnswerCounter struct {
	mu                sync.Mutex
	windowStart       time.Time // of the present span
	current, previous map[Fingerprint]int
}

// Add counts a run that was answered.
func (a *AnswerCounter) Add(p Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(time.Now())
	if _, ok := a.current[p]; ok || len(a.current) < maxCountedRequests {
		a.current[p]++
	}
}

// turn begins a new span if the present one is over. The lock is held.
func (a *AnswerCounter) rotate(now time.Time) {
	switch age := now.Sub(a.windowStart); {
	case a.current == nil || age >= 2*responseWindow:
		a.previous = nil
	case age >= responseWindow:
		a.previous = a.current
	default:
		return
	}
	a.current = make(map[Fingerprint]int)
	a.windowStart = now
}

// Ended returns those of the requests at hand at an end of the upstream that may have
// caused it, and the isolated one if it is to be blocked for that. For the others it takes
// answersPerEnd off what was counted, so that one that is at hand at too many ends for its
// answers is suspected as well.
//
// An isolated request that was answered here lately is not blocked: what ends upstreams is
// never answered. Without that, frequent harmless requests would be blocked where upstreams
// end for other reasons.
func (a *AnswerCounter) Suspects(inFlight []Fingerprint, isolated Fingerprint) (suspects []Fingerprint, toBlock Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(time.Now())
	for _, p := range inFlight {
		answered := a.current[p] + a.previous[p]
		if answered >= responsesPerCrash {
			a.current[p] -= responsesPerCrash
			continue
		}
		suspects = append(suspects, p)
		if p == isolated && answered == 0 {
			toBlock = p
		}
	}
	return suspects, toBlock
}
