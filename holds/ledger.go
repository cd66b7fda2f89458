// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package holds

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/quarantine"
)

// Kind is the kind of the platform's objects that hold one request each.
const Kind = "hold"

const (
	// saveTries is how often the writing of a hold is tried, with pauses that grow to
	// some seconds. A platform that is away for longer is read by nobody either.
	saveTries = 8
	// lookAgain is after how long a node that has started reads the holds once more: the
	// first read is a cheap one that may be some seconds old.
	lookAgain = 6 * time.Second
	// sweepEvery is the time between two reads by a zone's scout, which deletes the
	// holds that count no more.
	sweepEvery = time.Hour
)

// Hold is the spec of one object. It is an immutable value.
type Hold struct {
	// Print is the fingerprint of the request.
	Print string `json:"print"`
	// Upstreams are the starts of upstreams that have ended while it was isolated.
	Upstreams []string `json:"upstreams"`
	// At is when the last of them did, in milliseconds since 1970.
	At int64 `json:"at"`
}

// report returns the hold as nodes tell it to each other, or why it can't be used.
func (h Hold) report(now time.Time) (quarantine.Report, error) {
	p, err := quarantine.Parse(h.Print)
	if err != nil {
		return quarantine.Report{}, err
	}
	if len(h.Upstreams) == 0 {
		return quarantine.Report{}, eris.New("no upstream has ended")
	}
	r := quarantine.Report{
		Name:      "hold/" + h.Print,
		At:        h.At,
		Upstreams: h.Upstreams,
		Prints:    []quarantine.Fingerprint{p},
		Alone:     p,
	}
	return r, r.Check(now)
}

// Ledger reads and writes holds. The exported fields are set before the first call. Its
// methods may be called from any goroutine.
type Ledger struct {
	// API is the platform.
	API objectapi.Objects
	// Report is called with each hold that is read.
	Report func(r quarantine.Report)
	// Scout, if not nil, returns whether this node looks after the holds for its zone.
	Scout func() bool
	// Log takes the failures.
	Log zerolog.Logger
}

// Run reads the holds, once more a little later, and now and then if this node is the
// scout, until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	l.Load(ctx)
	wait(ctx, lookAgain/2+rand.N(lookAgain))
	if ctx.Err() == nil {
		l.Load(ctx)
	}
	for ctx.Err() == nil {
		wait(ctx, sweepEvery/2+rand.N(sweepEvery))
		if ctx.Err() == nil && l.Scout != nil && l.Scout() {
			l.Load(ctx)
		}
	}
}

// Load reads the holds and reports them. Those that count no more are deleted.
func (l *Ledger) Load(ctx context.Context) {
	list, err := l.API.ListStale(ctx, Kind)
	if err != nil {
		l.Log.Warn().Err(err).Msg("holds not read")
		return
	}
	now := time.Now()
	for _, o := range list.Items {
		r, err := reportOf(o, now)
		switch {
		case err != nil:
			l.Log.Warn().Err(err).Str("hold", o.Metadata.Name).Msg("hold can't be used")
		case r.Expired(now):
			l.remove(ctx, o)
		default:
			l.Report(r)
		}
	}
}

// reportOf returns the report in an object, or why it can't be used.
func reportOf(o *objectapi.Object, now time.Time) (quarantine.Report, error) {
	h, err := objectapi.SpecOf[Hold](o)
	if err != nil {
		return quarantine.Report{}, err
	}
	return h.report(now)
}

// remove deletes the object of a hold that counts no more.
func (l *Ledger) remove(ctx context.Context, o *objectapi.Object) {
	err := l.API.Delete(ctx, Kind, o.Metadata.Name, o.Metadata.ResourceVersion)
	if err != nil && !objectapi.IsNotFound(err) && !objectapi.IsConflict(err) {
		l.Log.Warn().Err(err).Str("hold", o.Metadata.Name).Msg("hold not deleted")
	}
}

// Save writes the hold of a request that is held. It returns when it is written, or was
// given up after some tries.
func (l *Ledger) Save(ctx context.Context, j quarantine.Judgment) {
	h := Hold{
		Print:     j.Print.String(),
		Upstreams: j.Isolated[max(0, len(j.Isolated)-quarantine.MaxUpstreams):],
		At:        j.Since.UnixMilli(),
	}
	for n := range saveTries {
		err := l.write(ctx, h)
		if err == nil || ctx.Err() != nil {
			return
		}
		l.Log.Warn().Err(err).Stringer("print", j.Print).Int("try", n+1).Msg("hold not written")
		wait(ctx, objectapi.Backoff(n, err))
	}
}

// write writes a hold, unless a later one is there.
func (l *Ledger) write(ctx context.Context, h Hold) error {
	o := objectapi.NewObject(Kind, h.Print, h)
	_, err := l.API.Create(ctx, o)
	if !objectapi.IsConflict(err) {
		return err
	}
	present, err := l.API.Get(ctx, Kind, h.Print)
	if err != nil {
		return err
	}
	if old, err := objectapi.SpecOf[Hold](present); err == nil && old.At >= h.At {
		return nil
	}
	_, err = l.API.Update(ctx, o.WithVersion(present.Metadata.ResourceVersion))
	return err
}

// wait waits for d, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
