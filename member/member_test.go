// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sassafrasfront.example/gossip"
	"sassafrasfront.example/member"
)

func TestRecordOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	r := member.Record{ID: "a", State: member.Up, Incarnation: 5, Version: 3}
	tests := map[string]struct {
		older, newer member.Record
	}{
		"next version":                         {older: r, newer: r.WithState(member.Draining)},
		"tombstone":                            {older: r.WithState(member.Draining), newer: r.Tombstone()},
		"next incarnation after the tombstone": {older: r.Tombstone(), newer: r.NextIncarnation(r.Tombstone(), now)},
		"restart":                              {older: r, newer: r.NextIncarnation(member.Record{}, now)},
		"restart with a slow clock":            {older: r, newer: r.NextIncarnation(r, time.Unix(0, 1))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, test.older.GossipVersion().Less(test.newer.GossipVersion()), qt.IsTrue)
			qt.Check(t, test.newer.GossipVersion().Less(test.older.GossipVersion()), qt.IsFalse)
		})
	}
}

func TestFailureDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		known, silent int
		after         time.Duration
		responds      bool
		want          int
	}{
		"before the timeout":          {known: 100, silent: 3, after: time.Minute},
		"a few":                       {known: 100, silent: 3, after: 5 * time.Minute, want: 3},
		"one responds again in time":  {known: 100, silent: 3, after: 5 * time.Minute, responds: true, want: 2},
		"a whole zone: limited share": {known: 100, silent: 100, after: 5 * time.Minute, want: 5},
		"few nodes: at least one":     {known: 3, silent: 3, after: 5 * time.Minute, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := member.FailureDetector{SilenceTimeout: 5 * time.Minute, RemovalWindow: 10 * time.Minute, MaxRemovalShare: 0.05}
			for i := range test.silent {
				l.MarkSilent(fmt.Sprint(i), start)
				l.MarkSilent(fmt.Sprint(i), start.Add(time.Minute))
			}
			if test.responds {
				l.MarkAlive("0")
			}
			qt.Check(t, l.TakeRemovals(test.known, start.Add(test.after)), qt.HasLen, test.want)
			qt.Check(t, len(l.TakeRemovals(test.known, start.Add(test.after+time.Second))) == 0, qt.IsTrue,
				qt.Commentf("no more removals within the window"))
		})
	}
}

func TestRendezvousOrder(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	order := member.RendezvousOrder("zone", ids)
	qt.Check(t, order, qt.HasLen, 4)
	for i, id := range order {
		qt.Check(t, member.RendezvousRank("zone", id, ids), qt.Equals, i)
	}
	for n := range len(ids) + 2 {
		qt.Check(t, member.RendezvousTop("zone", ids, n), qt.DeepEquals, order[:min(n, len(ids))])
	}
	fewer := member.RendezvousOrder("zone", []string{"d", "a", "b"})
	var want []string
	for _, id := range order {
		if id != "c" {
			want = append(want, id)
		}
	}
	qt.Check(t, fewer, qt.DeepEquals, want)
}

// TestWrongRemovalHeals has a node removed during a partition. Whatever the order of
// the deliveries, every set must end with the node's latest record.
func TestWrongRemovalHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := member.Record{ID: "a", State: member.Up, Incarnation: 1, Version: 1}
		records := []member.Record{own, own.WithState(member.Draining)}
		tombstone := records[1].Tombstone()
		back := records[1].NextIncarnation(tombstone, time.Unix(0, 1))
		records = append(records, tombstone, back, back.WithState(member.Up))
		last := records[len(records)-1]
		var s gossip.Set[member.Record]
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(records)-1)).Draw(t, "deliveries") {
			s.Put(records[i])
		}
		s.Put(last)
		got, _ := s.Get("a")
		if got != last {
			t.Fatalf("the set ends with %v", got)
		}
	})
}
