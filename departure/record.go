// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package departure

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/gossip"
)

const (
	// Retention is how long a Record is kept after it was made. Delayed announcements arrive within
	// seconds, and an upstream that leaves exits within minutes.
	Retention = time.Hour
	// MaxPerNode is the number of Records of one node that are kept, the latest ones.
	MaxPerNode = 16
	// maxNameBytes bounds the names in a Record.
	maxNameBytes = 256
	// maxClockSkew is how far a Record's time may lie ahead of this instance's clock.
	maxClockSkew = 5 * time.Minute
)

// Record states that a start of an upstream gets no more requests. It is an immutable value.
type Record struct {
	// Node is the name of the node beside the upstream.
	Node string `msgpack:"node"`
	// StartID and StartMillis identify the start, as in upstream.Announcement.
	StartID     string `msgpack:"start"`
	StartMillis int64  `msgpack:"born,omitempty"`
	// RecordedAt is when the Record was made, in seconds since 1970.
	RecordedAt int64 `msgpack:"at"`
}

// NewRecord returns a Record of the given start, made now.
func NewRecord(node, startID string, startMillis int64) Record {
	return Record{
		Node:        node,
		StartID:     startID,
		StartMillis: startMillis,
		RecordedAt:  time.Now().Unix(),
	}
}

// Key implements gossip.Record.
func (r Record) Key() string {
	return r.Node + "\x00" + r.StartID + "\x00" + strconv.FormatInt(r.StartMillis, 10)
}

// GossipVersion implements gossip.Record. A Record of the same start that was made later is newer.
func (r Record) GossipVersion() gossip.Version {
	return gossip.Version{Major: uint64(max(0, r.RecordedAt))}
}

// Expired returns whether the Record was made more than Retention ago.
func (r Record) Expired(now time.Time) bool { return now.Sub(time.Unix(r.RecordedAt, 0)) > Retention }

// Check returns an error if the Record is invalid.
func (r Record) Check(now time.Time) error {
	switch {
	case r.Node == "" || len(r.Node) > maxNameBytes:
		return eris.Errorf("departure: the node's name has %d bytes", len(r.Node))
	case r.StartID == "" || len(r.StartID) > maxNameBytes:
		return eris.Errorf("departure: the start's ID has %d bytes", len(r.StartID))
	case r.StartMillis < 0:
		return eris.Errorf("departure: the start time %d is negative", r.StartMillis)
	case time.Unix(r.RecordedAt, 0).Sub(now) > maxClockSkew:
		return eris.Errorf("departure: made %v in the future", time.Unix(r.RecordedAt, 0).Sub(now))
	}
	return nil
}

// Index holds the Records by node, the latest MaxPerNode of each. The zero value is empty. It is not
// safe for concurrent use.
type Index struct {
	byNode map[string][]Record // the oldest first
}

// Full returns whether r is older than all Records of its node, of which there are MaxPerNode.
func (x *Index) Full(r Record) bool {
	list := x.byNode[r.Node]
	return len(list) >= MaxPerNode && r.RecordedAt < list[0].RecordedAt
}

// Add adds a Record, in place of an earlier one of the same start. It returns the Record that it has
// dropped because there were too many of the node, if any.
func (x *Index) Add(r Record) (dropped Record, ok bool) {
	x.Remove(r)
	if x.byNode == nil {
		x.byNode = make(map[string][]Record)
	}
	list := append(x.byNode[r.Node], r)
	slices.SortStableFunc(list, func(a, b Record) int { return cmp.Compare(a.RecordedAt, b.RecordedAt) })
	if ok = len(list) > MaxPerNode; ok {
		dropped, list = list[0], list[1:]
	}
	x.byNode[r.Node] = list
	return dropped, ok
}

// Remove removes the Record of a start.
func (x *Index) Remove(r Record) {
	list := slices.DeleteFunc(x.byNode[r.Node], func(o Record) bool { return o.Key() == r.Key() })
	if len(list) == 0 {
		delete(x.byNode, r.Node)
		return
	}
	x.byNode[r.Node] = list
}

// Of returns the Records of a node, the oldest first.
func (x *Index) Of(node string) []Record { return slices.Clone(x.byNode[node]) }
