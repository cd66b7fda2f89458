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

// work is the work of a zone's representative while it holds the lease.
type work struct {
	*Representative
	acceptor *acceptor
	reporter *reporter
}

// minDiscovery is the interval at which a representative looks for other zones while it knows
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
		API:      w.API,
		Kind:     operator.KindService,
		OnList:   w.acceptor.listed,
		OnChange: w.acceptor.changed,
		OnError:  failed,
	}
	accepted := &objectapi.Follower{
		API:      w.API,
		Kind:     operator.KindAccepted,
		OnList:   w.acceptedListed,
		OnChange: func(e objectapi.Event) { w.applyAccepted(e.Object) },
		OnError:  failed,
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
		w.applyAccepted(o)
	}
}

// applyAccepted handles an Accepted object of the platform.
func (w *work) applyAccepted(o *objectapi.Object) {
	if err := w.acceptor.apply(o); err != nil {
		w.Log.Error().Err(err).Msg("invalid Accepted object")
	}
}

// claimSweep is the mean interval between deletions of expired claims.
const claimSweep = time.Hour

// sweepClaims periodically deletes expired claims. Only the representative
// of the first zone does so.
func (w *work) sweepClaims(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, claimSweep/2+rand.N(claimSweep))
		if ctx.Err() != nil || w.acceptor.takeoverDelay(operator.KindClaim) > 0 {
			continue
		}
		if n, err := claim.Sweep(ctx, w.API, time.Now()); err != nil {
			w.Log.Warn().Err(err).Msg("failed to delete expired claims")
		} else if n > 0 {
			w.Log.Info().Int("deleted", n).Msg("expired claims deleted")
		}
	}
}

// discoverZones periodically compares the state with one node of each zone, using the
// contacts in the leases of the representatives. It reunites the nodes after a network
// partition, and zones that start at the same time.
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

// discoverOnce looks for other zones once, and returns the number of those of which a node
// responded.
func (w *work) discoverOnce(ctx context.Context) int {
	l, err := w.API.List(ctx, operator.KindRepresentative)
	if err != nil {
		w.Log.Debug().Err(err).Msg("failed to list leases")
		return 0
	}
	var found int
	for _, o := range l.Items {
		if o.Metadata.Name == w.Zone {
			continue
		}
		spec, err := objectapi.DecodeSpec[operator.Representative](o)
		if err == nil && w.Node.FetchState(ctx, spec.Contacts[:min(1, len(spec.Contacts))]) {
			found++
		}
	}
	return found
}
