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
	// digestQuery has the digests of the sender's records in some groups.
	digestQuery struct {
		Groups  []int    `msgpack:"groups"`
		Digests []uint64 `msgpack:"digests"`
	}
	// digestReply has the receiver's records in these groups that the sender does not have, and
	// the digests of the sender's records that the receiver does not have.
	digestReply[R gossip.Record] struct {
		Records []R      `msgpack:"records"`
		Unknown []uint64 `msgpack:"unknown"`
		// More is whether there are further such records.
		More bool `msgpack:"more,omitempty"`
	}
)

// validGroups returns whether the groups are in range and strictly increasing.
func validGroups(groups []int) bool {
	for i, g := range groups {
		if g < 0 || g >= gossip.GroupCount || i > 0 && g <= groups[i-1] {
			return false
		}
	}
	return true
}

// replyToDigests handles a digestQuery.
func (e *Exchange[R]) replyToDigests(q digestQuery) digestReply[R] {
	list, unknown := e.Set.DiffDigests(q.Groups, q.Digests)
	list = e.public(list)
	n := batchLen(list)
	return digestReply[R]{
		Records: list[:n],
		Unknown: unknown,
		More:    n < len(list),
	}
}

// reconcileGroups reconciles some groups of the set with a peer's. It transfers a
// digest for each record in these groups, and the records that differ: while many nodes
// start, all groups differ everywhere, each by a few records.
func (e *Exchange[R]) reconcileGroups(ctx context.Context, p *peer.Client, groups []int) error {
	slices.Sort(groups)
	for more := true; more; {
		q := digestQuery{Groups: groups}
		e.Do(func() { q.Digests = e.Set.Digests(groups) })
		reply, err := peer.SendRequest[digestQuery, digestReply[R]](ctx, p, e.Topic+digestsSuffix, q)
		if err != nil {
			return err
		}
		before, after := 0, 0
		var wanted []R
		e.Do(func() {
			before = e.Set.Len()
			e.PutAll(reply.Records)
			after = e.Set.Len()
			wanted = e.Set.WithDigests(groups, reply.Unknown) // those not replaced by newer ones meanwhile
		})
		more = reply.More && after > before
		if err := e.send(ctx, p, wanted); err != nil {
			return err
		}
	}
	return nil
}
