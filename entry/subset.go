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
	in := make(map[string]bool, len(members))
	if len(members) <= subsetNear+subsetFar {
		for _, m := range members {
			in[m.ID] = true
		}
		return in
	}
	ranked := slices.Clone(members)
	weight := make(map[string]uint64, len(members))
	for _, m := range members {
		weight[m.ID] = xxhash.Sum64String(node + "\x00" + m.ID)
	}
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(weight[b.ID], weight[a.ID]) })
	near, far := subsetNear, subsetFar
	here := 0
	for _, m := range members {
		if m.Zone == zone {
			here++
		}
	}
	far += max(0, near-here)
	for _, m := range ranked {
		left := &far
		if m.Zone == zone {
			left = &near
		}
		if *left > 0 || m.ID == node {
			*left--
			in[m.ID] = true
		}
	}
	return in
}
