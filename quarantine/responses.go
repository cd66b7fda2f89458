// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"sync"
	"time"
)

const (
	// responsesPerCrash is the number of answered runs of a request, for each crash with it in
	// flight, from which the request is not suspected. A request that many callers send is in
	// flight at every crash, with hundreds of responses for each; a request that crashes upstreams
	// has no responses, or few. One that crashes less than one run in 20 can't be distinguished
	// from a popular harmless request, and is not stopped.
	responsesPerCrash = 20
	// responseWindow is the minimum time for which a response counts; the maximum is twice as long.
	// A request that was harmless until then is suspected again after that time.
	responseWindow = 10 * time.Second
	// maxCountedRequests bounds the number of requests whose responses are counted in a window,
	// which take 0.3 MB. Most requests may be unique. A request that is frequent enough to matter
	// is likely to be counted before the limit is reached.
	maxCountedRequests = 8192
)

// ResponseCounter counts the answered runs of each request at one gate, so that a crash of the
// upstream is not attributed to requests that it answers all the time. The zero value is ready to
// use. Its methods may be called from any goroutine.
type ResponseCounter struct {
	mu                sync.Mutex
	windowStart       time.Time // of the current window
	current, previous map[Fingerprint]int
}

// Add counts a run that was answered.
func (c *ResponseCounter) Add(p Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(time.Now())
	if _, ok := c.current[p]; ok || len(c.current) < maxCountedRequests {
		c.current[p]++
	}
}

// rotate begins a new window if the present one is over. The caller holds the lock.
func (c *ResponseCounter) rotate(now time.Time) {
	switch age := now.Sub(c.windowStart); {
	case c.current == nil || age >= 2*responseWindow:
		c.previous = nil
	case age >= responseWindow:
		c.previous = c.current
	default:
		return
	}
	c.current = make(map[Fingerprint]int)
	c.windowStart = now
}

// Suspects returns those of the requests in flight at a crash of the upstream that may have caused
// it, and the isolated one if it must be blocked for the crash. For each of the others it subtracts
// responsesPerCrash from the counted responses, so that a request that is in flight at too many crashes
// for its number of responses is suspected as well.
//
// An isolated request that was recently answered here is not blocked, because a request that
// crashes upstreams is never answered. Otherwise frequent harmless requests would be blocked when
// upstreams crash for other reasons.
func (c *ResponseCounter) Suspects(inFlight []Fingerprint, isolated Fingerprint) (suspects []Fingerprint, toBlock Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(time.Now())
	for _, p := range inFlight {
		answered := c.current[p] + c.previous[p]
		if answered >= responsesPerCrash {
			c.current[p] -= responsesPerCrash
			continue
		}
		suspects = append(suspects, p)
		if p == isolated && answered == 0 {
			toBlock = p
		}
	}
	return suspects, toBlock
}
