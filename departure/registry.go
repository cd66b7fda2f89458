// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package departure

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/objectapi"
)

// Kind is the kind of the objects on the platform. Each has the name of its node.
const Kind = "departure"

// entry is the spec of an object.
type entry struct {
	Starts []storedStart `json:"starts"`
}

// storedStart is a Record in an entry.
type storedStart struct {
	ID          string `json:"id"`
	StartMillis int64  `json:"born,omitempty"`
	RecordedAt  int64  `json:"at"`
}

// Registry keeps a node's Records on the platform. The exported fields are set before the first call.
type Registry struct {
	// API is the platform's API.
	API objectapi.Objects
	// Node is the node's name.
	Node string
	// Log is the log for failures.
	Log zerolog.Logger

	// object is the node's object when last read or written, or nil. One that is outdated makes the next
	// write fail, which then reads it again.
	object atomic.Pointer[objectapi.Object]
}

// Load returns the node's Records on the platform that have not expired.
func (g *Registry) Load(ctx context.Context) ([]Record, error) {
	o, err := g.API.Get(ctx, Kind, g.Node)
	if objectapi.IsNotFound(err) {
		g.object.Store(nil)
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read departures")
	}
	g.object.Store(o)
	return g.decode(o), nil
}

// decode returns the Records of an object that are valid and have not expired.
func (g *Registry) decode(o *objectapi.Object) []Record {
	e, err := objectapi.DecodeSpec[entry](o)
	if err != nil {
		g.Log.Warn().Err(err).Str("node", o.Metadata.Name).Msg("departures can't be used")
		return nil
	}
	now := time.Now()
	var list []Record
	for _, s := range e.Starts {
		r := Record{
			Node:        o.Metadata.Name,
			StartID:     s.ID,
			StartMillis: s.StartMillis,
			RecordedAt:  s.RecordedAt,
		}
		if err := r.Check(now); err != nil {
			g.Log.Warn().Err(err).Str("node", o.Metadata.Name).Msg("departures can't be used")
			continue
		}
		if !r.Expired(now) {
			list = append(list, r)
		}
	}
	return list
}

// Save writes Records of the node to the platform, with those that are there already. It returns an
// error if that may have failed.
func (g *Registry) Save(ctx context.Context, list []Record) error {
	err := g.write(ctx, list)
	if objectapi.IsConflict(err) || objectapi.IsNotFound(err) {
		// The known object is outdated. The one that is there decides, and has the Records already if the
		// response to an earlier write was lost.
		var stored []Record
		if stored, err = g.Load(ctx); err == nil && !containsAll(stored, list) {
			err = g.write(ctx, list)
		}
	}
	return eris.Wrap(err, "write departures")
}

// containsAll returns whether each Record of list is in stored.
func containsAll(stored, list []Record) bool {
	for _, r := range list {
		if !contains(stored, r) {
			return false
		}
	}
	return true
}

// write replaces the known object by one with the given Records and its own, or creates it.
func (g *Registry) write(ctx context.Context, list []Record) error {
	merged := make(map[string]Record)
	present := g.object.Load()
	if present != nil {
		list = append(g.decode(present), list...)
	}
	for _, r := range list {
		if old, ok := merged[r.Key()]; !ok || old.RecordedAt < r.RecordedAt {
			merged[r.Key()] = r
		}
	}
	var index Index
	for _, key := range slices.Sorted(maps.Keys(merged)) {
		index.Add(merged[key])
	}
	e := entry{Starts: []storedStart{}}
	for _, r := range index.Of(g.Node) {
		e.Starts = append(e.Starts, storedStart{
			ID:          r.StartID,
			StartMillis: r.StartMillis,
			RecordedAt:  r.RecordedAt,
		})
	}
	o := objectapi.NewObject(Kind, g.Node, e)
	var err error
	if present == nil {
		o, err = g.API.Create(ctx, o)
	} else {
		o, err = g.API.Update(ctx, o.WithResourceVersion(present.Metadata.ResourceVersion))
	}
	if err == nil {
		g.object.Store(o)
	}
	return err
}

// RemoveExpired removes the objects of all nodes whose Records have expired.
func (g *Registry) RemoveExpired(ctx context.Context) error {
	list, err := g.API.ListStale(ctx, Kind)
	if err != nil {
		return eris.Wrap(err, "list departures")
	}
	for _, o := range list.Items {
		if len(g.decode(o)) > 0 {
			continue
		}
		err := g.API.Delete(ctx, Kind, o.Metadata.Name, o.Metadata.ResourceVersion)
		if err != nil && !objectapi.IsNotFound(err) && !objectapi.IsConflict(err) {
			return eris.Wrap(err, "remove departures")
		}
	}
	return nil
}
