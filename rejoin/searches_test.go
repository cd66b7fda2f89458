// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rejoin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFoundInTime has one of many nodes leave and return. Other nodes must send it a request soon
// after, at a cost that does not grow with their number.
func TestFoundInTime(t *testing.T) {
	tests := map[string]struct {
		live        int
		away        time.Duration
		silent      bool
		within      time.Duration
		maxRequests int // maximum number of requests while it is away
	}{
		"the only other, at once":     {live: 1, within: 1500 * time.Millisecond},
		"the only other, later":       {live: 1, away: 20 * time.Second, within: 10 * time.Second, maxRequests: 20},
		"few, at once":                {live: 3, within: time.Second},
		"few, after minutes":          {live: 11, away: 5 * time.Minute, within: 45 * time.Second, maxRequests: 11 * 30},
		"many, after seconds":         {live: 1000, away: 5 * time.Second, within: 5 * time.Second, maxRequests: 20 * 12},
		"many, after most of an hour": {live: 1000, away: 50 * time.Minute, within: 45 * time.Second, maxRequests: 20 * 130},
		"an unresponsive node":        {live: 1000, away: 5 * time.Second, silent: true, within: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			begin := time.Unix(1e9, 0)
			nodes := make([]*Searches, test.live)
			for i := range nodes {
				nodes[i] = &Searches{Self: fmt.Sprint("n", i), Random: random}
				if test.silent && i > 0 {
					continue // only one node found it unresponsive
				}
				if test.silent {
					nodes[i].StartUnresponsive("gone", begin)
				} else {
					nodes[i].StartRemoved("gone", 0, begin)
				}
			}
			requests := 0
			for now := begin; ; now = now.Add(50 * time.Millisecond) {
				for _, s := range nodes {
					requests += len(s.Due(now, test.live, 4))
				}
				if now.Before(begin.Add(test.away)) {
					continue
				}
				if test.away > 0 && requests > 0 && now.Equal(begin.Add(test.away)) {
					qt.Check(t, test.silent || requests <= test.maxRequests, qt.IsTrue, qt.Commentf("%d requests", requests))
					requests = 0
				}
				if requests > 0 {
					qt.Check(t, now.Sub(begin.Add(test.away)) <= test.within, qt.IsTrue, qt.Commentf("found after %v", now.Sub(begin.Add(test.away))))
					return
				}
				qt.Assert(t, now.Sub(begin) < test.away+2*longestPause, qt.IsTrue, qt.Commentf("no request was due"))
			}
		})
	}
}

// TestSearchers counts the nodes selected to search: at most one of a thousand absent nodes may have
// none, and the mean must be the same for any number of nodes.
func TestSearchers(t *testing.T) {
	for _, live := range []int{8, 100, 2000} {
		t.Run(fmt.Sprint(live), func(t *testing.T) {
			const gone = 1000
			none, all := 0, 0
			for i := range gone {
				count := 0
				for n := range live {
					s := Searches{Self: fmt.Sprint("n", n)}
					if s.selected(fmt.Sprint("gone", i), live) {
						count++
					}
				}
				all += count
				if count == 0 {
					none++
				}
			}
			qt.Check(t, none <= gone/1000, qt.IsTrue, qt.Commentf("%d", none))
			qt.Check(t, float64(all)/gone > expectedSearchers-1 && float64(all)/gone < expectedSearchers+1, qt.IsTrue, qt.Commentf("%d", all))
		})
	}
}

// TestDue checks the bound on the number of requests at once, and that Stop ends searches.
func TestDue(t *testing.T) {
	s := Searches{Self: "self", Random: rand.New(rand.NewPCG(1, 2))}
	now := time.Unix(1e9, 0)
	qt.Check(t, s.Due(now, 1, 4), qt.HasLen, 0)
	for i := range 10 {
		s.StartRemoved(fmt.Sprint(i), 0, now)
	}
	s.StartRemoved("self", 0, now)
	s.StartRemoved("late", time.Hour, now)
	qt.Check(t, s.Len(), qt.Equals, 11)
	now = now.Add(2 * firstPause)
	seen := make(map[string]bool)
	for _, most := range []int{4, 0, 4, 4} {
		ids := s.Due(now, 1, most)
		qt.Check(t, len(ids) <= most, qt.IsTrue)
		for _, id := range ids {
			seen[id] = true
		}
	}
	qt.Check(t, seen, qt.HasLen, 10)
	qt.Check(t, seen["late"], qt.IsFalse)
	for i := range 10 {
		s.Stop(fmt.Sprint(i))
	}
	qt.Check(t, s.Due(now.Add(2*longestPause), 1, 4), qt.DeepEquals, []string{"late"})
}
