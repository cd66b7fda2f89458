// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package reconcile

import (
	"context"
	"slices"

	"sassafrasfront.example/gossip"
	"sassafrasfront.example/peer"
)

// The messages of a comparison by digests.
type (
	// digestQuery tells which records the sender has in some groups, each by its digest.
	digestQuery struct {
		Groups  []int    `msgpack:"groups"`
		Digests []uint64 `msgpack:"digests"`
	}
	// digestReply has records of these groups that the sender of the query has not, and the
	// digests of those that the receiver has not.
	digestReply[R gossip.Record] struct {
		Records []R      `msgpack:"records"`
		Unknown []uint64 `msgpack:"unknown"`
		// More is whether there are more such records.
		More bool `msgpack:"more,omitempty"`
	}
)

// validGroups returns whether groups are some of a set's, each once.
func validGroups(groups []int) bool {
	for i, g := range groups {
		if g < 0 || g >= gossip.GroupCount || i > 0 && g <= groups[i-1] {
			return false
		}
	}
	return true
}

// beyond answers a digestQuery.
func (e *Exchange[R]) replyToDigests(q digestQuery) digestReply[R] {
	list, unknown := e.Set.DiffDigests(q.Groups, q.Digests)
	n := min(len(list), bulkRecords)
	return digestReply[R]{
		Records: list[:n],
		Unknown: unknown,
		More:    n < len(list),
	}
}

// withDigests makes some groups of the set and a peer's the same. What crosses is a
// digest for each record in these groups, and the records that differ: while everybody
// starts all groups differ everywhere, each by a few records.
func (e *Exchange[R]) reconcileGroups(ctx context.Context, p *peer.Client, groups []int) error {
	slices.Sort(groups)
	for more := true; more; {
		q := digestQuery{Groups: groups}
		e.Do(func() { q.Digests = e.Set.Digests(groups) })
		reply, err := peer.Ask[digestQuery, digestReply[R]](ctx, p, e.Topic+digestsSuffix, q)
		if err != nil {
			return err
		}
		before, after := 0, 0
		var wanted []R
		e.Do(func() {
			before = e.Set.Len()
			e.PutAll(reply.Records)
			after = e.Set.Len()
			wanted = e.Set.WithDigests(groups, reply.Unknown) // unless newer ones have come just now
		})
		more = reply.More && after > before
		if len(wanted) > 0 {
			if err := send(ctx, p, e.Topic, wanted); err != nil {
				return err
			}
		}
	}
	return nil
}
