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
	linger = 2 * time.Second
)

// Running knows the requests that are at one upstream. The zero value is ready. Its
// methods may be called from any goroutine.
type InFlight struct {
	mu   sync.Mutex
	open map[*Run]bool
	lost []*Run // by the time of their loss
}

// Run is a request at an upstream.
type Run struct {
	running *InFlight
	print   func() Fingerprint
	alone   bool // whether it is isolated
	began   time.Time
	lost    time.Time
}

// Begin records that a request is sent to the upstream, and whether it is isolated.
// Print returns its fingerprint, as far as its body has been sent.
func (r *InFlight) Begin(print func() Fingerprint, alone bool) *Run {
	run := &Run{
		running: r,
		print:   print,
		alone:   alone,
		began:   time.Now(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = make(map[*Run]bool)
	}
	r.open[run] = true
	return run
}

// End records the end of a request that is over: answered, or known not to have run.
// It does nothing for one that Abandon or Take has ended.
func (u *Run) End() {
	r := u.running
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.close(u) {
		return
	}
	// The upstream lives, so what it was sent long ago has done it no harm.
	long := time.Now().Add(-linger)
	r.lost = slices.DeleteFunc(r.lost, func(o *Run) bool { return o.lost.Before(long) })
}

// Abandon records that nobody waits for the answer any more, be it that the connection
// was lost: the upstream may still run the request.
func (u *Run) Abandon() {
	r := u.running
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.close(u) {
		return
	}
	u.lost = time.Now()
	if len(r.lost) >= MaxSuspects {
		r.lost = slices.Delete(r.lost, 0, 1)
	}
	r.lost = append(r.lost, u)
}

// close takes a request out of those in flight, and returns whether it was one of them.
// The lock is held.
func (r *InFlight) close(u *Run) bool {
	open := r.open[u]
	delete(r.open, u)
	return open
}

// Take returns the fingerprints of the requests that are or may be at the upstream, at
// most MaxSuspects, and the one of them that is isolated, and forgets them. It is for an
// upstream that has ended. If one isolated request was given up and another has begun
// since, nobody can say which of them it was, and none is returned.
func (r *InFlight) Take() (prints []Fingerprint, alone Fingerprint) {
	r.mu.Lock()
	runs := slices.Clone(r.lost)
	for u := range r.open {
		runs = append(runs, u)
	}
	clear(r.open)
	r.lost = nil
	r.mu.Unlock()
	slices.SortFunc(runs, func(a, b *Run) int { return b.began.Compare(a.began) })
	isolated := 0
	for _, u := range runs {
		p := u.print()
		if !p.Complete() || len(prints) == MaxSuspects {
			continue
		}
		if u.alone {
			isolated++
			alone = p
		}
		if !slices.Contains(prints, p) {
			prints = append(prints, p)
		}
	}
	if isolated > 1 {
		alone = Fingerprint{}
	}
	return prints, alone
}
