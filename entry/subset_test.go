// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/peer"
)

func members(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4)}
	}
	return list
}

func TestSubset(t *testing.T) {
	tests := map[string]struct {
		members int
		want    int
	}{
		"few":  {8, 8},
		"many": {60, subsetInZone + subsetOutOfZone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := members(test.members)
			got := subset("m0", "z0", list)
			qt.Check(t, got["m0"], qt.IsTrue)
			qt.Check(t, len(got) >= test.want && len(got) <= test.want+1, qt.IsTrue, qt.Commentf("%d", len(got)))
		})
	}
}

// TestSubsetsAreEven checks that each member is in a third to twice as many of all nodes' subsets
// as the mean.
func TestSubsetsAreEven(t *testing.T) {
	list := members(60)
	count := make(map[string]int)
	for _, m := range list {
		for id := range subset(m.ID, m.Zone, list) {
			count[id]++
		}
	}
	const mean = subsetInZone + subsetOutOfZone
	for _, m := range list {
		qt.Check(t, 3*count[m.ID] >= mean && count[m.ID] <= 2*mean, qt.IsTrue, qt.Commentf("%s is in %d", m.ID, count[m.ID]))
	}
}

// TestSubsetChangesLittle checks that a subset loses at most one member when a member leaves.
func TestSubsetChangesLittle(t *testing.T) {
	list := members(60)
	before := subset("m0", "z0", list)
	after := subset("m0", "z0", list[:59])
	var lost int
	for id := range before {
		if !after[id] {
			lost++
		}
	}
	qt.Check(t, lost <= 1, qt.IsTrue)
}

// TestSubsetOfSmallZone checks that a node in a zone with few members sends to more members of
// other zones.
func TestSubsetOfSmallZone(t *testing.T) {
	for name, near := range map[string]int{"none": 0, "two": 2, "as many as are needed": subsetInZone} {
		t.Run(name, func(t *testing.T) {
			list := members(60)
			for i := range list {
				list[i].Zone = "far"
				if i < near {
					list[i].Zone = "near"
				}
			}
			got := subset("n", "near", list)
			qt.Check(t, len(got), qt.Equals, subsetInZone+subsetOutOfZone)
			for _, m := range list[:near] {
				qt.Check(t, got[m.ID], qt.IsTrue)
			}
		})
	}
}

// BenchmarkBuildService measures an update that changes one member of a service.
func BenchmarkBuildService(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := &Dispatcher{Hello: peer.Hello{Node: "m0", Zone: "z0"}}
			list := members(n)
			for b.Loop() {
				s := &Service{Name: "s", Members: slices.Clone(list)}
				d.services.Store(&map[string]*service{"s": d.buildService(d.currentServices()["s"], s)})
			}
		})
	}
}
