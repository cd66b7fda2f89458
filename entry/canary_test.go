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

// TestCanaryShare checks the share of the requests that may be sent to canaries, in a first attempt
// and in a retry.
func TestCanaryShare(t *testing.T) {
	const requests = 20000
	tests := map[string]struct {
		share float64
		retry bool
		first float64 // share of the requests that go to canaries first
		both  float64 // share of the requests that may go to both groups
	}{
		"none":               {share: 0},
		"small share":        {share: 0.03, first: 0.03, both: 0.03},
		"small share, retry": {share: 0.03, retry: true},
		"most":               {share: 0.8, first: 0.8, both: 1},
		"most, retry":        {share: 0.8, retry: true, first: 0.8, both: 1},
		"all":                {share: 1, first: 1, both: 1},
		"all, retry":         {share: 1, retry: true, first: 1, both: 1},
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

// TestCanarySubset checks that each node sends to a subset of the canaries, and to as many of the
// other members as without them.
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
