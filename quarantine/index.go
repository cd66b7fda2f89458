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
	// crashesToIsolate is the number of crashes with a request in flight after which it is
	// isolated. One upstream may crash for any reason. Two may crash as well, if all crash at
	// once and many callers send the request: it then runs in isolation once, and is cleared.
	crashesToIsolate = 2
	// initialBlock is how long a request is blocked at first. After a block, the request may crash
	// one more upstream: two in the first hour, instead of one or two a second.
	initialBlock = 10 * time.Minute
)

// State is the state of a request in the quarantine.
type State uint8

// The states of a request.
const (
	// Unsuspected means that no upstream has crashed with it in flight since it was last answered.
	Unsuspected State = iota
	// SeenAtCrash means that it was in flight when an upstream crashed.
	SeenAtCrash
	// Isolated means that it runs only where no other isolated request does.
	Isolated
	// Blocked means that it does not run, because an upstream crashed while it was isolated.
	Blocked
)

// String returns the name of s, as used in logs and metrics.
func (s State) String() string {
	return [...]string{"unsuspected", "seen", "isolated", "blocked"}[s]
}

// Assessment is the state of a request and the grounds for it. It is an immutable value.
type Assessment struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// State is the state of the request.
	State State
	// Crashes is the number of upstreams that have crashed with it in flight since it was last
	// answered.
	Crashes int
	// LastCrash is the time of the last of these crashes.
	LastCrash time.Time
	// BlockedUntil is the time at which a block ends.
	BlockedUntil time.Time
	// Upstreams are the start IDs of the upstreams that have crashed, and IsolatedUpstreams
	// those of them that crashed while the request was isolated.
	Upstreams, IsolatedUpstreams []string
}

// Index holds the states of requests according to the reports added to it. The zero value is
// ready to use. Its methods may be called from any goroutine.
type Index struct {
	historyCount atomic.Int64 // number of histories, usually 0

	mu        sync.RWMutex
	reports   map[string]Report
	histories map[Fingerprint]*history
	heads     map[uint64]int            // number of fingerprints by their heads, without the caller
	byRequest map[request][]Fingerprint // fingerprints of the same request by different callers
}

// history is the information about one request.
type history struct {
	crashes         map[string]int64 // times of crashes with it in flight, by the upstream's start ID
	isolatedCrashes map[string]int64 // those of the crashes with it isolated
	reports         int              // number of reports that list the request
	completedAt     int64            // when it last completed
}

// Add adds a report. It replaces an older report of the same name.
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

// Remove removes a report.
func (x *Index) Remove(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r, ok := x.reports[name]; ok {
		x.removeReport(r)
		x.historyCount.Store(int64(len(x.histories)))
	}
}

// removeReport removes a report from the histories. The caller holds the lock.
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

// removeFingerprint removes a fingerprint without a history from the other maps. The caller
// holds the lock.
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

// MaySuspect returns whether a request with the head of p may be suspected, so that its
// body is needed for an assessment.
func (x *Index) MaySuspect(p Fingerprint) bool {
	if x.historyCount.Load() == 0 {
		return false
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.heads[p.request().head] > 0
}

// Assess returns the assessment of a request. A request whose body is not known is not
// suspected, and a nil Index suspects none.
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

// assess returns the assessment of a request. A request that is blocked for another caller is
// at least isolated, unless it has been answered since. The caller holds the lock.
func (x *Index) assess(p Fingerprint, now time.Time) Assessment {
	a := x.assessForCaller(p, now)
	if a.State < Isolated && x.blockedForOtherCaller(p, now) {
		a.State = Isolated
	}
	return a
}

// blockedForOtherCaller returns whether the same request is blocked for another caller and has
// not been answered for this caller since. The caller holds the lock.
func (x *Index) blockedForOtherCaller(p Fingerprint, now time.Time) bool {
	var completedAt int64
	if h := x.histories[p]; h != nil {
		completedAt = h.completedAt
	}
	return slices.ContainsFunc(x.byRequest[p.request()], func(o Fingerprint) bool {
		a := x.assessForCaller(o, now)
		return o != p && a.State == Blocked && a.LastCrash.UnixMilli() > completedAt
	})
}

// assessForCaller returns the assessment of a request by its history with its own caller
// only. The caller holds the lock.
func (x *Index) assessForCaller(p Fingerprint, now time.Time) Assessment {
	a := Assessment{
		Fingerprint: p,
	}
	h := x.histories[p]
	if h == nil {
		return a
	}
	var last, lastIsolated int64
	for u, at := range h.crashes {
		if at <= h.completedAt {
			continue
		}
		a.Upstreams = append(a.Upstreams, u)
		last = max(last, at)
		if h.isolatedCrashes[u] > 0 {
			a.IsolatedUpstreams = append(a.IsolatedUpstreams, u)
			lastIsolated = max(lastIsolated, at)
		}
	}
	a.Crashes = len(a.Upstreams)
	if a.Crashes == 0 {
		return a
	}
	slices.Sort(a.Upstreams)
	slices.Sort(a.IsolatedUpstreams)
	a.LastCrash = time.UnixMilli(last)
	a.State = SeenAtCrash
	if a.Crashes >= crashesToIsolate {
		a.State = Isolated
	}
	if len(a.IsolatedUpstreams) > 0 {
		a.BlockedUntil = time.UnixMilli(lastIsolated).Add(blockDuration(len(a.IsolatedUpstreams)))
	}
	if now.Before(a.BlockedUntil) {
		a.State = Blocked
	}
	return a
}

// blockDuration returns how long a request is blocked after the given number of upstreams have
// crashed while it was isolated:
//
//	initialBlock * 2^(crashes - 1),
//
// and at most ReportLifetime.
func blockDuration(crashes int) time.Duration {
	block := initialBlock
	for range crashes - 1 {
		block = min(2*block, ReportLifetime)
	}
	return block
}

// All returns the assessments of all suspected requests, those with the most crashes
// first.
func (x *Index) All() []Assessment {
	list := x.suspected()
	slices.SortFunc(list, func(a, b Assessment) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), b.LastCrash.Compare(a.LastCrash), cmp.Compare(a.Fingerprint.Head, b.Fingerprint.Head))
	})
	return list
}

// suspected returns the assessments of all suspected requests, in no particular order.
func (x *Index) suspected() []Assessment {
	x.mu.RLock()
	defer x.mu.RUnlock()
	now := time.Now()
	var list []Assessment
	for p := range x.histories {
		if a := x.assess(p, now); a.State != Unsuspected {
			list = append(list, a)
		}
	}
	return list
}

// Count returns the number of requests in a state other than Unsuspected.
func (x *Index) Count(s State) (n int) {
	for _, a := range x.suspected() {
		if a.State == s {
			n++
		}
	}
	return n
}

// Oldest returns the report that is removed first if there are too many. It returns false if
// there is none.
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

// Full returns whether there is no room for a report, because MaxReports newer ones are kept.
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

// Failure returns the error for a request that is blocked, or nil if the request may run.
func (a Assessment) Failure() *verdict.Error {
	if a.State != Blocked {
		return nil
	}
	return verdict.New(verdict.Quarantined, eris.Errorf("%d upstreams have crashed while running requests like this one", a.Crashes)).WithRetryAfter(time.Until(a.BlockedUntil))
}
