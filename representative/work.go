// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package representative

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfront.example/claim"
	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
)

// work is what the representative of a zone does while it holds the lease.
type work struct {
	*Representative
	acceptor *acceptor
	reporter *reporter
}

// minBridge is how often a representative looks for other zones while it knows of
// none.
const minDiscovery = 2 * time.Second

func newWork(of *Representative) *work {
	r := newReporter(of)
	return &work{
		Representative: of,
		reporter:       r,
		acceptor:       newAcceptor(of, r),
	}
}

// run does the work until ctx ends.
func (w *work) run(ctx context.Context) {
	failed := func(err error) { w.Log.Warn().Err(err).Msg("platform watch failed") }
	services := &objectapi.Follower{
		API:     w.API,
		Kind:    operator.KindService,
		Listed:  w.acceptor.listed,
		Changed: w.acceptor.changed,
		Failed:  failed,
	}
	accepted := &objectapi.Follower{
		API:     w.API,
		Kind:    operator.KindAccepted,
		Listed:  w.acceptedListed,
		Changed: func(e objectapi.Event) { w.learnAccepted(e.Object) },
		Failed:  failed,
	}
	var all sync.WaitGroup
	all.Go(func() { services.Run(ctx) })
	all.Go(func() { accepted.Run(ctx) })
	all.Go(func() { w.acceptor.run(ctx) })
	all.Go(func() { w.reporter.run(ctx) })
	all.Go(func() { w.Node.Sweep(ctx) })
	all.Go(func() { w.discoverZones(ctx) })
	all.Go(func() { w.sweepClaims(ctx) })
	all.Wait()
}

func (w *work) acceptedListed(l *objectapi.List) {
	for _, o := range l.Items {
		w.learnAccepted(o)
	}
}

// learnAccepted takes in an Accepted object of the platform.
func (w *work) learnAccepted(o *objectapi.Object) {
	if err := w.acceptor.learn(o); err != nil {
		w.Log.Error().Err(err).Msg("accepted object can't be read")
	}
}

// claimSweep is the time between two deletions of claims whose time is over.
const claimSweep = time.Hour

// sweepClaims deletes the claims whose time is over, now and then. The representative
// of the zone that comes first does so for all.
func (w *work) sweepClaims(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, claimSweep/2+rand.N(claimSweep))
		if ctx.Err() != nil || w.acceptor.takeoverDelay(operator.KindClaim) > 0 {
			continue
		}
		if n, err := claim.Sweep(ctx, w.API, time.Now()); err != nil {
			w.Log.Warn().Err(err).Msg("sweep of claims failed")
		} else if n > 0 {
			w.Log.Info().Int("deleted", n).Msg("claims swept")
		}
	}
}

// bridge compares the state with a node of each zone now and then, by the
// contacts that the representatives leave on the platform. It joins what a cut has
// parted, and zones that start at the same time.
func (w *work) discoverZones(ctx context.Context) {
	for ctx.Err() == nil {
		known := w.discoverOnce(ctx)
		pause := w.ZoneDiscovery
		if known == 0 {
			pause = min(pause, minDiscovery)
		}
		sleep.For(ctx, pause/2+rand.N(pause/2))
	}
}

// bridgeOnce returns the number of other zones that it found a node of.
func (w *work) discoverOnce(ctx context.Context) int {
	l, err := w.API.List(ctx, operator.KindRepresentative)
	if err != nil {
		w.Log.Debug().Err(err).Msg("leases not read")
		return 0
	}
	var found int
	for _, o := range l.Items {
		if o.Metadata.Name == w.Zone {
			continue
		}
		spec, err := objectapi.SpecOf[operator.Representative](o)
		if err == nil && w.Node.LearnFrom(ctx, spec.Contacts[:min(1, len(spec.Contacts))]) {
			found++
		}
	}
	return found
}
