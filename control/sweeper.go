// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"math/rand/v2"
	"time"

	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
)

const (
	// removeEvery and removeShare bound the removals: a node removes no more than
	// this part of those that it knows in that time, as a part of the network that is
	// cut off looks like many dead nodes.
	removeEvery = 10 * time.Minute
	removeShare = 0.05
)

// sweeper removes the nodes of a zone that are silent for long. One node of each
// zone sweeps: its representative, or its first node where there are no representatives.
type sweeper struct {
	*Control
	liveness member.FailureDetector
}

func newSweeper(c *Control) *sweeper {
	return &sweeper{
		Control: c,
		liveness: member.FailureDetector{
			SilenceTimeout:  c.Timing.SilenceTimeout,
			RemovalWindow:   removeEvery,
			MaxRemovalShare: removeShare,
		},
	}
}

// runAsFirst sweeps while this node is its zone's first node, until ctx ends.
func (s *sweeper) runAsFirst(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, s.Timing.Sweep)
		s.turn(ctx)
	}
}

// turn makes a round if this node is its zone's first node.
func (s *sweeper) turn(ctx context.Context) {
	if !s.IsFirstInZone() {
		s.liveness.Reset()
		return
	}
	s.round(ctx)
}

// run sweeps until ctx ends.
func (s *sweeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.round(ctx)
	}
}

// round asks the nodes of the zone in turn for a sign of life, and removes those
// that are silent for long.
func (s *sweeper) round(ctx context.Context) {
	var near []member.Record
	s.do(func() { near, _ = s.split() })
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	pause := s.Timing.Sweep / time.Duration(len(near)+1)
	for _, r := range near {
		sleep.For(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		s.check(ctx, r)
	}
	s.remove(len(near) + 1)
	sleep.For(ctx, pause)
}

// check asks one node for a sign of life.
func (s *sweeper) check(ctx context.Context, r member.Record) {
	var p *peer.Client
	s.do(func() { p = s.client(r.Addr) })
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	if _, err := peer.Ask[struct{}, roots](ctx, p, topicRoots, struct{}{}); err == nil {
		s.liveness.MarkAlive(r.ID)
	} else if ctx.Err() != context.Canceled {
		s.liveness.MarkSilent(r.ID, time.Now())
	}
}

// remove removes the nodes that are due.
func (s *sweeper) remove(known int) {
	for _, id := range s.liveness.TakeRemovals(known, time.Now()) {
		s.do(func() {
			if r, ok := s.members.Set.Get(id); ok && r.Live() {
				s.Log.Warn().Str("node", id).Msg("node removed after long silence")
				s.members.Put(r.Tombstone())
			}
		})
	}
}
