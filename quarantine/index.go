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
	crashesToIsolate = 2
	// firstBlock is how long a request is blocked. After it one more upstream may end for
	// it: two in the first hour, in place of one or two a second.
	initialBlock = 10 * time.Minute
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
	historyCount atomic.Int64 // prints with a history: most of the time none

	mu        sync.RWMutex
	reports   map[string]Report
	histories map[Fingerprint]*history
	heads     map[uint64]int            // prints by their heads, without the caller
	byRequest map[request][]Fingerprint // prints of the same request by different callers
}

// history is what is known of one request.
type history struct {
	crashes         map[string]int64 // when, by the upstream's start
	isolatedCrashes map[string]int64 // those of the ends with it isolated
	reports         int              // that name the request
	completedAt     int64            // when it ran to its end last
}

// Add takes in a report. One that replaces another of its name takes its place.
func (x *Index) Add(r Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if old, ok := x.reports[r.Name]; ok {
		if old.At >= r.At {
			return
		}
		x.removeReport(old)
	}
	if x.reports == nil {
		x.reports = make(map[string]Report)
		x.histories = make(map[Fingerprint]*history)
		x.heads = make(map[uint64]int)
		x.byRequest = make(map[request][]Fingerprint)
	}
	x.reports[r.Name] = r
	for _, p := range r.Fingerprints {
		h := x.histories[p]
		if h == nil {
			h = &history{
				crashes:         make(map[string]int64),
				isolatedCrashes: make(map[string]int64),
			}
			x.histories[p] = h
			x.heads[p.request().head]++
			x.byRequest[p.request()] = append(x.byRequest[p.request()], p)
		}
		h.reports++
		for _, u := range r.Upstreams {
			h.crashes[u] = max(h.crashes[u], r.At)
			if p == r.Isolated {
				h.isolatedCrashes[u] = h.crashes[u]
			}
		}
		if len(r.Upstreams) == 0 {
			h.completedAt = max(h.completedAt, r.At)
		}
	}
	x.historyCount.Store(int64(len(x.histories)))
}

// Remove forgets a report.
func (x *Index) Remove(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r, ok := x.reports[name]; ok {
		x.removeReport(r)
		x.historyCount.Store(int64(len(x.histories)))
	}
}

// drop takes a report out of the histories. The lock is held.
func (x *Index) removeReport(r Report) {
	delete(x.reports, r.Name)
	for _, p := range r.Fingerprints {
		h := x.histories[p]
		for _, u := range r.Upstreams {
			if h.crashes[u] == r.At {
				delete(h.crashes, u)
				delete(h.isolatedCrashes, u)
			}
		}
		h.reports--
		if h.reports > 0 {
			continue
		}
		delete(x.histories, p)
		x.removeFingerprint(p)
	}
}

// forget takes a print without a history out of the lists. The lock is held.
func (x *Index) removeFingerprint(p Fingerprint) {
	r := p.request()
	if x.heads[r.head]--; x.heads[r.head] == 0 {
		delete(x.heads, r.head)
	}
	rest := slices.DeleteFunc(x.byRequest[r], func(o Fingerprint) bool { return o == p })
	if len(rest) == 0 {
		delete(x.byRequest, r)
		return
	}
	x.byRequest[r] = rest
}

// Suspects returns whether a request with the head of p may be suspected, so that its
// body has to be known.
func (x *Index) MaySuspect(p Fingerprint) bool {
	if x.historyCount.Load() == 0 {
		return false
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.heads[p.request().head] > 0
}

// Judge returns the standing of a request. Of a request whose body is not known nothing
// is thought, and a nil Index suspects none.
func (x *Index) Assess(p Fingerprint) Assessment {
	if x == nil || x.historyCount.Load() == 0 {
		return Assessment{
			Fingerprint: p,
		}
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.assess(p, time.Now())
}

// judge returns the standing of a request. One that is blocked for another caller is
// isolated at least, unless it has run to its end since. The lock is held.
func (x *Index) assess(p Fingerprint, now time.Time) Assessment {
	j := x.assessForCaller(p, now)
	if j.State < Isolated && x.blockedForOtherCaller(p, now) {
		j.State = Isolated
	}
	return j
}

// blockedForOthers returns whether the same request is blocked for another caller and has
// not run to its end for this one since. The lock is held.
func (x *Index) blockedForOtherCaller(p Fingerprint, now time.Time) bool {
	var completedAt int64
	if h := x.histories[p]; h != nil {
		completedAt = h.completedAt
	}
	return slices.ContainsFunc(x.byRequest[p.request()], func(o Fingerprint) bool {
		j := x.assessForCaller(o, now)
		return o != p && j.State == Blocked && j.LastCrash.UnixMilli() > completedAt
	})
}

// judgeAlone returns the standing of a request by what has been seen of it with its own
// caller. The lock is held.
func (x *Index) assessForCaller(p Fingerprint, now time.Time) Assessment {
	j := Assessment{
		Fingerprint: p,
	}
	h := x.histories[p]
	if h == nil {
		return j
	}
	var last, lastIsolated int64
	for u, at := range h.crashes {
		if at <= h.completedAt {
			continue
		}
		j.Upstreams = append(j.Upstreams, u)
		last = max(last, at)
		if h.isolatedCrashes[u] > 0 {
			j.IsolatedUpstreams = append(j.IsolatedUpstreams, u)
			lastIsolated = max(lastIsolated, at)
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
	if j.Crashes >= crashesToIsolate {
		j.State = Isolated
	}
	if len(j.IsolatedUpstreams) > 0 {
		j.BlockedUntil = time.UnixMilli(lastIsolated).Add(blockDuration(len(j.IsolatedUpstreams)))
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
func blockDuration(crashes int) time.Duration {
	block := initialBlock
	for range crashes - 1 {
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
	for p := range x.histories {
		if j := x.assess(p, now); j.State != Unsuspected {
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
		if !found || r.olderThan(oldest) {
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
	return r.olderThan(oldest)
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
