// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxSuspects is the maximum number of requests that are suspected for a crash, those that
	// began last. An upstream that runs more requests at once crashes because of one of the last
	// of them, as a request that crashes upstreams does so within a fraction of its usual run time.
	MaxSuspects = 64
	// abandonedRetention is how long an abandoned request counts as in flight. The upstream may
	// continue to run it, and crash. The usual deadlines of callers are about a second.
	abandonedRetention = 2 * time.Second
)

// InFlight tracks the requests that are in flight at one upstream. The zero value is ready to
// use. Its methods may be called from any goroutine.
type InFlight struct {
	mu        sync.Mutex
	open      map[*Run]bool
	abandoned []*Run // in the order in which they were abandoned
}

// Run is a request that is in flight at an upstream.
type Run struct {
	inFlight    *InFlight
	fingerprint func() Fingerprint
	isolated    bool
	startedAt   time.Time
	abandonedAt time.Time
}

// Begin records that a request is sent to the upstream, and whether it is isolated. The
// given function returns its fingerprint, with as much of its body as has been sent.
func (f *InFlight) Begin(fingerprint func() Fingerprint, isolated bool) *Run {
	run := &Run{
		inFlight:    f,
		fingerprint: fingerprint,
		isolated:    isolated,
		startedAt:   time.Now(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = make(map[*Run]bool)
	}
	f.open[run] = true
	return run
}

// End records that a request was answered, or is known not to have run. It does nothing after
// Abandon or Take.
func (r *Run) End() {
	f := r.inFlight
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.remove(r) {
		return
	}
	// The upstream is alive, so requests that were abandoned long ago have not crashed it.
	oldest := time.Now().Add(-abandonedRetention)
	f.abandoned = slices.DeleteFunc(f.abandoned, func(o *Run) bool { return o.abandonedAt.Before(oldest) })
}

// Abandon records that nobody waits for the response any more, or that the connection was
// lost: the upstream may still run the request.
func (r *Run) Abandon() {
	f := r.inFlight
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.remove(r) {
		return
	}
	r.abandonedAt = time.Now()
	if len(f.abandoned) >= MaxSuspects {
		f.abandoned = slices.Delete(f.abandoned, 0, 1)
	}
	f.abandoned = append(f.abandoned, r)
}

// remove removes a request from those in flight, and returns whether it was one of them.
// The caller holds the lock.
func (f *InFlight) remove(r *Run) bool {
	removed := f.open[r]
	delete(f.open, r)
	return removed
}

// Take removes the requests that are or may be in flight, and returns the fingerprints of at
// most MaxSuspects of them, and that of the isolated one. It is called when the upstream has
// crashed. If an isolated request was abandoned and another has begun since, either may have
// caused the crash, and none is returned as isolated.
func (f *InFlight) Take() (fingerprints []Fingerprint, isolated Fingerprint) {
	f.mu.Lock()
	runs := slices.Clone(f.abandoned)
	for r := range f.open {
		runs = append(runs, r)
	}
	clear(f.open)
	f.abandoned = nil
	f.mu.Unlock()
	slices.SortFunc(runs, func(a, b *Run) int { return b.startedAt.Compare(a.startedAt) })
	isolatedRuns := 0
	for _, r := range runs {
		p := r.fingerprint()
		if !p.Complete() || len(fingerprints) == MaxSuspects {
			continue
		}
		if r.isolated {
			isolatedRuns++
			isolated = p
		}
		if !slices.Contains(fingerprints, p) {
			fingerprints = append(fingerprints, p)
		}
	}
	if isolatedRuns > 1 {
		isolated = Fingerprint{}
	}
	return fingerprints, isolated
}
