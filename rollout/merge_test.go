// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/rollout"
)

// found returns an order for a version as read at a resource version.
func found(version string, era, revision uint64, outcome rollout.Phase) rollout.StoredOrder {
	return rollout.StoredOrder{
		Order: rollout.Order{
			Service:         "s",
			Version:         version,
			Duration:        10 * time.Second,
			ResourceVersion: objectapi.ResourceVersion{Era: era, Revision: revision},
		},
		Outcome: outcome,
	}
}

// TestMerge merges orders that were read into known states, and into none.
func TestMerge(t *testing.T) {
	now := time.Unix(1e9, 0)
	in := func(f rollout.StoredOrder, p rollout.Phase, recorded uint64) *rollout.State {
		s := rollout.State{Order: f.Order}.WithPhase(p, "", "n", now)
		if recorded > 0 {
			s = s.WithRecorded(objectapi.ResourceVersion{Era: f.Order.ResourceVersion.Era, Revision: recorded})
		}
		return &s
	}
	tests := map[string]struct {
		known   *rollout.State
		found   rollout.StoredOrder
		want    rollout.Phase
		changed bool
	}{
		"first":                             {found: found("v2", 1, 5, rollout.Trial), want: rollout.Trial, changed: true},
		"settled before the node started":   {found: found("v2", 1, 9, rollout.RolledBack), want: rollout.RolledBack, changed: true},
		"the same, with a status":           {known: in(found("v2", 1, 5, 0), rollout.Widened, 0), found: found("v2", 1, 6, rollout.Trial), want: rollout.Widened},
		"recorded by another":               {known: in(found("v2", 1, 5, 0), rollout.Moved, 0), found: found("v2", 1, 8, rollout.Completed), want: rollout.Completed, changed: true},
		"an old read after it was recorded": {known: in(found("v2", 1, 5, 0), rollout.RolledBack, 8), found: found("v2", 1, 6, rollout.Trial), want: rollout.RolledBack},
		"ordered again":                     {known: in(found("v2", 1, 5, 0), rollout.RolledBack, 8), found: found("v2", 1, 12, rollout.Trial), want: rollout.Trial, changed: true},
		"another version":                   {known: in(found("v2", 1, 5, 0), rollout.Completed, 8), found: found("v3", 1, 12, rollout.Trial), want: rollout.Trial, changed: true},
		"an old read of an order before":    {known: in(found("v3", 1, 12, 0), rollout.Widened, 0), found: found("v2", 1, 8, rollout.Completed), want: rollout.Widened},
		"a backup without the roll-back":    {known: in(found("v2", 1, 5, 0), rollout.RolledBack, 8), found: found("v2", 2, 6, rollout.Trial), want: rollout.Stopped, changed: true},
		"a backup without the completion":   {known: in(found("v2", 1, 5, 0), rollout.Completed, 8), found: found("v2", 2, 6, rollout.Trial), want: rollout.Emptied, changed: true},
		"a backup during the roll-out":      {known: in(found("v2", 1, 5, 0), rollout.Widened, 0), found: found("v2", 2, 6, rollout.Trial), want: rollout.Widened, changed: true},
		"a backup with the outcome":         {known: in(found("v2", 1, 5, 0), rollout.RolledBack, 8), found: found("v2", 2, 8, rollout.RolledBack), want: rollout.RolledBack, changed: true},
		"a restored store without eras":     {known: in(found("v2", 0, 5, 0), rollout.RolledBack, 8), found: found("v2", 0, 5, rollout.Trial), want: rollout.RolledBack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var known rollout.State
			if test.known != nil {
				known = *test.known
			}
			next, changed := rollout.Merge(known, test.known != nil, test.found, now)
			qt.Check(t, changed, qt.Equals, test.changed)
			if !changed {
				qt.Check(t, next, qt.DeepEquals, known)
			}
			qt.Check(t, next.Phase, qt.Equals, test.want)
			if changed && test.known != nil {
				oldEra, oldRank := known.Rank()
				era, rank := next.Rank()
				qt.Check(t, era > oldEra || era == oldEra && rank > oldRank, qt.IsTrue, qt.Commentf("it has to replace the known state"))
			}
			decoded, err := rollout.Decode(next.Encode())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, decoded.Order, qt.DeepEquals, next.Order)
		})
	}
}

// TestExposure checks that the phases before the last keep to the bound on all requests of an order, and
// leave enough of it for a fault to be found in the last phase.
func TestExposure(t *testing.T) {
	for _, e := range []rollout.Exposure{0.02, 0.1, 0.3} {
		spent := 0.4*e.Share(rollout.Trial) + 0.1*e.Share(rollout.Widened)
		qt.Check(t, spent <= 0.4*float64(e), qt.IsTrue)
		for _, n := range []int{0, 1, 2, 10, 68, 739} {
			last := 0
			for p := rollout.Trial; p <= rollout.Emptied; p++ {
				in := e.UpstreamCount(p, n)
				qt.Check(t, in >= last && in <= n, qt.IsTrue)
				last = in
			}
			qt.Check(t, last, qt.Equals, n)
			qt.Check(t, e.UpstreamCount(rollout.Stopped, n)+e.UpstreamCount(rollout.RolledBack, n), qt.Equals, 0)
		}
	}
}
