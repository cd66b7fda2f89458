// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package representative

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/internal/sleep"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
)

// candidates is the number of nodes of a zone that look after its lease: the first ones in
// an order that all nodes find alike. The others make no calls to the platform at all.
const candidates = 3

// Node is what a Representative needs of its node's control state. The methods may be called
// from any goroutine.
type Node interface {
	// Self returns the node's own record.
	Self() member.Record
	// Rank returns the node's place among those of its zone that may represent it, from 0,
	// and the number of the zone's nodes.
	Rank() (rank, nodes int)
	// ProbeCandidates asks the candidates before this node for a sign of life.
	ProbeCandidates(ctx context.Context)
	// Knows returns whether the node knows any other and, if id is not empty, that one.
	Knows(id string) bool
	// LearnFrom learns from the first of some addresses that answers, and returns whether one did.
	LearnFrom(ctx context.Context, addrs []string) bool
	// Addresses returns the peer addresses of this node and of others in its zone, n at most.
	Addresses(n int) []string
	// Others returns the other live nodes of the zone, and Nodes their number and this one.
	ZonePeers() []member.Record
	ZoneSize() int
	// OtherZones returns the names of the other zones with live nodes.
	OtherZones() []string
	// Sweep removes silent nodes of the zone until ctx ends.
	Sweep(ctx context.Context)

	// InForce returns the names of the services in force, and HostOwner that of the one that
	// has a host, or "".
	ActiveServices() map[string]bool
	HostOwner(host string) string
	// PutInForce takes in a configuration that has been accepted.
	ApplyConfig(c acceptance.Config)
	// Sequence returns the sequence in force of a service, and SequenceAt that at another node.
	Sequence(service string) uint64
	SequenceAt(ctx context.Context, r member.Record, service string) (uint64, error)
	// Upstreams returns how many upstreams of a service the zone has.
	Upstreams(service string) int
}

// Representative holds its zone's lease whenever it can get it. The exported fields are set
// before Run.
type Representative struct {
	// Node is the control state, and Zone the node's availability zone.
	Node Node
	Zone string
	// API is the platform.
	API objectapi.API
	// Lease is the duration of the lease.
	Lease time.Duration
	// Bridge is the time after which other zones are looked for that have been lost.
	ZoneDiscovery time.Duration
	// Takeover is the wait for each of those that come before in accepting a change.
	TakeoverDelay time.Duration
	// Log takes the events.
	Log zerolog.Logger

	holds atomic.Bool
}

// Holds returns whether the node holds its zone's lease, as far as it knows.
func (r *Representative) HoldsLease() bool { return r.holds.Load() }

// Run holds the lease whenever it can be had, and does the work meanwhile, until ctx ends.
func (r *Representative) Run(ctx context.Context) {
	l := lease{Representative: r}
	for ctx.Err() == nil {
		rank, nodes := r.Node.Rank()
		switch {
		case rank < candidates:
			if l.acquire(ctx) {
				l.hold(ctx)
			}
		case rand.IntN(nodes) < candidates:
			r.Node.ProbeCandidates(ctx)
		}
		// The first in the order comes back soonest, so that those after it find
		// the lease renewed.
		pause := r.Lease * time.Duration(1+min(rank, candidates-1))
		sleep.For(ctx, pause-rand.N(pause/4))
	}
}
