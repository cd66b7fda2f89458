// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/gossip"
	"sassafrasfront.example/peer"
)

const (
	// maxGroups and maxLeaves bound what one comparison goes into. What is left
	// is found by the next one.
	maxGroups = 16
	maxLeaves = 128
	// fewRecords is the number of records below which a node has nearly none of what
	// others have, as at its start. It fetches all of a peer's, in turn.
	fewRecords = 16
	// bulkRecords is the number of records fetched at once.
	bulkRecords = 500
	// mostByDigest is the number of records up to which a comparison is by the digests of
	// the records in the groups that differ: they are then fewer than the leaves, so that a
	// digest of each record costs less than the hashes of all leaves, and one exchange
	// finds all that differs.
	mostByDigest = gossip.Leaves
)

// exchanger is a set of records with what is needed to keep it the same as
// other nodes'. The goroutine that owns the state calls its methods, but for
// reconcile.
type exchanger[R gossip.Record] struct {
	topic   string
	accept  func(R) bool
	changed func(old, r R)
	set     gossip.Set[R]
	outbox  map[string]R // changes to push, by key
}

// put takes in a record if it is new. It is then pushed on.
func (e *exchanger[R]) put(r R) {
	if !e.accept(r) {
		return
	}
	old, _ := e.set.Get(r.Key())
	if !e.set.Put(r) {
		return
	}
	if e.outbox == nil {
		e.outbox = make(map[string]R)
	}
	e.outbox[r.Key()] = r
	e.changed(old, r)
}

func (e *exchanger[R]) putAll(list []R) {
	for _, r := range list {
		e.put(r)
	}
}

// The messages of a comparison. A request names what the sender has, and the
// reply what the receiver has.
type (
	// leafQuery asks for the hashes of a group's leaves.
	leafQuery struct {
		Group int `msgpack:"group"`
	}
	// hashes are those of groups or leaves.
	hashes struct {
		Hashes []uint64 `msgpack:"hashes"`
	}
	// versionsQuery tells the sender's versions in some leaves.
	versionsQuery struct {
		Leaves map[int]map[string]gossip.Version `msgpack:"leaves"`
	}
	// versionsReply has the records that are newer at the receiver, and the
	// keys of those that are newer at the sender.
	versionsReply[R gossip.Record] struct {
		Newer  []R      `msgpack:"newer"`
		Wanted []string `msgpack:"wanted"`
	}
	// bulkQuery asks for all records from a leaf on.
	bulkQuery struct {
		From int `msgpack:"from"`
	}
	// bulkReply has some of them, and the leaf to go on from.
	bulkReply[R gossip.Record] struct {
		Records []R `msgpack:"records"`
		Next    int `msgpack:"next"`
	}
	// records are sent unasked, or because they were wanted.
	records[R gossip.Record] struct {
		Records []R `msgpack:"records"`
	}
)

// The last parts of the topics.
const (
	askGroups   = ".groups"
	askLeaves   = ".leaves"
	askVersions = ".versions"
	askBulk     = ".bulk"
	askDigests  = ".digests"
	tellRecords = ".records"
)

// handle answers a request of a peer's comparison. The second result is false
// if the topic is not the exchanger's.
func (e *exchanger[R]) handle(topic string, payload []byte) (reply any, ok bool, err error) {
	switch topic {
	case e.topic + askGroups:
		return hashes{Hashes: e.set.Group()}, true, nil
	case e.topic + askLeaves:
		q, err := unpack[leafQuery](payload)
		if err != nil || q.Group < 0 || q.Group >= gossip.Groups {
			return nil, true, eris.Errorf("bad group: %v", err)
		}
		return hashes{Hashes: e.set.Leaf(q.Group)}, true, nil
	case e.topic + askVersions:
		q, err := unpack[versionsQuery](payload)
		if err != nil {
			return nil, true, err
		}
		return e.versions(q), true, nil
	case e.topic + askDigests:
		q, err := unpack[digestQuery](payload)
		if err != nil || !validGroups(q.Groups) {
			return nil, true, eris.Errorf("bad digests: %v", err)
		}
		return e.beyond(q), true, nil
	case e.topic + askBulk:
		q, err := unpack[bulkQuery](payload)
		if err != nil || q.From < 0 {
			return nil, true, eris.Errorf("bad leaf: %v", err)
		}
		list, next := e.set.From(q.From, bulkRecords)
		return bulkReply[R]{Records: list, Next: next}, true, nil
	case e.topic + tellRecords:
		m, err := unpack[records[R]](payload)
		if err != nil {
			return nil, true, err
		}
		e.putAll(m.Records)
		return nil, true, nil
	}
	return nil, false, nil
}

// versions compares the versions in some leaves with the ones held.
func (e *exchanger[R]) versions(q versionsQuery) versionsReply[R] {
	var reply versionsReply[R]
	for leaf, theirs := range q.Leaves {
		if leaf < 0 || leaf >= gossip.Leaves {
			continue
		}
		reply.Newer = append(reply.Newer, e.set.Newer(leaf, theirs)...)
		own := e.set.Versions(leaf)
		for key, v := range theirs {
			if w, ok := own[key]; !ok || w.Less(v) {
				reply.Wanted = append(reply.Wanted, key)
			}
		}
	}
	return reply
}

// get returns the records with the given keys.
func (e *exchanger[R]) get(keys []string) []R {
	var list []R
	for _, key := range keys {
		if r, ok := e.set.Get(key); ok {
			list = append(list, r)
		}
	}
	return list
}

// errStopped is the failure of what is asked for after the control goroutine
// has ended, when there is no client to ask with any more.
var errStopped = eris.New("control stopped")

// ask sends a request to a peer and decodes its reply.
func ask[Q, A any](ctx context.Context, p *peer.Client, topic string, q Q) (A, error) {
	var none A
	if p == nil {
		return none, errStopped
	}
	payload, err := msgpack.Marshal(q)
	if err != nil {
		return none, eris.Wrap(err, "encode "+topic)
	}
	reply, err := p.Request(ctx, topic, payload, false)
	if err != nil {
		return none, err
	}
	return unpack[A](reply)
}

func unpack[T any](payload []byte) (T, error) {
	var v T
	if !peer.Plausible(payload) {
		return v, eris.Wrap(peer.ErrProtocol, "decode: a length is over what follows it")
	}
	if err := msgpack.Unmarshal(payload, &v); err != nil {
		return v, eris.Wrap(err, "decode")
	}
	return v, nil
}

// reconcile makes the set and a peer's the same, as far as one round goes. It
// is called by a goroutine that does not own the state.
func reconcile[R gossip.Record](ctx context.Context, c *Control, e *exchanger[R], p *peer.Client) error {
	var own []uint64
	var held int
	c.do(func() {
		own = e.set.Group()
		held = e.set.Len()
	})
	theirs, err := ask[struct{}, hashes](ctx, p, e.topic+askGroups, struct{}{})
	if err != nil {
		return err
	}
	groups := gossip.Differing(own, theirs.Hashes)
	switch {
	case len(groups) == 0:
		return nil
	case held < fewRecords:
		return fetchAll(ctx, c, e, p)
	case held <= mostByDigest:
		return reconcileByDigest(ctx, c, e, p, groups)
	}
	leaves, err := differingLeaves(ctx, c, e, p, groups)
	if err != nil || len(leaves) == 0 {
		return err
	}
	q := versionsQuery{Leaves: make(map[int]map[string]gossip.Version, len(leaves))}
	c.do(func() {
		for _, leaf := range leaves {
			q.Leaves[leaf] = e.set.Versions(leaf)
		}
	})
	reply, err := ask[versionsQuery, versionsReply[R]](ctx, p, e.topic+askVersions, q)
	if err != nil {
		return err
	}
	var wanted []R
	c.do(func() {
		e.putAll(reply.Newer)
		wanted = e.get(reply.Wanted)
	})
	if len(wanted) == 0 {
		return nil
	}
	return tell(ctx, p, e.topic, wanted)
}

// differingLeaves returns leaves in which the set and a peer's differ.
func differingLeaves[R gossip.Record](ctx context.Context, c *Control, e *exchanger[R], p *peer.Client, groups []int) ([]int, error) {
	var leaves []int
	for _, g := range groups[:min(len(groups), maxGroups)] {
		theirs, err := ask[leafQuery, hashes](ctx, p, e.topic+askLeaves, leafQuery{Group: g})
		if err != nil {
			return nil, err
		}
		var own []uint64
		c.do(func() { own = e.set.Leaf(g) })
		for _, l := range gossip.Differing(own, theirs.Hashes) {
			leaves = append(leaves, g*gossip.Groups+l)
		}
	}
	return leaves[:min(len(leaves), maxLeaves)], nil
}

// fetchAll fetches all records of a peer, for a node that has few, and tells it
// its own if they are few.
func fetchAll[R gossip.Record](ctx context.Context, c *Control, e *exchanger[R], p *peer.Client) error {
	var own []R
	c.do(func() {
		if e.set.Len() <= bulkRecords {
			own, _ = e.set.From(0, bulkRecords)
		}
	})
	for from := 0; from < gossip.Leaves; {
		reply, err := ask[bulkQuery, bulkReply[R]](ctx, p, e.topic+askBulk, bulkQuery{From: from})
		if err != nil {
			return err
		}
		if reply.Next <= from {
			return eris.Errorf("peer goes on from leaf %d after %d", reply.Next, from)
		}
		c.do(func() { e.putAll(reply.Records) })
		from = reply.Next
	}
	if len(own) == 0 {
		return nil
	}
	return tell(ctx, p, e.topic, own)
}

// tell sends records to a peer.
func tell[R gossip.Record](ctx context.Context, p *peer.Client, topic string, list []R) error {
	payload, err := msgpack.Marshal(records[R]{Records: list})
	if err != nil {
		return eris.Wrap(err, "encode records")
	}
	_, err = p.Request(ctx, topic+tellRecords, payload, true)
	return err
}
