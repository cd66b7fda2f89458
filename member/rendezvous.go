// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package member

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RendezvousOrder returns the ids in the order of rendezvous hashing for the given
// subject. Every node with the same ids computes the same order, different
// subjects have different orders, and adding or removing an id does not change the
// order of the others. See D. Thaler and C. Ravishankar, Using name-based mappings to
// increase hit rates, 1998. doi:10.1109/90.663936.
func RendezvousOrder(subject string, ids []string) []string {
	weight := make(map[string]uint64, len(ids))
	for _, id := range ids {
		weight[id] = weightOf(subject, id)
	}
	list := append([]string(nil), ids...)
	sort.Slice(list, func(i, j int) bool {
		a, b := weight[list[i]], weight[list[j]]
		return a > b || a == b && list[i] < list[j]
	})
	return list
}

// weightOf returns the weight of an id for a subject. The id with the highest weight comes first.
func weightOf(subject, id string) uint64 { return xxhash.Sum64String(subject + "\x00" + id) }

// RendezvousRank returns the index of id in the order for a subject, without
// sorting. For an id that is not among the ids it returns the index that it would have.
func RendezvousRank(subject, id string, ids []string) int {
	own := weightOf(subject, id)
	var rank int
	for _, other := range ids {
		w := weightOf(subject, other)
		if w > own || w == own && other < id {
			rank++
		}
	}
	return rank
}

// RendezvousTop returns the first n ids in the order for a subject, without sorting.
func RendezvousTop(subject string, ids []string, n int) []string {
	type weighed struct {
		id     string
		weight uint64
	}
	var first []weighed
	for _, id := range ids {
		w := weighed{
			id:     id,
			weight: weightOf(subject, id),
		}
		place := sort.Search(len(first), func(i int) bool {
			return first[i].weight < w.weight || first[i].weight == w.weight && first[i].id > w.id
		})
		if place < n {
			first = slices.Insert(first, place, w)
			first = first[:min(len(first), n)]
		}
	}
	list := make([]string, 0, len(first))
	for _, w := range first {
		list = append(list, w.id)
	}
	return list
}
