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

// Entry is the spec of an object, which has the node's name.
type Entry struct {
	// Address is where the node takes peer connections.
	Address string `json:"address"`
	// Zone is the node's availability zone.
	Zone string `json:"zone"`
	// Nodes is the number of nodes that there were when it was written, or 0.
	NodeCount int `json:"nodes,omitempty"`
}

// check returns why nobody can be reached by an entry, or nil. Another program may
// have written it.
func (e Entry) check() error {
	host, port, err := net.SplitHostPort(e.Address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return eris.Errorf("%q is not an IP number and port", e.Address)
	}
	return nil
}

// Book is the nodes' addresses as the platform holds them. The exported fields
// are set before the first call.
type PlatformRegistry struct {
	// API is the platform.
	API objectapi.Objects
	// Node and Entry are what this node registers.
	Node  string
	Entry Entry
	// Nodes, if not nil, returns the number of nodes to put into the entry, and Counted is
	// called with the largest one that other entries have.
	NodeCount   func() int
	OnNodeCount func(nodes int)
	// Log takes the failures.
	Log zerolog.Logger

	mu           sync.Mutex
	ownObject    *objectapi.Object            // this node's own, as read last, or nil
	writtenAt    time.Time                    // when this node's own was written
	mayBeLost    bool                         // whether its own stood there, and may have been lost
	writtenEntry Entry                        // what was written then
	listed       map[string]*objectapi.Object // by address, as read last
	silentSince  map[string]time.Time         // since when nobody answers, by address
}

// staleness is how old a stale read may be at most, with a margin: the platform
// says seconds.
const maxStaleness = time.Minute

// Forget is how long nobody has to answer at an address before it is taken out
// of the book. It is far longer than an instance is away for a restart; one that
// comes back later writes itself in again.
const RemovalTimeout = 10 * time.Minute

// Addresses returns the addresses of other nodes in random order, those of the
// node's own zone first, as the platform had them at some time: it is a stale read.
// It returns none if the platform does not answer.
func (b *PlatformRegistry) Addresses(ctx context.Context) []string {
	list, err := b.API.ListStale(ctx, Kind)
	if err != nil {
		b.Log.Warn().Err(err).Msg("contacts not read")
		return nil
	}
	var near, far []string
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
		if o.Metadata.Name == b.Node {
			ownObject = o
			continue
		}
		if err != nil {
			b.Log.Warn().Err(err).Str("node", o.Metadata.Name).Msg("contact can't be used")
			continue
		}
		listed[e.Address] = o
		if e.Zone == b.Entry.Zone {
			near = append(near, e.Address)
		} else {
			far = append(far, e.Address)
		}
	}
	b.recordList(listed, ownObject)
	if b.OnNodeCount != nil && nodes > 0 {
		b.OnNodeCount(nodes)
	}
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

// took keeps what was read.
func (b *PlatformRegistry) recordList(listed map[string]*objectapi.Object, ownObject *objectapi.Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = listed
	b.ownObject = ownObject
	for addr := range b.silentSince {
		if listed[addr] == nil {
			delete(b.silentSince, addr)
		}
	}
}

// Met takes in whether a node answered at an address of the book. An address at
// which nobody has answered for long is taken out, unless it was written anew
// meanwhile.
func (b *PlatformRegistry) RecordReachability(ctx context.Context, addr string, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.listed[addr]
	since, silent := b.silentSince[addr]
	switch {
	case answered || o == nil:
		delete(b.silentSince, addr)
		return
	case !silent:
		if b.silentSince == nil {
			b.silentSince = make(map[string]time.Time)
		}
		b.silentSince[addr] = time.Now()
		return
	case time.Since(since) < RemovalTimeout:
		return
	}
	if err := b.API.Delete(ctx, Kind, o.Metadata.Name, o.Metadata.ResourceVersion); err != nil && !objectapi.IsNotFound(err) {
		b.Log.Warn().Err(err).Str("address", addr).Msg("contact not removed")
		return
	}
	b.Log.Info().Str("node", o.Metadata.Name).Str("address", addr).Dur("silentMs", time.Since(since)).Msg("contact removed")
	delete(b.silentSince, addr)
	delete(b.listed, addr)
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Register writes this node into the book, unless it stood there as it should when
// the addresses were read last, or was written since.
func (b *PlatformRegistry) Register(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateNodeCount()
	if b.isCurrent(b.ownObject) || time.Since(b.writtenAt) < maxStaleness && b.writtenEntry.suffices(b.Entry) {
		return
	}
	err := b.write(ctx, b.ownObject)
	if objectapi.IsConflict(err) {
		// The read was stale, or an answer was lost: what is there now decides.
		var current *objectapi.Object
		if current, err = b.API.Get(ctx, Kind, b.Node); err == nil && !b.isCurrent(current) {
			err = b.write(ctx, current)
		}
	}
	if err != nil {
		b.Log.Warn().Err(err).Msg("contact not written")
		return
	}
	b.writtenAt = time.Now()
	b.writtenEntry = b.Entry
}

// count puts the number of nodes into the entry. While it isn't known, what the platform has
// stays.
func (b *PlatformRegistry) updateNodeCount() {
	if b.NodeCount == nil {
		return
	}
	b.Entry.NodeCount = b.NodeCount()
	if b.Entry.NodeCount > 0 || b.ownObject == nil {
		return
	}
	if e, err := objectapi.DecodeSpec[Entry](b.ownObject); err == nil {
		b.Entry.NodeCount = e.NodeCount
	}
}

// rewriteTries is how often the writing again of an entry is tried, with pauses that grow to
// some seconds.
const maxRestoreAttempts = 8

// WriteAgain takes in that the platform may have lost what was written: this node's entry is
// looked for if it stood there, and written again if it does not. What was read before is
// forgotten. It returns when the entry is there, or was given up after some tries: the next
// look into the book then decides.
func (b *PlatformRegistry) Restore(ctx context.Context) {
	registered := b.reset()
	for attempt := 0; registered && attempt < maxRestoreAttempts && ctx.Err() == nil; attempt++ {
		err := b.restoreOnce(ctx)
		if err == nil {
			return
		}
		b.Log.Warn().Err(err).Int("try", attempt+1).Msg("contact not written again")
		sleep.For(ctx, objectapi.Backoff(attempt, err))
	}
}

// forget forgets what was read and written, and returns whether this node's entry stood there.
func (b *PlatformRegistry) reset() (registered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mayBeLost = b.mayBeLost || b.isCurrent(b.ownObject) || !b.writtenAt.IsZero()
	b.ownObject = nil
	b.listed = nil
	b.writtenAt = time.Time{}
	return b.mayBeLost
}

// restore writes this node's entry if it does not stand there.
func (b *PlatformRegistry) restoreOnce(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, err := b.API.Get(ctx, Kind, b.Node)
	if err == nil {
		b.ownObject = current
	}
	b.updateNodeCount()
	switch {
	case objectapi.IsNotFound(err):
		err = b.write(ctx, nil)
	case err == nil && !b.isCurrent(current):
		err = b.write(ctx, current)
	}
	if err == nil {
		b.writtenAt = time.Now()
		b.writtenEntry = b.Entry
		b.mayBeLost = false
	}
	return err
}

// stands returns whether an object is this node's entry. One that can't be read is
// not.
func (b *PlatformRegistry) isCurrent(o *objectapi.Object) bool {
	if o == nil {
		return false
	}
	e, err := objectapi.DecodeSpec[Entry](o)
	return err == nil && e.suffices(b.Entry)
}

// covers returns whether e may stand where o is to be written: it has the same address, and
// a number of nodes that is not smaller, as nodes may come back, nor far larger.
func (e Entry) suffices(o Entry) bool {
	same := e.Address == o.Address && e.Zone == o.Zone
	return same && (o.NodeCount == 0 || e.NodeCount >= o.NodeCount && e.NodeCount <= max(2*o.NodeCount, nodeCountTolerance))
}

// manyNodes is the number of nodes up to which an entry is left as it is, however few there
// are now.
const nodeCountTolerance = 100

// write creates this node's object, or replaces the one that is there.
func (b *PlatformRegistry) write(ctx context.Context, present *objectapi.Object) error {
	o := objectapi.NewObject(Kind, b.Node, b.Entry)
	var err error
	if present == nil {
		_, err = b.API.Create(ctx, o)
	} else {
		_, err = b.API.Update(ctx, o.WithResourceVersion(present.Metadata.ResourceVersion))
	}
	return err
}
