// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetInZone and subsetOutOfZone are the numbers of a service's members, in the node's own
	// availability zone and outside of it, that a node sends to as long as one of them suits the
	// request. If the zone has fewer members, the subset has more of the others. A subset of this
	// size nearly always has a member that is neither slow nor full: if a quarter of the upstreams
	// are slow, all eight are slow once in 65,000 times. The numbers of connections and of load
	// reports then grow with the number of nodes and not with its square, and few cross zones.
	subsetInZone    = 6
	subsetOutOfZone = 2
)

// subset returns the ids of the members that a node sends to. Each node draws its
// own subset by rendezvous hashing, so that all members are in about the same
// number of subsets and few subsets change when a member joins or leaves. The
// member beside the node is always included.
func subset(node, zone string, members []Member) map[string]bool {
	in := make(map[string]bool, subsetInZone+subsetOutOfZone+1)
	if len(members) <= subsetInZone+subsetOutOfZone {
		for _, m := range members {
			in[m.ID] = true
		}
		return in
	}
	nodeHash := xxhash.Sum64String(node)
	inZone, outOfZone := heaviest{limit: subsetInZone}, heaviest{limit: subsetInZone + subsetOutOfZone}
	zoneMembers := 0
	for i, m := range members {
		w := weightedMember{
			weight: mix64(nodeHash ^ xxhash.Sum64String(m.ID)),
			index:  i,
		}
		switch {
		case m.ID == node:
			in[node] = true
			if m.Zone == zone {
				zoneMembers++
			}
		case m.Zone == zone:
			zoneMembers++
			inZone.add(w)
		default:
			outOfZone.add(w)
		}
	}
	for _, w := range inZone.list[:min(len(inZone.list), subsetInZone-len(in))] {
		in[members[w.index].ID] = true
	}
	for _, w := range outOfZone.list[:min(len(outOfZone.list), subsetOutOfZone+max(0, subsetInZone-zoneMembers))] {
		in[members[w.index].ID] = true
	}
	return in
}

// weightedMember is a member, by its index in a list, and its weight for a node.
type weightedMember struct {
	weight uint64
	index  int
}

// heaviest keeps the heaviest of the members that are added, in descending order.
type heaviest struct {
	limit int
	list  []weightedMember
}

// add adds a member. Nearly all are lighter than the ones that are kept, and cost one comparison.
func (h *heaviest) add(w weightedMember) {
	if len(h.list) == h.limit && w.weight <= h.list[h.limit-1].weight {
		return
	}
	i, _ := slices.BinarySearchFunc(h.list, w, func(a, b weightedMember) int { return cmp.Compare(b.weight, a.weight) })
	h.list = slices.Insert(h.list, i, w)
	h.list = h.list[:min(len(h.list), h.limit)]
}

// mix64 returns a hash of x, so that the order of the members differs from node to node. See
// G. Steele, D. Lea and C. Flood, Fast splittable pseudorandom number generators, 2014.
// doi:10.1145/2660193.2660195.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
