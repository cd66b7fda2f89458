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
	// MaxSuspects is the number of requests that are kept of those that were at an
	// upstream when it ended, the ones begun last first. An upstream that runs more at
	// once ends under one of the last: a request that ends upstreams does so within a
	// fraction of its usual run.
	MaxSuspects = 64
	// linger is how long a request that was lost or given up counts as still at its
	// upstream, which may go on with it and end under it: the callers' usual deadlines
	// are about a second.
	abandonedRetention = 2 * time.Second
)

// Running knows the requests that are at one upstream. The zero value is ready. Its
// methods may be called from any goroutine.
type InFlight struct {
	mu        sync.Mutex
	open      map[*Run]bool
	abandoned []*Run // by the time of their loss
}

// Run is a request at an upstream.
type Run struct {
	inFlight    *InFlight
	fingerprint func() Fingerprint
	isolated    bool // whether it is isolated
	startedAt   time.Time
	abandonedAt time.Time
}

// Begin records that a request is sent to the upstream, and whether it is isolated.
// Print returns its fingerprint, as far as its body has been sent.
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

// End records the end of a request that is over: answered, or known not to have run.
// It does nothing for one that Abandon or Take has ended.
func (r *Run) End() {
	f := r.inFlight
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.remove(r) {
		return
	}
	// The upstream lives, so what it was sent long ago has done it no harm.
	oldest := time.Now().Add(-abandonedRetention)
	f.abandoned = slices.DeleteFunc(f.abandoned, func(o *Run) bool { return o.abandonedAt.Before(oldest) })
}

// Abandon records that nobody waits for the answer any more, be it that the connection
// was lost: the upstream may still run the request.
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

// close takes a request out of those in flight, and returns whether it was one of them.
// The lock is held.
func (f *InFlight) remove(u *Run) bool {
	removed := f.open[u]
	delete(f.open, u)
	return removed
}

// Take returns the fingerprints of the requests that are or may be at the upstream, at
// most MaxSuspects, and the one of them that is isolated, and forgets them. It is for an
// upstream that has ended. If one isolated request was given up and another has begun
// since, nobody can say which of them it was, and none is returned.
func (f *InFlight) Take() (fingerprints []Fingerprint, isolated Fingerprint) {
	f.mu.Lock()
	runs := slices.Clone(f.abandoned)
	for u := range f.open {
		runs = append(runs, u)
	}
	clear(f.open)
	f.abandoned = nil
	f.mu.Unlock()
	slices.SortFunc(runs, func(a, b *Run) int { return b.startedAt.Compare(a.startedAt) })
	isolatedRuns := 0
	for _, u := range runs {
		p := u.fingerprint()
		if !p.Complete() || len(fingerprints) == MaxSuspects {
			continue
		}
		if u.isolated {
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
