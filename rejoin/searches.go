// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rejoin

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// expectedSearchers is the expected number of nodes that search for an absent node. Each node decides
	// for itself, so with an expected number of eight, no node searches in 0.03% of the cases.
	expectedSearchers = 8
	// firstPause is the mean time before the first request to an absent node. The pause is
	// multiplied by growth after each request, up to longestPause.
	firstPause   = 500 * time.Millisecond
	growth       = 1.4
	longestPause = 30 * time.Second
	// ageFraction is the fraction of the time since a node left or was removed that a node which
	// learns of it late waits before its first request.
	ageFraction = 0.25
)

// Searches holds the absent nodes that a node searches for. The exported fields must be set before
// the first call. It is not safe for concurrent use.
type Searches struct {
	// Self is the id of the searching node.
	Self string
	// Random is the source of random numbers.
	Random *rand.Rand

	list map[string]*search // by node id
	next time.Time          // no search runs before this time
}

// search is the search for one node.
type search struct {
	id     string
	due    time.Time
	pause  time.Duration
	shared bool // whether only selected nodes search for it
}

// StartRemoved starts to search for a node that left or was removed the given time ago, unless a
// search is in progress. Only some of the nodes that know this send requests (see selected).
func (s *Searches) StartRemoved(id string, age time.Duration, now time.Time) {
	s.start(id, true, time.Duration(ageFraction*float64(age)), now)
}

// StartUnresponsive starts to search for a node that does not respond to this one, unless a search
// is in progress.
func (s *Searches) StartUnresponsive(id string, now time.Time) { s.start(id, false, 0, now) }

func (s *Searches) start(id string, shared bool, pause time.Duration, now time.Time) {
	if id == s.Self || s.list[id] != nil {
		return
	}
	if s.list == nil {
		s.list = make(map[string]*search)
	}
	f := &search{
		id:     id,
		pause:  min(max(pause, firstPause), longestPause),
		shared: shared,
	}
	s.list[id] = f
	s.schedule(f, now)
}

// schedule sets the time of the next request of a search.
func (s *Searches) schedule(f *search, now time.Time) {
	f.due = now.Add(f.pause/2 + time.Duration(s.Random.Int64N(int64(f.pause))))
	if len(s.list) == 1 || f.due.Before(s.next) {
		s.next = f.due
	}
}

// Stop ends the search for a node that was found, or whose record was dropped.
func (s *Searches) Stop(id string) { delete(s.list, id) }

// Len returns the number of searches.
func (s *Searches) Len() int { return len(s.list) }

// Due returns up to limit nodes to send requests to now, given the number of live nodes. The next
// call returns the others. It leaves out nodes for which this node is not selected.
func (s *Searches) Due(now time.Time, live, limit int) (ids []string) {
	if len(s.list) == 0 || now.Before(s.next) {
		return nil
	}
	due := make([]*search, 0, len(s.list))
	for _, f := range s.list {
		if !now.Before(f.due) {
			due = append(due, f)
		}
	}
	slices.SortFunc(due, func(a, b *search) int { return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.id, b.id)) })
	for _, f := range due {
		searches := !f.shared || s.selected(f.id, live)
		if searches && len(ids) == limit {
			break
		}
		if searches {
			ids = append(ids, f.id)
		}
		f.pause = min(longestPause, time.Duration(growth*float64(f.pause)))
		s.schedule(f, now)
	}
	s.next = now.Add(longestPause)
	for _, f := range s.list {
		if f.due.Before(s.next) {
			s.next = f.due
		}
	}
	return ids
}

// selected returns whether this node is one of those that search for the given node. Each node
// decides without asking the others, and alike as long as the number of live nodes is the same.
func (s *Searches) selected(id string, live int) bool {
	draw := float64(xxhash.Sum64String(s.Self+"\x00"+id)) / (1 << 64)
	return draw*float64(live) < expectedSearchers
}
