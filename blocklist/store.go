// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package blocklist

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/quarantine"
)

// Kind is the kind of the platform's objects that block one request each.
const Kind = "blockedRequest"

const (
	// saveTries is how often the writing of a block is tried, with pauses that grow to
	// some seconds. A platform that is away for longer is read by nobody either.
	saveAttempts = 8
	// lookAgain is after how long a node that has started reads the blocks once more: the
	// first read is a cheap one that may be some seconds old.
	rereadDelay = 6 * time.Second
	// readers is how many of the nodes that start at once are expected to do so: what one
	// reads it tells the others. None does once in thirty thousand million times.
	expectedReaders = 24
	// sweepEvery is the time between two reads by a zone's first node, which deletes the
	// blocks that count no more.
	sweepInterval = time.Hour
)

// Block is the spec of one object. It is an immutable value.
type Block struct {
	// Print is the fingerprint of the request.
	Fingerprint string `json:"print"`
	// Upstreams are the starts of upstreams that have ended while it was isolated.
	Upstreams []string `json:"upstreams"`
	// At is when the last of them did, in milliseconds since 1970.
	At int64 `json:"at"`
}

// report returns the block as nodes tell it to each other, or why it can't be used.
func (b Block) report(now time.Time) (quarantine.Report, error) {
	p, err := quarantine.Parse(b.Fingerprint)
	if err != nil {
		return quarantine.Report{}, err
	}
	if len(b.Upstreams) == 0 {
		return quarantine.Report{}, eris.New("no upstream has ended")
	}
	r := quarantine.Report{
		Name:         "block/" + b.Fingerprint,
		At:           b.At,
		Upstreams:    b.Upstreams,
		Fingerprints: []quarantine.Fingerprint{p},
		Isolated:     p,
	}
	return r, r.Check(now)
}

// Ledger reads and writes blocks. The exported fields are set before the first call. Its
// methods may be called from any goroutine.
type Store struct {
	// API is the platform.
	API objectapi.Objects
	// Report is called with each block that is read.
	Report func(r quarantine.Report)
	// FirstOfZone, if not nil, returns whether this node looks after the blocks for its zone.
	FirstOfZone func() bool
	// Nodes, if not nil, returns the number of nodes that there are.
	Nodes func() int
	// Log takes the failures.
	Log zerolog.Logger
}

// Run reads the blocks, once more a little later unless there are many nodes and others do, and
// now and then if this node is the first of its zone, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	s.Load(ctx)
	sleep.For(ctx, rereadDelay/2+rand.N(rereadDelay))
	if ctx.Err() == nil && s.isReader() {
		s.Load(ctx)
	}
	for ctx.Err() == nil {
		sleep.For(ctx, sweepInterval/2+rand.N(sweepInterval))
		if ctx.Err() == nil && s.FirstOfZone != nil && s.FirstOfZone() {
			s.Load(ctx)
		}
	}
}

// drawn draws whether this node is one of the readers.
func (s *Store) isReader() bool {
	return s.Nodes == nil || rand.Float64()*float64(s.Nodes()) < expectedReaders
}

// Load reads the blocks and reports them. Those that count no more are deleted.
func (s *Store) Load(ctx context.Context) {
	list, err := s.API.ListStale(ctx, Kind)
	if err != nil {
		s.Log.Warn().Err(err).Msg("blocks not read")
		return
	}
	now := time.Now()
	for _, o := range list.Items {
		r, err := reportOf(o, now)
		switch {
		case err != nil:
			s.Log.Warn().Err(err).Str("block", o.Metadata.Name).Msg("block can't be used")
		case r.Expired(now):
			s.remove(ctx, o)
		default:
			s.Report(r)
		}
	}
}

// reportOf returns the report in an object, or why it can't be used.
func reportOf(o *objectapi.Object, now time.Time) (quarantine.Report, error) {
	b, err := objectapi.SpecOf[Block](o)
	if err != nil {
		return quarantine.Report{}, err
	}
	return b.report(now)
}

// remove deletes the object of a block that counts no more.
func (s *Store) remove(ctx context.Context, o *objectapi.Object) {
	err := s.API.Delete(ctx, Kind, o.Metadata.Name, o.Metadata.ResourceVersion)
	if err != nil && !objectapi.IsNotFound(err) && !objectapi.IsConflict(err) {
		s.Log.Warn().Err(err).Str("block", o.Metadata.Name).Msg("block not deleted")
	}
}

// Save writes the block of a request that is blocked. It returns when it is written, or was
// given up after some tries.
func (s *Store) Save(ctx context.Context, j quarantine.Assessment) {
	b := Block{
		Fingerprint: j.Fingerprint.String(),
		Upstreams:   j.IsolatedUpstreams[max(0, len(j.IsolatedUpstreams)-quarantine.MaxUpstreams):],
		At:          j.LastCrash.UnixMilli(),
	}
	for n := range saveAttempts {
		err := s.write(ctx, b)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.Log.Warn().Err(err).Stringer("print", j.Fingerprint).Int("try", n+1).Msg("block not written")
		sleep.For(ctx, objectapi.Backoff(n, err))
	}
}

// write writes a block, unless a later one is there.
func (s *Store) write(ctx context.Context, b Block) error {
	o := objectapi.NewObject(Kind, b.Fingerprint, b)
	_, err := s.API.Create(ctx, o)
	if !objectapi.IsConflict(err) {
		return err
	}
	stored, err := s.API.Get(ctx, Kind, b.Fingerprint)
	if err != nil {
		return err
	}
	if old, err := objectapi.SpecOf[Block](stored); err == nil && old.At >= b.At {
		return nil
	}
	_, err = s.API.Update(ctx, o.WithVersion(stored.Metadata.ResourceVersion))
	return err
}

// Release deletes the block of a request, if there is one.
func (s *Store) Release(ctx context.Context, p quarantine.Fingerprint) error {
	o, err := s.API.Get(ctx, Kind, p.String())
	if err == nil {
		err = s.API.Delete(ctx, Kind, o.Metadata.Name, o.Metadata.ResourceVersion)
	}
	if objectapi.IsNotFound(err) {
		return nil
	}
	return err
}
