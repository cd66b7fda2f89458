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

// candidateCount is the number of nodes of a zone that compete for its lease: the first ones in
// an order that all nodes compute alike. The other nodes make no calls to the platform.
const candidateCount = 3

// Node is the control state of a Representative's node. Its methods are safe for
// concurrent use.
type Node interface {
	// Self returns the node's own record.
	Self() member.Record
	// Rank returns the node's rank among the nodes of its zone that may represent it, from 0,
	// and the number of the zone's nodes.
	Rank() (rank, nodes int)
	// ProbeCandidates probes the candidates before this node.
	ProbeCandidates(ctx context.Context)
	// Knows returns whether the node knows any other node and, if id is not empty, that one.
	Knows(id string) bool
	// FetchState fetches the state of the first of the addresses that responds, and returns
	// whether one did.
	FetchState(ctx context.Context, addrs []string) bool
	// Addresses returns up to n peer addresses, of this node and of others in its zone.
	Addresses(n int) []string
	// ZonePeers returns the other live nodes of the zone, and ZoneSize their number plus one.
	ZonePeers() []member.Record
	ZoneSize() int
	// OtherZones returns the names of the other zones with live nodes.
	OtherZones() []string
	// Sweep removes silent nodes of the zone until ctx ends.
	Sweep(ctx context.Context)

	// ActiveServices returns the names of the active services, and HostOwner the name of the
	// service that has a host, or "".
	ActiveServices() map[string]bool
	HostOwner(host string) string
	// ApplyConfig applies a configuration that has been accepted.
	ApplyConfig(c acceptance.Config)
	// Sequence returns the active sequence of a service, and SequenceAt that on another node.
	Sequence(service string) uint64
	SequenceAt(ctx context.Context, r member.Record, service string) (uint64, error)
	// Upstreams returns the number of upstreams of a service in the zone.
	Upstreams(service string) int
}

// Representative holds its zone's lease whenever it can acquire it. The exported fields must be
// set before Run.
type Representative struct {
	// Node is the node's control state, and Zone its availability zone.
	Node Node
	Zone string
	// API is the platform.
	API objectapi.API
	// Lease is the duration of the lease.
	Lease time.Duration
	// ZoneDiscovery is the interval at which the representative looks for unknown zones.
	ZoneDiscovery time.Duration
	// TakeoverDelay is the wait for each zone that ranks before its own in accepting a change.
	TakeoverDelay time.Duration
	// Log receives the log events.
	Log zerolog.Logger

	holds atomic.Bool
}

// HoldsLease returns whether the node holds its zone's lease, as far as it knows.
func (r *Representative) HoldsLease() bool { return r.holds.Load() }

// Run acquires the lease whenever possible, and does the work while holding it, until ctx ends.
func (r *Representative) Run(ctx context.Context) {
	l := lease{Representative: r}
	for ctx.Err() == nil {
		rank, nodes := r.Node.Rank()
		switch {
		case rank < candidateCount:
			if l.acquire(ctx) {
				l.hold(ctx)
			}
		case rand.IntN(nodes) < candidateCount:
			r.Node.ProbeCandidates(ctx)
		}
		// The first in the order checks most often, so that the others find
		// the lease renewed.
		pause := r.Lease * time.Duration(1+min(rank, candidateCount-1))
		sleep.For(ctx, pause-rand.N(pause/4))
	}
}
