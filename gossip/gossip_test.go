// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gossip_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sassafrasfront.example/gossip"
)

type record struct {
	key     string
	version gossip.Version
}

func (r record) Key() string                   { return r.key }
func (r record) GossipVersion() gossip.Version { return r.version }

type set = gossip.Set[record]

// exchange reconciles a and b, as two nodes do.
func exchange(a, b *set) (moved int) {
	if a.RootHash() == b.RootHash() {
		return 0
	}
	for _, g := range gossip.Differing(a.GroupHashes(), b.GroupHashes()) {
		for _, l := range gossip.Differing(a.LeafHashes(g), b.LeafHashes(g)) {
			leaf := g*gossip.GroupCount + l
			for _, r := range b.Newer(leaf, a.Versions(leaf)) {
				a.Put(r)
				moved++
			}
			for _, r := range a.Newer(leaf, b.Versions(leaf)) {
				b.Put(r)
				moved++
			}
		}
	}
	return moved
}

// TestSetsConverge applies random deliveries, duplicates and losses to three sets. After each
// step no version may have decreased, and in the end exchanges must make the sets
// equal.
func TestSetsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := []*set{{}, {}, {}}
		newest := make(map[string]gossip.Version)
		seen := make([]map[string]gossip.Version, len(sets))
		for i := range seen {
			seen[i] = make(map[string]gossip.Version)
		}
		keys := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		indexes := rapid.IntRange(0, len(sets)-1)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				v := newest[k]
				if rapid.Bool().Draw(t, "restart") {
					v = gossip.Version{Major: v.Major + 1}
				} else {
					v.Minor++
				}
				newest[k] = v
				sets[indexes.Draw(t, "at")].Put(record{k, v})
			},
			"deliver old": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				v := newest[k]
				if v.Minor > 0 {
					v.Minor--
					sets[indexes.Draw(t, "at")].Put(record{k, v})
				}
			},
			"exchange": func(t *rapid.T) {
				exchange(sets[indexes.Draw(t, "a")], sets[indexes.Draw(t, "b")])
			},
			"lose all": func(t *rapid.T) {
				i := indexes.Draw(t, "at")
				sets[i] = &set{}
				clear(seen[i])
			},
			"": func(t *rapid.T) {
				for i, s := range sets {
					for r := range s.All {
						if r.version.Less(seen[i][r.key]) {
							t.Fatalf("set %d went back to %v", i, r)
						}
						seen[i][r.key] = r.version
					}
				}
			},
		})
		for range 2 {
			exchange(sets[0], sets[1])
			exchange(sets[1], sets[2])
		}
		for i, s := range sets {
			if s.RootHash() != sets[0].RootHash() || s.Len() != sets[0].Len() {
				t.Fatalf("set %d differs", i)
			}
		}
	})
}

func TestRemoveUndoesPut(t *testing.T) {
	var s set
	s.Put(record{"a", gossip.Version{Major: 1}})
	before := s.RootHash()
	s.Put(record{"b", gossip.Version{Major: 1}})
	s.Remove("b")
	s.Remove("none")
	qt.Check(t, s.RootHash(), qt.Equals, before)
	qt.Check(t, s.Len(), qt.Equals, 1)
}

func TestScanReturnsAllRecords(t *testing.T) {
	var s set
	for i := range 1000 {
		s.Put(record{fmt.Sprint(i), gossip.Version{Major: 1}})
	}
	got := make(map[string]bool)
	for leaf := 0; leaf < gossip.LeafCount; {
		var list []record
		list, leaf = s.Scan(leaf, 100)
		for _, r := range list {
			got[r.key] = true
		}
	}
	qt.Check(t, len(got), qt.Equals, 1000)
}

func BenchmarkPut(b *testing.B) {
	for _, n := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s set
			keys := make([]string, n)
			for i := range n {
				keys[i] = fmt.Sprint("node-", i)
				s.Put(record{keys[i], gossip.Version{Major: 1}})
			}
			b.ReportAllocs()
			var v uint64
			for b.Loop() {
				v++
				s.Put(record{keys[v%uint64(n)], gossip.Version{Major: 1, Minor: v}})
			}
		})
	}
}

// BenchmarkExchange reconciles two sets of the given size that differ in
// eight records.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s, o set
			for i := range n {
				r := record{fmt.Sprint("node-", i), gossip.Version{Major: 1}}
				s.Put(r)
				o.Put(r)
			}
			var v uint64
			for b.Loop() {
				v++
				for i := range 8 {
					s.Put(record{fmt.Sprint("node-", i*n/8), gossip.Version{Major: 1, Minor: v}})
				}
				if exchange(&s, &o) != 8 {
					b.Fatal("not eight")
				}
			}
		})
	}
}
