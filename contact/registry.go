// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package contact

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
)

// Kind is the kind of the objects.
const Kind = "contact"

// Entry is the spec of an object, whose name is the node's.
type Entry struct {
	// Address is where the node accepts peer connections.
	Address string `json:"address"`
	// Zone is the node's availability zone.
	Zone string `json:"zone"`
	// NodeCount is the number of nodes at the time of writing, or 0 if unknown.
	NodeCount int `json:"nodes,omitempty"`
}

// check returns an error if the address of an entry is invalid. Another program may have written
// it.
func (e Entry) check() error {
	host, port, err := net.SplitHostPort(e.Address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return eris.Errorf("%q is not an IP address and port", e.Address)
	}
	return nil
}

// PlatformRegistry is the Registry that is kept on the platform. The exported fields are set
// before the first call.
type PlatformRegistry struct {
	// API is the platform's API.
	API objectapi.Objects
	// Node and Entry are the name and the entry that this node registers.
	Node  string
	Entry Entry
	// NodeCount, if not nil, returns the number of nodes to put into the entry. OnNodeCount, if
	// not nil, is called with the largest number in any entry that was read.
	NodeCount   func() int
	OnNodeCount func(nodes int)
	// Log is the log for failures.
	Log zerolog.Logger

	mu           sync.Mutex
	ownObject    *objectapi.Object            // this node's object when last read, or nil
	writtenAt    time.Time                    // when this node's entry was written, or zero
	mayBeLost    bool                         // whether this node's entry was there, and may have been lost
	writtenEntry Entry                        // the entry that was written then
	listed       map[string]*objectapi.Object // objects of other nodes when last read, by address
	silentSince  map[string]time.Time         // since when no node has answered, by address
}

// maxStaleness bounds the age of a stale read, with a margin: the platform promises some
// seconds.
const maxStaleness = time.Minute

// RemovalTimeout is how long no node must have answered at an address before its entry is
// removed. It is far longer than an instance takes to restart; one that returns later registers
// again.
const RemovalTimeout = 10 * time.Minute

// Addresses returns the addresses of other nodes in random order, those of the node's own zone
// first. It is a stale read, and returns none if the platform does not respond.
func (r *PlatformRegistry) Addresses(ctx context.Context) []string {
	list, err := r.API.ListStale(ctx, Kind)
	if err != nil {
		r.Log.Warn().Err(err).Msg("contacts not read")
		return nil
	}
	var sameZone, otherZones []string
	var ownObject *objectapi.Object
	var nodes int
	listed := make(map[string]*objectapi.Object, len(list.Items))
	for _, o := range list.Items {
		e, err := objectapi.DecodeSpec[Entry](o)
		if err == nil {
			err = e.check()
		}
		if err == nil {
			nodes = max(nodes, e.NodeCount)
		}
		if o.Metadata.Name == r.Node {
			ownObject = o
			continue
		}
		if err != nil {
			r.Log.Warn().Err(err).Str("node", o.Metadata.Name).Msg("contact can't be used")
			continue
		}
		listed[e.Address] = o
		if e.Zone == r.Entry.Zone {
			sameZone = append(sameZone, e.Address)
		} else {
			otherZones = append(otherZones, e.Address)
		}
	}
	r.recordList(listed, ownObject)
	if r.OnNodeCount != nil && nodes > 0 {
		r.OnNodeCount(nodes)
	}
	shuffle(sameZone)
	shuffle(otherZones)
	return append(sameZone, otherZones...)
}

// ListsNone returns whether the entries have been read, and there were none of other nodes.
func (r *PlatformRegistry) ListsNone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed != nil && len(r.listed) == 0
}

// recordList records the entries that were read.
func (r *PlatformRegistry) recordList(listed map[string]*objectapi.Object, ownObject *objectapi.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = listed
	r.ownObject = ownObject
	for addr := range r.silentSince {
		if listed[addr] == nil {
			delete(r.silentSince, addr)
		}
	}
}

// RecordReachability records whether a node answered at a listed address. The entry of an address
// at which no node has answered for RemovalTimeout is removed, unless it has been written since
// it was read.
func (r *PlatformRegistry) RecordReachability(ctx context.Context, addr string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.listed[addr]
	since, silent := r.silentSince[addr]
	switch {
	case answered || o == nil:
		delete(r.silentSince, addr)
		return
	case !silent:
		if r.silentSince == nil {
			r.silentSince = make(map[string]time.Time)
		}
		r.silentSince[addr] = time.Now()
		return
	case time.Since(since) < RemovalTimeout:
		return
	}
	if err := r.API.Delete(ctx, Kind, o.Metadata.Name, o.Metadata.ResourceVersion); err != nil && !objectapi.IsNotFound(err) {
		r.Log.Warn().Err(err).Str("address", addr).Msg("contact not removed")
		return
	}
	r.Log.Info().Str("node", o.Metadata.Name).Str("address", addr).Dur("silentMs", time.Since(since)).Msg("contact removed")
	delete(r.silentSince, addr)
	delete(r.listed, addr)
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Register writes this node's entry, unless it was up to date when the entries were read last, or
// has been written since.
func (r *PlatformRegistry) Register(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateNodeCount()
	if r.isCurrent(r.ownObject) || time.Since(r.writtenAt) < maxStaleness && r.writtenEntry.suffices(r.Entry) {
		return
	}
	err := r.write(ctx, r.ownObject)
	if objectapi.IsConflict(err) {
		// The read was stale, or a response was lost: the current object decides.
		var current *objectapi.Object
		if current, err = r.API.Get(ctx, Kind, r.Node); err == nil && !r.isCurrent(current) {
			err = r.write(ctx, current)
		}
	}
	if err != nil {
		r.Log.Warn().Err(err).Msg("contact not written")
		return
	}
	r.writtenAt = time.Now()
	r.writtenEntry = r.Entry
}

// updateNodeCount sets the number of nodes in the entry. While it is unknown, the number on the
// platform is kept.
func (r *PlatformRegistry) updateNodeCount() {
	if r.NodeCount == nil {
		return
	}
	r.Entry.NodeCount = r.NodeCount()
	if r.Entry.NodeCount > 0 || r.ownObject == nil {
		return
	}
	if e, err := objectapi.DecodeSpec[Entry](r.ownObject); err == nil {
		r.Entry.NodeCount = e.NodeCount
	}
}

// maxRestoreAttempts is the number of attempts to restore an entry, with a backoff that grows to
// some seconds.
const maxRestoreAttempts = 8

// Restore handles the restoring of the platform from a backup, which may have lost this node's
// entry: if the node was registered, its entry is written again unless it is there. What was read
// before is discarded. Restore returns when the entry is there, or after some failed attempts, in
// which case the entry is written after the next lookup if necessary.
func (r *PlatformRegistry) Restore(ctx context.Context) {
	registered := r.reset()
	for attempt := 0; registered && attempt < maxRestoreAttempts && ctx.Err() == nil; attempt++ {
		err := r.restoreOnce(ctx)
		if err == nil {
			return
		}
		r.Log.Warn().Err(err).Int("try", attempt+1).Msg("contact not written again")
		sleep.For(ctx, objectapi.Backoff(attempt, err))
	}
}

// reset discards what was read and written, and returns whether this node was registered.
func (r *PlatformRegistry) reset() (registered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayBeLost = r.mayBeLost || r.isCurrent(r.ownObject) || !r.writtenAt.IsZero()
	r.ownObject = nil
	r.listed = nil
	r.writtenAt = time.Time{}
	return r.mayBeLost
}

// restoreOnce writes this node's entry unless it is there.
func (r *PlatformRegistry) restoreOnce(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, err := r.API.Get(ctx, Kind, r.Node)
	if err == nil {
		r.ownObject = current
	}
	r.updateNodeCount()
	switch {
	case objectapi.IsNotFound(err):
		err = r.write(ctx, nil)
	case err == nil && !r.isCurrent(current):
		err = r.write(ctx, current)
	}
	if err == nil {
		r.writtenAt = time.Now()
		r.writtenEntry = r.Entry
		r.mayBeLost = false
	}
	return err
}

// isCurrent returns whether an object is this node's entry and up to date. One that can't be
// decoded is not.
func (r *PlatformRegistry) isCurrent(o *objectapi.Object) bool {
	if o == nil {
		return false
	}
	e, err := objectapi.DecodeSpec[Entry](o)
	return err == nil && e.suffices(r.Entry)
}

// suffices returns whether e may stay in place of o: it has the same address and zone, and a
// number of nodes that is not smaller, as nodes may return, nor far larger.
func (e Entry) suffices(o Entry) bool {
	same := e.Address == o.Address && e.Zone == o.Zone
	return same && (o.NodeCount == 0 || e.NodeCount >= o.NodeCount && e.NodeCount <= max(2*o.NodeCount, nodeCountTolerance))
}

// nodeCountTolerance is the number of nodes up to which an entry is kept, however few there are
// now.
const nodeCountTolerance = 100

// write creates this node's object, or replaces the present one.
func (r *PlatformRegistry) write(ctx context.Context, present *objectapi.Object) error {
	o := objectapi.NewObject(Kind, r.Node, r.Entry)
	var err error
	if present == nil {
		_, err = r.API.Create(ctx, o)
	} else {
		_, err = r.API.Update(ctx, o.WithResourceVersion(present.Metadata.ResourceVersion))
	}
	return err
}
