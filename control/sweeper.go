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
	// removalWindow and maxRemovalShare bound the removals: within the window, a node removes
	// at most this fraction of the nodes that it knows, because a network partition looks
	// like many failed nodes.
	removalWindow   = 10 * time.Minute
	maxRemovalShare = 0.05
)

// sweeper probes the nodes of a zone and removes those that have been silent for too long. One node
// of each zone sweeps: its representative, or its first node where there are no representatives.
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

// runAsFirst sweeps while this node is the first node of its zone, until ctx ends.
func (s *sweeper) runAsFirst(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, s.Timing.Sweep)
		s.roundIfFirst(ctx)
	}
}

// roundIfFirst makes a round if this node is the first node of its zone.
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

// round probes the nodes of the zone in turn, and removes those that have been silent for too
// long.
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

// probe sends a request to one node and records whether it responded.
func (s *sweeper) probe(ctx context.Context, r member.Record) {
	var p *peer.Client
	s.do(func() { p = s.client(r.Addr) })
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	if _, err := peer.SendRequest[struct{}, rootHashes](ctx, p, topicRoots, struct{}{}); err == nil {
		s.detector.MarkAlive(r.ID)
	} else if ctx.Err() != context.Canceled {
		s.detector.MarkSilent(r.ID, time.Now())
	}
}

// remove removes the nodes that the failure detector selects.
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
