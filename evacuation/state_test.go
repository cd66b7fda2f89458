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

// set returns the zones at a resource version.
func set(era, revision uint64, zones ...string) evacuation.Set {
	return evacuation.New(objectapi.ResourceVersion{Era: era, Revision: revision}, zones...)
}

// TestState applies sets one second apart, over several eras. The zones active at the
// end of an era are retained, as by the node that read the first set of the next one.
func TestState(t *testing.T) {
	tests := map[string]struct {
		sets  []evacuation.Set
		after time.Duration // time between the last read and the check
		want  []string
	}{
		"one era":                                {sets: []evacuation.Set{set(1, 5, "z"), set(1, 9)}},
		"lost":                                   {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870)}, want: []string{"z"}},
		"lost, and not written again":            {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870)}, after: evacuation.RetentionPeriod},
		"just before it ends":                    {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870)}, after: evacuation.RetentionPeriod - 1, want: []string{"z"}},
		"lost, and written again":                {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870), set(2, 871, "z")}, after: time.Hour, want: []string{"z"}},
		"written again and removed":              {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870), set(2, 871, "z"), set(2, 872)}},
		"in the backup, and removed":             {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "z"), set(2, 871)}},
		"another zone in the new era":            {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "y")}, want: []string{"y", "z"}},
		"another zone, and the lost one expires": {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "y")}, after: time.Hour, want: []string{"y"}},
		"lost twice in a row":                    {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870), set(3, 860)}, want: []string{"z"}},
		"lost twice, each time another zone":     {sets: []evacuation.Set{set(1, 900, "z"), set(2, 870, "y"), set(3, 860)}, want: []string{"y", "z"}},
		"no zone before":                         {sets: []evacuation.Set{set(1, 900), set(2, 870, "z"), set(2, 871)}},
		"no earlier set":                         {sets: []evacuation.Set{set(2, 870)}},
		"the first era with a number":            {sets: []evacuation.Set{set(0, 900, "z"), set(1, 870)}, want: []string{"z"}},
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
			qt.Check(t, got.SameZones(evacuation.New(objectapi.ResourceVersion{}, test.want...)), qt.IsTrue, qt.Commentf("%v", got.Zones))
			qt.Check(t, got.At, qt.Equals, test.sets[len(test.sets)-1].At)
		})
	}
}

// TestRetainedByOthers has a node that has started since learn the retained zones from others, with
// the start of the era by another node's clock.
func TestRetainedByOthers(t *testing.T) {
	now := time.Unix(1e9, 0)
	tests := map[string]struct {
		seen time.Time
		want time.Duration // retention from now
	}{
		"just now":      {seen: now, want: evacuation.RetentionPeriod},
		"a while ago":   {seen: now.Add(-10 * time.Second), want: evacuation.RetentionPeriod - 10*time.Second},
		"long ago":      {seen: now.Add(-time.Hour)},
		"a clock ahead": {seen: now.Add(time.Hour), want: evacuation.RetentionPeriod},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s evacuation.State
			s.Retain(set(1, 900, "z"), test.seen, now)
			qt.Check(t, s.Active(now).Zones, qt.HasLen, 0, qt.Commentf("before the new era is known"))
			_, restored := s.Update(set(2, 870), now)
			qt.Check(t, restored, qt.IsFalse)
			qt.Check(t, s.Active(now.Add(test.want)).Has("z"), qt.IsFalse)
			if test.want > 0 {
				qt.Check(t, s.Active(now.Add(test.want-1)).Has("z"), qt.IsTrue)
			}
		})
	}
}

// TestSeenByOthers guards against a zone that is evacuated again on a node that did not see it on
// the platform after a restore: other nodes have seen it there, and it was removed.
func TestSeenByOthers(t *testing.T) {
	tests := map[string]struct {
		era   uint64 // in which z was seen
		first bool   // whether the node learns that first
		want  []string
		again []string // zones that need not be retained
	}{
		"in this era":                     {era: 2, want: []string{"y"}, again: []string{"z"}},
		"in this era, learnt first":       {era: 2, first: true, want: []string{"y"}, again: []string{"z"}},
		"in the previous era":             {era: 1, want: []string{"y", "z"}},
		"in an era that is not known yet": {era: 3, want: []string{"y", "z"}},
		"in a platform without eras":      {era: 0, want: []string{"y", "z"}},
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
