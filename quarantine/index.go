// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/verdict"
)

const (
	// endsToIsolate is the number of upstreams under whose ends a request is isolated.
	// One may end for any reason with it at hand. Two may as well, where all end at once
	// and it is a request that many callers send: it then runs alone once, and is cleared.
	endsToIsolate = 2
	// firstBlock is how long a request is blocked. After it one more upstream may end for
	// it: two in the first hour, in place of one or two a second.
	firstBlock = 10 * time.Minute
)

// Standing is what is thought of a request.
type State uint8

// The standings.
const (
	// Unsuspected means that no upstream has ended under it, or that it has run since.
	Unsuspected State = iota
	// Seen means that it was at hand when an upstream ended.
	SeenAtCrash
	// Isolated means that it runs only where no other isolated request does.
	Isolated
	// Blocked means that it does not run: an upstream has ended while it was isolated.
	Blocked
)

// String returns the name of s as it stands in logs and metrics.
func (s State) String() string {
	return [...]string{"unsuspected", "seen", "isolated", "blocked"}[s]
}

// Judgment is a request's standing with the grounds for it. It is an immutable value.
type Assessment struct {
	// Print is the request.
	Fingerprint Fingerprint
	// Standing is what is thought of it.
	State State
	// Ends is the number of upstreams that have ended with it at hand since it last ran
	// to its end.
	Crashes int
	// Since is when the last of them did.
	LastCrash time.Time
	// Until is when a block ends.
	BlockedUntil time.Time
	// Upstreams are the starts that have ended, and Isolated those of them that ended
	// while it was isolated.
	Upstreams, IsolatedUpstreams []string
}

// Index knows the standing of requests, by the reports given to it. The zero value is
// ready. Its methods may be called from any goroutine.
type Index struct {
	known atomic.Int64 // prints with a history: most of the time none

	mu      sync.RWMutex
	reports map[string]Report
	prints  map[Fingerprint]*history
	heads   map[uint64]int            // prints by their heads, without the caller
	others  map[request][]Fingerprint // prints of the same request by different callers
}

// history is what is known of one request.
type history struct {
	ends    map[string]int64 // when, by the upstream's start
	alone   map[string]int64 // those of the ends with it isolated
	reports int              // that name the request
	ran     int64            // when it ran to its end last
}

// Add takes in a report. One that replaces another of its name takes its place.
func (x *Index) Add(r Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if old, ok := x.reports[r.Name]; ok {
		if old.At >= r.At {
			return
		}
		x.drop(old)
	}
	if x.reports == nil {
		x.reports = make(map[string]Report)
		x.prints = make(map[Fingerprint]*history)
		x.heads = make(map[uint64]int)
		x.others = make(map[request][]Fingerprint)
	}
	x.reports[r.Name] = r
	for _, p := range r.Fingerprints {
		h := x.prints[p]
		if h == nil {
			h = &history{
				ends:  make(map[string]int64),
				alone: make(map[string]int64),
			}
			x.prints[p] = h
			x.heads[p.request().head]++
			x.others[p.request()] = append(x.others[p.request()], p)
		}
		h.reports++
		for _, u := range r.Upstreams {
			h.ends[u] = max(h.ends[u], r.At)
			if p == r.Isolated {
				h.alone[u] = h.ends[u]
			}
		}
		if len(r.Upstreams) == 0 {
			h.ran = max(h.ran, r.At)
		}
	}
	x.known.Store(int64(len(x.prints)))
}

// Remove forgets a report.
func (x *Index) Remove(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r, ok := x.reports[name]; ok {
		x.drop(r)
		x.known.Store(int64(len(x.prints)))
	}
}

// drop takes a report out of the histories. The lock is held.
func (x *Index) drop(r Report) {
	delete(x.reports, r.Name)
	for _, p := range r.Fingerprints {
		h := x.prints[p]
		for _, u := range r.Upstreams {
			if h.ends[u] == r.At {
				delete(h.ends, u)
				delete(h.alone, u)
			}
		}
		h.reports--
		if h.reports > 0 {
			continue
		}
		delete(x.prints, p)
		x.forget(p)
	}
}

// forget takes a print without a history out of the lists. The lock is held.
func (x *Index) forget(p Fingerprint) {
	r := p.request()
	if x.heads[r.head]--; x.heads[r.head] == 0 {
		delete(x.heads, r.head)
	}
	rest := slices.DeleteFunc(x.others[r], func(o Fingerprint) bool { return o == p })
	if len(rest) == 0 {
		delete(x.others, r)
		return
	}
	x.others[r] = rest
}

// Suspects returns whether a request with the head of p may be suspected, so that its
// body has to be known.
func (x *Index) MaySuspect(p Fingerprint) bool {
	if x.known.Load() == 0 {
		return false
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.heads[p.request().head] > 0
}

// Judge returns the standing of a request. Of a request whose body is not known nothing
// is thought, and a nil Index suspects none.
func (x *Index) Assess(p Fingerprint) Assessment {
	if x == nil || x.known.Load() == 0 {
		return Assessment{
			Fingerprint: p,
		}
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.judge(p, time.Now())
}

// judge returns the standing of a request. One that is blocked for another caller is
// isolated at least, unless it has run to its end since. The lock is held.
func (x *Index) judge(p Fingerprint, now time.Time) Assessment {
	j := x.judgeAlone(p, now)
	if j.State < Isolated && x.blockedForOthers(p, now) {
		j.State = Isolated
	}
	return j
}

// blockedForOthers returns whether the same request is blocked for another caller and has
// not run to its end for this one since. The lock is held.
func (x *Index) blockedForOthers(p Fingerprint, now time.Time) bool {
	var ran int64
	if h := x.prints[p]; h != nil {
		ran = h.ran
	}
	return slices.ContainsFunc(x.others[p.request()], func(o Fingerprint) bool {
		j := x.judgeAlone(o, now)
		return o != p && j.State == Blocked && j.LastCrash.UnixMilli() > ran
	})
}

// judgeAlone returns the standing of a request by what has been seen of it with its own
// caller. The lock is held.
func (x *Index) judgeAlone(p Fingerprint, now time.Time) Assessment {
	j := Assessment{
		Fingerprint: p,
	}
	h := x.prints[p]
	if h == nil {
		return j
	}
	var last, lastAlone int64
	for u, at := range h.ends {
		if at <= h.ran {
			continue
		}
		j.Upstreams = append(j.Upstreams, u)
		last = max(last, at)
		if h.alone[u] > 0 {
			j.IsolatedUpstreams = append(j.IsolatedUpstreams, u)
			lastAlone = max(lastAlone, at)
		}
	}
	j.Crashes = len(j.Upstreams)
	if j.Crashes == 0 {
		return j
	}
	slices.Sort(j.Upstreams)
	slices.Sort(j.IsolatedUpstreams)
	j.LastCrash = time.UnixMilli(last)
	j.State = SeenAtCrash
	if j.Crashes >= endsToIsolate {
		j.State = Isolated
	}
	if len(j.IsolatedUpstreams) > 0 {
		j.BlockedUntil = time.UnixMilli(lastAlone).Add(blockFor(len(j.IsolatedUpstreams)))
	}
	if now.Before(j.BlockedUntil) {
		j.State = Blocked
	}
	return j
}

// blockFor returns how long a request is blocked after the given number of upstreams have
// ended while it was isolated:
//
//	firstBlock * 2^(ends - 1),
//
// and at most Keep.
func blockFor(ends int) time.Duration {
	block := firstBlock
	for range ends - 1 {
		block = min(2*block, ReportLifetime)
	}
	return block
}

// All returns the judgments of all requests that are suspected, those with the most ends
// first.
func (x *Index) All() []Assessment {
	list := x.suspected()
	slices.SortFunc(list, func(a, b Assessment) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), b.LastCrash.Compare(a.LastCrash), cmp.Compare(a.Fingerprint.Head, b.Fingerprint.Head))
	})
	return list
}

// suspected returns the judgments of all requests that are suspected, in no order.
func (x *Index) suspected() []Assessment {
	x.mu.RLock()
	defer x.mu.RUnlock()
	now := time.Now()
	var list []Assessment
	for p := range x.prints {
		if j := x.judge(p, now); j.State != Unsuspected {
			list = append(list, j)
		}
	}
	return list
}

// Count returns the number of requests with a standing other than Unsuspected.
func (x *Index) Count(s State) (n int) {
	for _, j := range x.suspected() {
		if j.State == s {
			n++
		}
	}
	return n
}

// Oldest returns the report that is dropped first where there are too many, if there is
// one.
func (x *Index) Oldest() (Report, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var oldest Report
	found := false
	for _, r := range x.reports {
		if !found || r.older(oldest) {
			oldest, found = r, true
		}
	}
	return oldest, found
}

// Full returns whether there is no room for a report: as many newer ones are kept.
func (x *Index) Full(r Report) bool {
	x.mu.RLock()
	n := len(x.reports)
	_, replaces := x.reports[r.Name]
	x.mu.RUnlock()
	if replaces || n < MaxReports {
		return false
	}
	oldest, _ := x.Oldest()
	return r.older(oldest)
}

// Excess returns the number of reports beyond MaxReports.
func (x *Index) Excess() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return max(0, len(x.reports)-MaxReports)
}

// Failure returns why a request with the judgment is not run, or nil if it may run.
func (j Assessment) Failure() *verdict.Error {
	if j.State != Blocked {
		return nil
	}
	return verdict.New(verdict.Quarantined, eris.Errorf("%d upstreams have ended under requests like this one", j.Crashes)).WithRetryAfter(time.Until(j.BlockedUntil))
}
