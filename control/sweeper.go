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
	removalWindow   = 10 * time.Minute
	maxRemovalShare = 0.05
)

// sweeper removes the nodes of a zone that are silent for long. One node of each
// zone sweeps: its representative, or its first node where there are no representatives.
type sweeper struct {
	*Control
	detector member.FailureDetector
}

func newSweeper(c *Control) *sweeper {
	return &sweeper{
		Control: c,
		detector: member.FailureDetector{
			SilenceTimeout:  c.Timing.SilenceTimeout,
			RemovalWindow:   removalWindow,
			MaxRemovalShare: maxRemovalShare,
		},
	}
}

// runAsFirst sweeps while this node is its zone's first node, until ctx ends.
func (s *sweeper) runAsFirst(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, s.Timing.Sweep)
		s.roundIfFirst(ctx)
	}
}

// turn makes a round if this node is its zone's first node.
func (s *sweeper) roundIfFirst(ctx context.Context) {
	if !s.IsFirstInZone() {
		s.detector.Reset()
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
	s.do(func() { near, _ = s.splitByZone() })
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	pause := s.Timing.Sweep / time.Duration(len(near)+1)
	for _, r := range near {
		sleep.For(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		s.probe(ctx, r)
	}
	s.remove(len(near) + 1)
	sleep.For(ctx, pause)
}

// check asks one node for a sign of life.
func (s *sweeper) probe(ctx context.Context, r member.Record) {
	var p *peer.Client
	s.do(func() { p = s.client(r.Addr) })
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	if _, err := peer.Ask[struct{}, rootHashes](ctx, p, topicRoots, struct{}{}); err == nil {
		s.detector.MarkAlive(r.ID)
	} else if ctx.Err() != context.Canceled {
		s.detector.MarkSilent(r.ID, time.Now())
	}
}

// remove removes the nodes that are due.
func (s *sweeper) remove(known int) {
	for _, id := range s.detector.TakeRemovals(known, time.Now()) {
		s.do(func() {
			if r, ok := s.members.Set.Get(id); ok && r.Live() {
				s.Log.Warn().Str("node", id).Msg("node removed after long silence")
				s.members.Put(r.Tombstone())
			}
		})
	}
}
