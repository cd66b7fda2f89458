// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package evacuation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/objectapi"
)

// set returns the zones as they were at a point.
func set(era, revision uint64, zones ...string) evacuation.Set {
	return evacuation.New(objectapi.Point{Era: era, Revision: revision}, zones...)
}

// TestState reads sets one after the other, a second from each other, over eras. What was in
// force when one ended is retained as a node does that made it.
func TestState(t *testing.T) {
	tests := map[string]struct {
		sets  []evacuation.Set
		after time.Duration // from the last read to the look
		want  []string
	}{
		"one era":                            {sets: []evacuation.Set{set(1, 5, "z"), set(1, 9)}},
		"lost":                               {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870)}, want: []string{"z"}},
		"lost, and not written again":        {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870)}, after: evacuation.RetentionPeriod},
		"just before it ends":                {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870)}, after: evacuation.RetentionPeriod - 1, want: []string{"z"}},
		"lost, and written again":            {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870), set(2, 871, "z")}, after: time.Hour, want: []string{"z"}},
		"written again and removed":          {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870), set(2, 871, "z"), set(2, 872)}},
		"in the copy, and removed":           {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "z"), set(2, 871)}},
		"another one in the new era":         {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "y")}, want: []string{"y", "z"}},
		"another one, and the lost one ends": {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "y")}, after: time.Hour, want: []string{"y"}},
		"lost twice in a row":                {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870), set(3, 860)}, want: []string{"z"}},
		"lost twice, each time another":      {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "y"), set(3, 860)}, want: []string{"y", "z"}},
		"none before":                        {sets: []evacuation.Set{set(1, 900), set(2, 870, "z"), set(2, 871)}},
		"nothing known of before":            {sets: []evacuation.Set{set(2, 870)}},
		"the first era that is named":        {sets: []evacuation.Set{set(0, 900, "z"), set(1, 870)}, want: []string{"z"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			var s evacuation.State
			for _, n := range test.sets {
				now = now.Add(time.Second)
				if before, restored := s.Update(n, now); restored {
					s.Retain(before, now, now)
				}
			}
			got := s.Active(now.Add(test.after))
			qt.Check(t, got.SameZones(evacuation.New(objectapi.Point{}, test.want...)), qt.IsTrue, qt.Commentf("%v", got.Zones))
			qt.Check(t, got.At, qt.Equals, test.sets[len(test.sets)-1].At)
		})
	}
}

// TestRetainedByOthers has a node that has started since hear from others what was in force, with
// when the era began by another clock.
func TestRetainedByOthers(t *testing.T) {
	now := time.Unix(1e9, 0)
	tests := map[string]struct {
		seen time.Time
		want time.Duration // for how long from now it is retained
	}{
		"just now":         {seen: now, want: evacuation.RetentionPeriod},
		"a while ago":      {seen: now.Add(-10 * time.Second), want: evacuation.RetentionPeriod - 10*time.Second},
		"long ago":         {seen: now.Add(-time.Hour)},
		"by a clock ahead": {seen: now.Add(time.Hour), want: evacuation.RetentionPeriod},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s evacuation.State
			s.Retain(set(1, 900, "z"), test.seen, now)
			qt.Check(t, s.Active(now).Zones, qt.HasLen, 0, qt.Commentf("before the era is known"))
			_, restored := s.Update(set(2, 870), now)
			qt.Check(t, restored, qt.IsFalse)
			qt.Check(t, s.Active(now.Add(test.want)).Has("z"), qt.IsFalse)
			if test.want > 0 {
				qt.Check(t, s.Active(now.Add(test.want-1)).Has("z"), qt.IsTrue)
			}
		})
	}
}

// TestStoodElsewhere guards against a zone that is evacuated once more at a node which did not see
// it stand on the platform after that had lost it: others have seen it there, and it is removed.
func TestSeenByOthers(t *testing.T) {
	tests := map[string]struct {
		era   uint64 // in which z stood
		first bool   // whether the node hears of that before all else
		want  []string
		again []string // what need not be retained
	}{
		"in this era":                    {era: 2, want: []string{"y"}, again: []string{"z"}},
		"in this era, heard first":       {era: 2, first: true, want: []string{"y"}, again: []string{"z"}},
		"in the era before":              {era: 1, want: []string{"y", "z"}},
		"in one that is not yet known":   {era: 3, want: []string{"y", "z"}},
		"not known, where none is named": {era: 0, want: []string{"y", "z"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			var s evacuation.State
			if test.first {
				s.MarkSeen("z", test.era)
			}
			s.Update(set(2, 872), now)
			s.Retain(set(1, 900, "y", "z"), now, now)
			if !test.first {
				s.MarkSeen("z", test.era)
			}
			s.MarkSeen("x", test.era)
			qt.Check(t, s.Active(now).Zones, qt.DeepEquals, test.want)
			qt.Check(t, s.SeenAgain(), qt.DeepEquals, test.again)
		})
	}
}
