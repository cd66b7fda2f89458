// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package reconcile

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/gossip"
	"sassafrasfront.example/peer"
)

const (
	// maxGroups and maxLeaves bound the work of one comparison. The remaining differences
	// are found by the next one.
	maxGroups = 16
	maxLeaves = 128
	// fewRecords is the number of records below which a node has almost none of the records of
	// other nodes, as when it starts. It then fetches all records of a peer in batches.
	fewRecords = 16
	// bulkRecords is the target number of records in a batch.
	bulkRecords = 500
	// maxDigests is the number of records up to which sets are compared by the digests of
	// the records in the groups that differ. There are then fewer records than leaves, so a
	// digest of each record costs less than the hashes of all leaves, and one round trip
	// finds all differences.
	maxDigests = gossip.LeafCount
)

// Exchange is a set of records that is reconciled with those of other nodes. Its methods must be
// called on the goroutine that owns the state, except for Reconcile. The exported functions must
// be set before the first call.
type Exchange[R gossip.Record] struct {
	// Topic is the prefix of the topics of its messages.
	Topic string
	// Accept returns whether a record may be stored.
	Accept func(R) bool
	// Private, if not nil, returns whether a record is not sent to other nodes: its owner transfers it in another
	// way. Such records count in comparisons.
	Private func(R) bool
	// Changed is called with each new record and the record that it replaces, if any.
	Changed func(old, r R)
	// Do runs a function on the goroutine that owns the state, and waits for it. It
	// returns false if that goroutine has ended.
	Do func(f func()) bool
	// Set holds the records.
	Set gossip.Set[R]
	// Outbox holds the changes to push, by key. The owner removes those that it has pushed.
	Outbox map[string]R
}

// Put stores a record if it is new, and adds it to the Outbox.
func (e *Exchange[R]) Put(r R) {
	if !e.Accept(r) {
		return
	}
	old, _ := e.Set.Get(r.Key())
	if !e.Set.Put(r) {
		return
	}
	if e.Outbox == nil {
		e.Outbox = make(map[string]R)
	}
	e.Outbox[r.Key()] = r
	e.Changed(old, r)
}

// PutAll stores records as Put does.
func (e *Exchange[R]) PutAll(list []R) {
	for _, r := range list {
		e.Put(r)
	}
}

// The messages of a comparison. A request describes the records of the sender, and the
// reply those of the receiver.
type (
	// leafQuery requests the hashes of a group's leaves.
	leafQuery struct {
		Group int `msgpack:"group"`
	}
	// hashes holds the hashes of groups or leaves.
	hashes struct {
		Hashes []uint64 `msgpack:"hashes"`
	}
	// versionsQuery has the sender's versions in some leaves.
	versionsQuery struct {
		Leaves map[int]map[string]gossip.Version `msgpack:"leaves"`
	}
	// versionsReply has the records that are newer on the receiver, and the
	// keys of those that are newer on the sender.
	versionsReply[R gossip.Record] struct {
		Newer  []R      `msgpack:"newer"`
		Wanted []string `msgpack:"wanted"`
	}
	// bulkQuery requests the records from a leaf on.
	bulkQuery struct {
		From int `msgpack:"from"`
	}
	// bulkReply has a batch of them, and the leaf to continue from.
	bulkReply[R gossip.Record] struct {
		Records []R `msgpack:"records"`
		Next    int `msgpack:"next"`
	}
	// Records are sent unsolicited, or because the receiver lacks them.
	Records[R gossip.Record] struct {
		Records []R `msgpack:"records"`
	}
)

// The suffixes of the topics.
const (
	groupsSuffix   = ".groups"
	leavesSuffix   = ".leaves"
	versionsSuffix = ".versions"
	bulkSuffix     = ".bulk"
	digestsSuffix  = ".digests"
	// RecordsSuffix is the suffix of the topic of Records.
	RecordsSuffix = ".records"
)

// Handle handles a request of a peer's comparison. The second result is false
// if the topic is not one of the Exchange's.
func (e *Exchange[R]) Handle(topic string, payload []byte) (reply any, ok bool, err error) {
	switch topic {
	case e.Topic + groupsSuffix:
		return hashes{Hashes: e.Set.GroupHashes()}, true, nil
	case e.Topic + leavesSuffix:
		q, err := peer.Unpack[leafQuery](payload)
		if err != nil || q.Group < 0 || q.Group >= gossip.GroupCount {
			return nil, true, eris.Errorf("invalid group: %v", err)
		}
		return hashes{Hashes: e.Set.LeafHashes(q.Group)}, true, nil
	case e.Topic + versionsSuffix:
		q, err := peer.Unpack[versionsQuery](payload)
		if err != nil {
			return nil, true, err
		}
		return e.versions(q), true, nil
	case e.Topic + digestsSuffix:
		q, err := peer.Unpack[digestQuery](payload)
		if err != nil || !validGroups(q.Groups) {
			return nil, true, eris.Errorf("invalid digest query: %v", err)
		}
		return e.replyToDigests(q), true, nil
	case e.Topic + bulkSuffix:
		q, err := peer.Unpack[bulkQuery](payload)
		if err != nil || q.From < 0 {
			return nil, true, eris.Errorf("invalid leaf: %v", err)
		}
		list, next := e.scan(q.From)
		return bulkReply[R]{Records: list, Next: next}, true, nil
	case e.Topic + RecordsSuffix:
		m, err := peer.Unpack[Records[R]](payload)
		if err != nil {
			return nil, true, err
		}
		e.PutAll(m.Records)
		return nil, true, nil
	}
	return nil, false, nil
}

// versions handles a versionsQuery.
func (e *Exchange[R]) versions(q versionsQuery) versionsReply[R] {
	var reply versionsReply[R]
	for leaf, theirs := range q.Leaves {
		if leaf < 0 || leaf >= gossip.LeafCount {
			continue
		}
		reply.Newer = append(reply.Newer, e.Set.Newer(leaf, theirs)...)
		own := e.Set.Versions(leaf)
		for key, v := range theirs {
			if w, ok := own[key]; !ok || w.Less(v) {
				reply.Wanted = append(reply.Wanted, key)
			}
		}
	}
	reply.Newer = e.batch(reply.Newer)
	return reply
}

// Get returns the records with the given keys.
func (e *Exchange[R]) Get(keys []string) []R {
	var list []R
	for _, key := range keys {
		if r, ok := e.Set.Get(key); ok {
			list = append(list, r)
		}
	}
	return list
}

// Reconcile makes one round of reconciliation with a peer's set. It must not be called on the
// goroutine that owns the state.
func (e *Exchange[R]) Reconcile(ctx context.Context, p *peer.Client) error {
	var own []uint64
	var size int
	e.Do(func() {
		own = e.Set.GroupHashes()
		size = e.Set.Len()
	})
	theirs, err := peer.SendRequest[struct{}, hashes](ctx, p, e.Topic+groupsSuffix, struct{}{})
	if err != nil {
		return err
	}
	groups := gossip.Differing(own, theirs.Hashes)
	switch {
	case len(groups) == 0:
		return nil
	case size < fewRecords:
		return e.fetchAll(ctx, p)
	case size <= maxDigests:
		return e.reconcileGroups(ctx, p, groups)
	}
	leaves, err := e.differingLeaves(ctx, p, groups)
	if err != nil || len(leaves) == 0 {
		return err
	}
	q := versionsQuery{Leaves: make(map[int]map[string]gossip.Version, len(leaves))}
	e.Do(func() {
		for _, leaf := range leaves {
			q.Leaves[leaf] = e.Set.Versions(leaf)
		}
	})
	reply, err := peer.SendRequest[versionsQuery, versionsReply[R]](ctx, p, e.Topic+versionsSuffix, q)
	if err != nil {
		return err
	}
	var wanted []R
	e.Do(func() {
		e.PutAll(reply.Newer)
		wanted = e.Get(reply.Wanted)
	})
	return e.send(ctx, p, wanted)
}

// differingLeaves returns leaves in which the set and a peer's differ.
func (e *Exchange[R]) differingLeaves(ctx context.Context, p *peer.Client, groups []int) ([]int, error) {
	var leaves []int
	for _, g := range groups[:min(len(groups), maxGroups)] {
		theirs, err := peer.SendRequest[leafQuery, hashes](ctx, p, e.Topic+leavesSuffix, leafQuery{Group: g})
		if err != nil {
			return nil, err
		}
		var own []uint64
		e.Do(func() { own = e.Set.LeafHashes(g) })
		for _, l := range gossip.Differing(own, theirs.Hashes) {
			leaves = append(leaves, g*gossip.GroupCount+l)
		}
	}
	return leaves[:min(len(leaves), maxLeaves)], nil
}

// fetchAll fetches all records of a peer, for a node with few records, and sends the node's
// own records if they fit into one batch.
func (e *Exchange[R]) fetchAll(ctx context.Context, p *peer.Client) error {
	var own []R
	e.Do(func() {
		if e.Set.Len() <= bulkRecords {
			own, _ = e.Set.Scan(0, bulkRecords)
		}
	})
	for from := 0; from < gossip.LeafCount; {
		reply, err := peer.SendRequest[bulkQuery, bulkReply[R]](ctx, p, e.Topic+bulkSuffix, bulkQuery{From: from})
		if err != nil {
			return err
		}
		if reply.Next <= from {
			return eris.Errorf("peer continues at leaf %d after leaf %d", reply.Next, from)
		}
		e.Do(func() { e.PutAll(reply.Records) })
		from = reply.Next
	}
	return e.send(ctx, p, own)
}

// send sends records to a peer, in batches.
func (e *Exchange[R]) send(ctx context.Context, p *peer.Client, list []R) error {
	list = e.public(list)
	for len(list) > 0 {
		n := batchLen(list)
		payload, err := msgpack.Marshal(Records[R]{Records: list[:n]})
		if err != nil {
			return eris.Wrap(err, "encode records")
		}
		if _, err := p.Request(ctx, e.Topic+RecordsSuffix, payload); err != nil {
			return err
		}
		list = list[n:]
	}
	return nil
}
