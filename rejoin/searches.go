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
	// searchers is how many nodes are expected to search for each that is gone. Each draws for
	// itself, so that with eight expected none does in 0.03% of the cases.
	searchers = 8
	// firstPause is the mean time after which a node that is gone is asked for, and from one time to
	// the next until it grows: by growth each time, up to longestPause.
	firstPause   = 500 * time.Millisecond
	growth       = 1.4
	longestPause = 30 * time.Second
	// ageShare is the part of the time for which a node has been gone that passes until it is asked
	// for, by one that hears of it late.
	ageShare = 0.25
)

// Searches are the nodes that are gone and that this one searches for. The exported fields are set
// before the first call. One goroutine calls its methods.
type Searches struct {
	// Self is this node's id.
	Self string
	// Random is where draws come from.
	Random *rand.Rand

	list map[string]*search // by node
	next time.Time          // no search is due before
}

// search is that for one node.
type search struct {
	id     string
	due    time.Time
	pause  time.Duration
	shared bool // whether only drawn nodes search for it
}

// Gone begins to search for a node that all others take for gone, since the given time, unless this
// node does so already. Some of them search.
func (s *Searches) StartRemoved(id string, since time.Duration, now time.Time) {
	s.start(id, true, time.Duration(ageShare*float64(since)), now)
}

// Silent begins to search for a node that has not answered this one, unless it does so already.
func (s *Searches) StartUnresponsive(id string, now time.Time) { s.start(id, false, 0, now) }

func (s *Searches) start(id string, drawn bool, pause time.Duration, now time.Time) {
	if id == s.Self || s.list[id] != nil {
		return
	}
	if s.list == nil {
		s.list = make(map[string]*search)
	}
	f := &search{
		id:     id,
		pause:  min(max(pause, firstPause), longestPause),
		shared: drawn,
	}
	s.list[id] = f
	s.schedule(f, now)
}

// put sets when a search is due next.
func (s *Searches) schedule(f *search, now time.Time) {
	f.due = now.Add(f.pause/2 + time.Duration(s.Random.Int64N(int64(f.pause))))
	if len(s.list) == 1 || f.due.Before(s.next) {
		s.next = f.due
	}
}

// End ends the search for a node: it has been found, or its record is dropped.
func (s *Searches) Stop(id string) { delete(s.list, id) }

// Len returns the number of nodes that are searched for.
func (s *Searches) Len() int { return len(s.list) }

// Due returns the nodes that are to be asked for now, given how many nodes are live, and at most as
// many as most says; the others stay due. Those for which others are drawn are left out.
func (s *Searches) Due(now time.Time, live, most int) (ids []string) {
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
		if searches && len(ids) == most {
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

// drawn returns whether this node is among those that search for another. Each node finds its own
// place without a look at the others, and keeps it while the number of live nodes stays.
func (s *Searches) selected(id string, live int) bool {
	draw := float64(xxhash.Sum64String(s.Self+"\x00"+id)) / (1 << 64)
	return draw*float64(live) < searchers
}
