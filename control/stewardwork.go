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
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/peer"
)

// stewardWork is what the steward of a zone does while it holds the lease.
type stewardWork struct {
	*Control
	acceptor *acceptor
	reporter *reporter
	liveness member.Liveness
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
		liveness: member.Liveness{
			Patience: c.Timing.Patience,
			Every:    10 * time.Minute,
			MaxShare: 0.05,
		},
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
	all.Go(func() { s.sweep(ctx) })
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

// sweep asks the nodes of the zone in turn for a sign of life, and removes those
// that are silent for long.
func (s *stewardWork) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		var near []member.Record
		s.do(func() { near, _ = s.split() })
		rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
		pause := s.Timing.Sweep / time.Duration(len(near)+1)
		for _, r := range near {
			sleep(ctx, pause)
			if ctx.Err() != nil {
				return
			}
			s.check(ctx, r)
		}
		s.remove(len(near) + 1)
		sleep(ctx, pause)
	}
}

// check asks one node for a sign of life.
func (s *stewardWork) check(ctx context.Context, r member.Record) {
	var p *peer.Client
	s.do(func() { p = s.client(r.Addr) })
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	if _, err := ask[struct{}, roots](ctx, p, topicRoots, struct{}{}); err == nil {
		s.liveness.Heard(r.ID)
	} else if ctx.Err() != context.Canceled {
		s.liveness.Missed(r.ID, time.Now())
	}
}

// remove removes the nodes that are due.
func (s *stewardWork) remove(known int) {
	for _, id := range s.liveness.Due(known, time.Now()) {
		s.do(func() {
			if r, ok := s.members.set.Get(id); ok && r.Live() {
				s.Log.Warn().Str("node", id).Msg("node removed after long silence")
				s.members.put(r.Tombstone())
			}
		})
	}
}

// claimSweep is the time between two deletions of claims whose time is over.
const claimSweep = time.Hour

// sweepClaims deletes the claims whose time is over, now and then. The steward
// of the zone that comes first does so for all.
func (s *stewardWork) sweepClaims(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, claimSweep/2+rand.N(claimSweep))
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
		sleep(ctx, pause/2+rand.N(pause/2))
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
