// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package representative

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/operator"
)

// TestMergeStatus has two representatives write the status of a service in either order: the later
// intent determines phase and errors, and each zone its own counts.
func TestMergeStatus(t *testing.T) {
	accepted := operator.ServiceStatus{
		Phase:           operator.PhaseAccepted,
		ObservedVersion: "8",
		Sequence:        4,
		Zones:           map[string]operator.ZoneStatus{"z1": {Sequence: 4, Queried: 3, UpToDate: 2}},
	}
	zone2 := accepted
	zone2.Zones = map[string]operator.ZoneStatus{"z2": {Sequence: 4, Queried: 1, UpToDate: 1}}
	refused := operator.ServiceStatus{
		Phase:           operator.PhaseRefused,
		ObservedVersion: "9",
		Errors:          operator.FieldErrors{{Field: "hosts[0]", Message: "taken"}},
	}
	further := accepted
	further.Zones = map[string]operator.ZoneStatus{"z1": {Sequence: 4, Queried: 3, UpToDate: 3}}
	tests := map[string]struct {
		old, next operator.ServiceStatus
		changed   bool
		phase     operator.Phase
		sequence  uint64
		having    map[string]int
	}{
		"the same again":                    {old: accepted, next: accepted, phase: operator.PhaseAccepted, sequence: 4, having: map[string]int{"z1": 2}},
		"another zone":                      {old: accepted, next: zone2, changed: true, phase: operator.PhaseAccepted, sequence: 4, having: map[string]int{"z1": 2, "z2": 1}},
		"more nodes of the zone":            {old: accepted, next: further, changed: true, phase: operator.PhaseAccepted, sequence: 4, having: map[string]int{"z1": 3}},
		"a later refusal":                   {old: accepted, next: refused, changed: true, phase: operator.PhaseRefused, sequence: 4, having: map[string]int{"z1": 2}},
		"an earlier intent after a refusal": {old: refused, next: accepted, changed: true, phase: operator.PhaseRefused, sequence: 4, having: map[string]int{"z1": 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, changed := mergeStatus(test.old, test.next)
			qt.Check(t, changed, qt.Equals, test.changed)
			qt.Check(t, got.Phase, qt.Equals, test.phase)
			qt.Check(t, got.Sequence, qt.Equals, test.sequence)
			having := make(map[string]int)
			for zone, z := range got.Zones {
				having[zone] = z.UpToDate
			}
			qt.Check(t, having, qt.DeepEquals, test.having)
		})
	}
}
