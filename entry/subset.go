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
	// subsetNear and subsetFar are the numbers of a service's members, in the node's own
	// availability zone and elsewhere, that a node sends to as long as one of them is
	// good enough for the request; where the zone has fewer, there are more of the
	// others. Among so many there is nearly always one that is neither slow nor full:
	// with a quarter of the upstreams slow, all of eight are once in 65,000 times. The
	// connections, and the messages by which upstreams tell of their speed, then grow
	// with the number of nodes and not with its square, and few cross zones.
	subsetNear = 6
	subsetFar  = 2
)

// subset returns the ids of the members that a node sends to. Each node has a
// subset of its own, drawn by rendezvous hashing, so that all members are in
// about the same number of subsets and few change when a member comes or goes.
// The member beside the node is always in it.
func subset(node, zone string, members []Member) map[string]bool {
	in := make(map[string]bool, subsetNear+subsetFar+1)
	if len(members) <= subsetNear+subsetFar {
		for _, m := range members {
			in[m.ID] = true
		}
		return in
	}
	own := xxhash.Sum64String(node)
	near, far := ranked{most: subsetNear}, ranked{most: subsetNear + subsetFar}
	here := 0
	for i, m := range members {
		w := weighed{
			weight: mixed(own ^ xxhash.Sum64String(m.ID)),
			index:  i,
		}
		switch {
		case m.ID == node:
			in[node] = true
			if m.Zone == zone {
				here++
			}
		case m.Zone == zone:
			here++
			near.add(w)
		default:
			far.add(w)
		}
	}
	for _, w := range near.list[:min(len(near.list), subsetNear-len(in))] {
		in[members[w.index].ID] = true
	}
	for _, w := range far.list[:min(len(far.list), subsetFar+max(0, subsetNear-here))] {
		in[members[w.index].ID] = true
	}
	return in
}

// weighed is a member by its place in a list, with its weight for a node.
type weighed struct {
	weight uint64
	index  int
}

// ranked keeps the heaviest of the members that are added, the heaviest first.
type ranked struct {
	most int
	list []weighed
}

// add adds a member. Nearly all are lighter than those that are kept, and cost one comparison.
func (r *ranked) add(w weighed) {
	if len(r.list) == r.most && w.weight <= r.list[r.most-1].weight {
		return
	}
	i, _ := slices.BinarySearchFunc(r.list, w, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	r.list = slices.Insert(r.list, i, w)
	r.list = r.list[:min(len(r.list), r.most)]
}

// mixed returns a hash of x, so that the order of the members differs from node to node. See
// G. Steele, D. Lea and C. Flood, Fast splittable pseudorandom number generators, 2014.
// doi:10.1145/2660193.2660195.
func mixed(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
