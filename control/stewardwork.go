// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

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

// stewardWork is what the steward of a zone does while it holds the lease.
type stewardWork struct {
	*Control
	acceptor *acceptor
	reporter *reporter
	sweeper  *sweeper
}

// minBridge is how often a steward looks for other zones while it knows of
// none.
const minBridge = 2 * time.Second

func newStewardWork(c *Control) *stewardWork {
	r := newReporter(c)
	return &stewardWork{
		Control:  c,
		reporter: r,
		acceptor: newAcceptor(c, r),
		sweeper:  newSweeper(c),
	}
}

// run does the work until ctx ends.
func (s *stewardWork) run(ctx context.Context) {
	failed := func(err error) { s.Log.Warn().Err(err).Msg("platform watch failed") }
	services := &objectapi.Follower{
		API:     s.API,
		Kind:    operator.KindService,
		Listed:  s.acceptor.listed,
		Changed: s.acceptor.changed,
		Failed:  failed,
	}
	accepted := &objectapi.Follower{
		API:     s.API,
		Kind:    operator.KindAccepted,
		Listed:  s.acceptedListed,
		Changed: func(e objectapi.Event) { s.learnAccepted(e.Object) },
		Failed:  failed,
	}
	var all sync.WaitGroup
	all.Go(func() { services.Run(ctx) })
	all.Go(func() { accepted.Run(ctx) })
	all.Go(func() { s.acceptor.run(ctx) })
	all.Go(func() { s.reporter.run(ctx) })
	all.Go(func() { s.sweeper.run(ctx) })
	all.Go(func() { s.bridge(ctx) })
	all.Go(func() { s.sweepClaims(ctx) })
	all.Wait()
}

func (s *stewardWork) acceptedListed(l *objectapi.List) {
	for _, o := range l.Items {
		s.learnAccepted(o)
	}
}

// learnAccepted takes in an Accepted object of the platform.
func (s *stewardWork) learnAccepted(o *objectapi.Object) {
	if err := s.acceptor.learn(o); err != nil {
		s.Log.Error().Err(err).Msg("accepted object can't be read")
	}
}

// claimSweep is the time between two deletions of claims whose time is over.
const claimSweep = time.Hour

// sweepClaims deletes the claims whose time is over, now and then. The steward
// of the zone that comes first does so for all.
func (s *stewardWork) sweepClaims(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, claimSweep/2+rand.N(claimSweep))
		if ctx.Err() != nil || s.acceptor.turn(operator.KindClaim) > 0 {
			continue
		}
		if n, err := claim.Sweep(ctx, s.API, time.Now()); err != nil {
			s.Log.Warn().Err(err).Msg("sweep of claims failed")
		} else if n > 0 {
			s.Log.Info().Int("deleted", n).Msg("claims swept")
		}
	}
}

// bridge compares the state with a node of each zone now and then, by the
// contacts that the stewards leave on the platform. It joins what a cut has
// parted, and zones that start at the same time.
func (s *stewardWork) bridge(ctx context.Context) {
	for ctx.Err() == nil {
		known := s.bridgeOnce(ctx)
		pause := s.Timing.Bridge
		if known == 0 {
			pause = min(pause, minBridge)
		}
		sleep.For(ctx, pause/2+rand.N(pause/2))
	}
}

// bridgeOnce returns the number of other zones that it found a node of.
func (s *stewardWork) bridgeOnce(ctx context.Context) int {
	l, err := s.API.List(ctx, operator.KindSteward)
	if err != nil {
		return 0
	}
	var found int
	for _, o := range l.Items {
		if o.Metadata.Name == s.Self.Zone {
			continue
		}
		spec, err := objectapi.SpecOf[operator.Steward](o)
		if err == nil && s.learnFrom(ctx, spec.Contacts[:min(1, len(spec.Contacts))]) {
			found++
		}
	}
	return found
}
