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
	// saveAttempts is the number of attempts to write a block, with delays that grow to some seconds.
	// While the platform is unavailable for longer than that, no node can read the block either.
	saveAttempts = 8
	// rereadDelay is the mean delay after which a node that has started reads the blocks once more:
	// the first read may return data that is some seconds old.
	rereadDelay = 6 * time.Second
	// expectedReaders is the expected number of nodes that read again when many start at once: they share
	// what they read with the others. The probability that none does is 1 in 3e10.
	expectedReaders = 24
	// sweepInterval is the mean time between two reads by the first node of a zone, which deletes the
	// expired blocks.
	sweepInterval = time.Hour
)

// Block is the spec of an object that blocks one request. It is an immutable value.
type Block struct {
	// Fingerprint is the fingerprint of the request.
	Fingerprint string `json:"print"`
	// Upstreams are the StartIDs of the upstreams that crashed while the request was isolated.
	Upstreams []string `json:"upstreams"`
	// At is when the last of them crashed, in milliseconds since 1970.
	At int64 `json:"at"`
}

// report returns the block as a report, as nodes send it to each other. The error says why it is invalid.
func (b Block) report(now time.Time) (quarantine.Report, error) {
	p, err := quarantine.Parse(b.Fingerprint)
	if err != nil {
		return quarantine.Report{}, err
	}
	if len(b.Upstreams) == 0 {
		return quarantine.Report{}, eris.New("block names no upstream")
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

// Store reads and writes blocks. The exported fields are set before the first call. It is safe for
// concurrent use.
type Store struct {
	// API is the platform.
	API objectapi.Objects
	// Report is called with each block that is read and has not expired, as a report.
	Report func(r quarantine.Report)
	// IsFirstInZone, if not nil, returns whether this node maintains the blocks for its zone.
	IsFirstInZone func() bool
	// Nodes, if not nil, returns the number of nodes.
	Nodes func() int
	// Log receives the failures.
	Log zerolog.Logger
}

// Run reads the blocks at the start, possibly once more after a delay (see expectedReaders), and then periodically
// if this node is the first of its zone, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	s.Load(ctx)
	sleep.For(ctx, rereadDelay/2+rand.N(rereadDelay))
	if ctx.Err() == nil && s.isReader() {
		s.Load(ctx)
	}
	for ctx.Err() == nil {
		sleep.For(ctx, sweepInterval/2+rand.N(sweepInterval))
		if ctx.Err() == nil && s.IsFirstInZone != nil && s.IsFirstInZone() {
			s.Load(ctx)
		}
	}
}

// isReader returns at random whether this node reads the blocks again.
func (s *Store) isReader() bool {
	return s.Nodes == nil || rand.Float64()*float64(s.Nodes()) < expectedReaders
}

// Load reads the blocks and reports them. Expired ones are deleted.
func (s *Store) Load(ctx context.Context) {
	list, err := s.API.ListStale(ctx, Kind)
	if err != nil {
		s.Log.Warn().Err(err).Msg("failed to read the blocks")
		return
	}
	now := time.Now()
	for _, o := range list.Items {
		r, err := reportOf(o, now)
		switch {
		case err != nil:
			s.Log.Warn().Err(err).Str("block", o.Metadata.Name).Msg("invalid block")
		case r.Expired(now):
			s.remove(ctx, o)
		default:
			s.Report(r)
		}
	}
}

// reportOf decodes the report in an object. The error says why it is invalid.
func reportOf(o *objectapi.Object, now time.Time) (quarantine.Report, error) {
	b, err := objectapi.DecodeSpec[Block](o)
	if err != nil {
		return quarantine.Report{}, err
	}
	return b.report(now)
}

// remove deletes the object of an expired block.
func (s *Store) remove(ctx context.Context, o *objectapi.Object) {
	err := s.API.Delete(ctx, Kind, o.Metadata.Name, o.Metadata.ResourceVersion)
	if err != nil && !objectapi.IsNotFound(err) && !objectapi.IsConflict(err) {
		s.Log.Warn().Err(err).Str("block", o.Metadata.Name).Msg("failed to delete the block")
	}
}

// Save writes the block of a blocked request. It returns after the block is written or all attempts have
// failed.
func (s *Store) Save(ctx context.Context, a quarantine.Assessment) {
	b := Block{
		Fingerprint: a.Fingerprint.String(),
		Upstreams:   a.IsolatedUpstreams[max(0, len(a.IsolatedUpstreams)-quarantine.MaxUpstreams):],
		At:          a.LastCrash.UnixMilli(),
	}
	for n := range saveAttempts {
		err := s.write(ctx, b)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.Log.Warn().Err(err).Stringer("print", a.Fingerprint).Int("try", n+1).Msg("failed to write the block")
		sleep.For(ctx, objectapi.Backoff(n, err))
	}
}

// write writes a block unless the platform has a later one of the same request.
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
	if old, err := objectapi.DecodeSpec[Block](stored); err == nil && old.At >= b.At {
		return nil
	}
	_, err = s.API.Update(ctx, o.WithResourceVersion(stored.Metadata.ResourceVersion))
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
