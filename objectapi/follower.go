// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package objectapi

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"sassafrasfront.example/internal/sleep"
)

// Follower keeps track of all objects of one kind by lists and watches. The
// exported fields are set before Run.
type Follower struct {
	// API is the platform.
	API API
	// Kind is the kind that is followed.
	Kind string
	// OnList is called with each complete list.
	OnList func(*List)
	// OnChange is called with each change between lists. Changes may be repeated,
	// and a list may include them already.
	OnChange func(Event)
	// Relist is the interval between lists if nothing fails. A list finds the
	// changes that a watch has dropped. Zero means 5 min.
	Relist time.Duration
	// MaxBackoff is the longest wait after an error. Zero means 5 s.
	MaxBackoff time.Duration
	// OnError, if not nil, is called with each error.
	OnError func(error)
}

const (
	defaultRelist = 5 * time.Minute
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
)

// Backoff returns the wait before retry n after an error, with n from 0. It doubles
// from 100 ms up to 5 s, and is drawn from the upper half of that, so that many
// processes don't retry at once. It is no shorter than the Retry-After of err.
func Backoff(n int, err error) time.Duration {
	d := min(maxBackoff, minBackoff<<min(n, 10))
	d = d/2 + rand.N(d/2)
	if e, ok := errors.AsType[*Error](err); ok {
		d = max(d, e.RetryAfter)
	}
	return d
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var failures int
	for ctx.Err() == nil {
		began := time.Now()
		err := f.round(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > maxBackoff {
			failures = 0
		}
		if err == nil {
			continue
		}
		if f.OnError != nil {
			f.OnError(err)
		}
		wait := Backoff(failures, err)
		if f.MaxBackoff > 0 {
			wait = min(wait, f.MaxBackoff/2+rand.N(f.MaxBackoff/2))
		}
		sleep.For(ctx, wait)
		failures++
	}
}

// round lists once and watches until a watch fails or it is time to list
// again.
func (f *Follower) round(ctx context.Context) error {
	list, err := f.API.List(ctx, f.Kind)
	if err != nil {
		return err
	}
	f.OnList(list)
	version := list.Metadata.ResourceVersion
	relist := f.Relist
	if relist == 0 {
		relist = defaultRelist
	}
	until := time.Now().Add(relist + rand.N(relist/4))
	for time.Now().Before(until) && ctx.Err() == nil {
		began := time.Now()
		err := f.API.Watch(ctx, f.Kind, version, func(e Event) {
			if versionOrZero(version).Less(versionOrZero(e.Object.Metadata.ResourceVersion)) {
				version = e.Object.Metadata.ResourceVersion
			}
			f.OnChange(e)
		})
		if IsGone(err) {
			return nil
		}
		if err != nil {
			return err
		}
		if time.Since(began) < minBackoff {
			sleep.For(ctx, minBackoff)
		}
	}
	return nil
}
