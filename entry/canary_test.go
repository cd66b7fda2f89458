// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

// TestTrialShare has a service with members on trial, and draws for many requests where they may
// go: at first, and again after a sending that was not served.
func TestCanaryShare(t *testing.T) {
	const requests = 20000
	tests := map[string]struct {
		share float64
		retry bool
		first float64 // share of the requests that go to those on trial first
		both  float64 // share of those that may go to either
	}{
		"none":                {share: 0},
		"on trial":            {share: 0.03, first: 0.03, both: 0.03},
		"on trial, again":     {share: 0.03, retry: true},
		"most":                {share: 0.8, first: 0.8, both: 1},
		"most, again":         {share: 0.8, retry: true, first: 0.8, both: 1},
		"all":                 {share: 1, first: 1, both: 1},
		"all, sent once more": {share: 1, retry: true, first: 1, both: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &service{
				Service:  &Service{CanaryShare: test.share},
				canaries: map[string]bool{"new": true},
			}
			var first, both float64
			for range requests {
				exclusions := s.exclusions(test.retry)
				if exclusions[0]("old") && !exclusions[0]("new") {
					first++
				}
				if len(exclusions) == 2 {
					both++
				}
			}
			near := func(got, want float64) bool { return math.Abs(got/requests-want) < 0.01 }
			qt.Check(t, near(first, test.first), qt.IsTrue, qt.Commentf("%f", first/requests))
			qt.Check(t, near(both, test.both), qt.IsTrue, qt.Commentf("%f", both/requests))
		})
	}
}

// TestTrialSubset has some of many members on trial: each node sends to its subset of these, and
// to as many of the others as without them.
func TestCanarySubset(t *testing.T) {
	list := members(200)
	for i := range 20 {
		list[10*i].Canary = true
	}
	d := &Dispatcher{Hello: peer.Hello{Node: "n", Zone: "z0"}}
	s := d.buildService(nil, &Service{Name: "s", Members: list})
	count := make(map[bool]int)
	for _, m := range s.subset {
		count[m.Canary]++
	}
	qt.Check(t, count, qt.DeepEquals, map[bool]int{true: subsetInZone + subsetOutOfZone, false: subsetInZone + subsetOutOfZone}, qt.Commentf(fmt.Sprint(s.subset)))
}
