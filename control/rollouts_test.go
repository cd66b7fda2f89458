// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/rollout"
)

// TestCanaryMembers has a service with ten upstreams each of two versions, which their own nodes
// mark as canaries or not, on a node that has received an order or not.
func TestCanaryMembers(t *testing.T) {
	order := func(version string, p rollout.Phase) *rollout.State {
		s := rollout.State{Order: rollout.Order{Service: "s", Version: version, Duration: time.Second, ResourceVersion: objectapi.ResourceVersion{Revision: 5}}}
		s = s.WithPhase(p, "", "n", time.Now())
		return &s
	}
	tests := map[string]struct {
		known    *rollout.State
		flagged  bool // whether the nodes of v2 mark it as a canary
		ordinary int
		canaries int
		share    float64
	}{
		"no order":                              {ordinary: 20},
		"an order that was not received":        {flagged: true, ordinary: 10, canaries: 3, share: 0.03},
		"canary":                                {known: order("v2", rollout.Trial), flagged: true, ordinary: 10, canaries: 3, share: 0.03},
		"canary, unknown to its own nodes":      {known: order("v2", rollout.Trial), ordinary: 10, canaries: 3, share: 0.03},
		"widened":                               {known: order("v2", rollout.Widened), flagged: true, ordinary: 10, canaries: 3, share: 0.175},
		"moved":                                 {known: order("v2", rollout.Moved), flagged: true, ordinary: 10, canaries: 5, share: 0.5},
		"emptied":                               {known: order("v2", rollout.Emptied), flagged: true, ordinary: 10, canaries: 10, share: 1},
		"stopped":                               {known: order("v2", rollout.Stopped), flagged: true, ordinary: 10},
		"rolled back":                           {known: order("v2", rollout.RolledBack), ordinary: 10},
		"completed just now":                    {known: order("v2", rollout.Completed), ordinary: 10, canaries: 10, share: 1},
		"another order, the last one completed": {known: order("v1", rollout.Completed), flagged: true, ordinary: 10, canaries: 3, share: 0.03},
		"another order, the last one rolled back": {known: order("v0", rollout.RolledBack), flagged: true, ordinary: 10, canaries: 3, share: 0.03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := sized(6)
			c.Exposure = 0.1
			for i := range 20 {
				r := recordOf(100+i, 120, 1)
				r.Service, r.Software = "s", "v1"
				if i >= 10 {
					r.Software, r.Canary = "v2", test.flagged
				}
				c.members.Put(r)
			}
			if test.known != nil {
				c.configs.Put(acceptance.FromRollout(*test.known))
			}
			s := c.withMembers("s", operator.Service{})
			canaries := 0
			for _, m := range s.Members {
				if m.Canary {
					canaries++
				}
			}
			qt.Check(t, canaries, qt.Equals, test.canaries)
			qt.Check(t, len(s.Members)-canaries, qt.Equals, test.ordinary)
			qt.Check(t, s.CanaryShare > test.share-1e-9 && s.CanaryShare < test.share+1e-9, qt.IsTrue, qt.Commentf("%f", s.CanaryShare))
		})
	}
}

// TestPreferenceEnds checks that a completed version is preferred for a limited time only.
func TestPreferenceEnds(t *testing.T) {
	c := sized(6)
	c.Exposure = 0.1
	r := recordOf(100, 120, 1)
	r.Service, r.Software = "s", "v2"
	c.members.Put(r)
	s := rollout.State{Order: rollout.Order{Service: "s", Version: "v2"}}
	c.configs.Put(acceptance.FromRollout(s.WithPhase(rollout.Completed, "", "n", time.Now())))
	qt.Check(t, c.withMembers("s", operator.Service{}).CanaryShare, qt.Equals, 1.0)
	c.endPreferences(time.Now().Add(preferencePeriod))
	qt.Check(t, c.withMembers("s", operator.Service{}).CanaryShare, qt.Equals, 0.0)
}
