// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package gate

import (
	"time"

	"sassafrasfront.example/admit"
	"sassafrasfront.example/peer"
)

// Load returns the present load of the upstream.
func (g *Gate) Load() admit.Report { return g.admit.Report() }

// LoadAge returns how long ago the upstream last reported its speed.
func (g *Gate) LoadAge() time.Duration { return g.admit.SlowdownAge() }

// Report returns the load that is reported to peers.
func (g *Gate) Report() *peer.Report {
	r := g.admit.Report()
	var rate float64
	var backlog int
	if g.LinkLoad != nil {
		rate, backlog = g.LinkLoad()
	}
	return &peer.Report{
		LinkBandwidth: rate,
		BacklogBytes:  backlog,

		Running:      r.Running,
		Waiting:      r.Waiting,
		Slots:        r.Allowed,
		ServiceTime:  r.ServiceTime,
		Draining:     r.Draining,
		Slowdown:     r.Slowdown,
		FailureRatio: r.FailureRatio,
		Limited:      r.Limited,
		Limit:        r.Limit,
		LimitUsed:    r.LimitUsed,
		LimitWait:    r.LimitWait,
	}
}

// reportFor returns a load report if the node should get one now, or nil.
func (g *Gate) reportFor(node string) *peer.Report {
	if g.Reports == nil || !g.Reports.Allow(node) {
		return nil
	}
	return g.Report()
}
