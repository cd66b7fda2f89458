// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ratelimit

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/quota"
)

// tally counts an organisation's requests at this node.
type tally struct {
	admitted                  quota.RateMeter
	granted, limited, unknown uint64
}

// count counts a decision.
func (t *tally) count(d quota.Decision, now time.Duration) {
	switch {
	case d.Granted:
		t.granted++
		t.admitted.Add(1, now)
	case d.Unknown:
		t.unknown++
	default:
		t.limited++
	}
}

// tallyOf returns the tally of an organisation with a limit. The lock is held.
func (l *Limiter) tallyOf(name string) *tally {
	t := l.tallies[name]
	if t == nil {
		t = new(tally)
		if _, ok := l.limits[name]; ok { // the limit may have been removed since
			l.tallies[name] = t
		}
	}
	return t
}

// Usage is what a node knows about an organisation's requests.
type Usage struct {
	Organisation string
	Limit        quota.Limit
	// LocalRate and TotalRate are the requests per second that this node and all nodes have
	// admitted recently. TotalRate is 0 if the coordinator does not report it.
	LocalRate, TotalRate float64
	// Limited and Unknown count the requests that this node has refused because they were over
	// the limit, or because no coordinator responded.
	Limited, Unknown uint64
}

// Usages returns the usage of organisations with a limit, up to the given number, where those
// with the most refused requests and then the highest rates come first. It asks the coordinator
// for the rates of all nodes.
func (l *Limiter) Usages(ctx context.Context, limit int) []Usage {
	l.init()
	list := l.usages()
	slices.SortStableFunc(list, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Limited+b.Unknown, a.Limited+a.Unknown), cmp.Compare(b.LocalRate, a.LocalRate))
	})
	list = list[:min(len(list), limit, maxRates)]
	names := make([]string, 0, len(list))
	for _, u := range list {
		names = append(names, u.Organisation)
	}
	rates, err := l.totalRates(ctx, names)
	if err != nil {
		l.Log.Debug().Err(err).Msg("rates of organisations not received")
	}
	for i := range min(len(rates), len(list)) {
		list[i].TotalRate = rates[i]
	}
	return list
}

// usages returns what this node knows about the organisations with a limit, in the order of
// their names.
func (l *Limiter) usages() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	list := make([]Usage, 0, len(l.limits))
	for _, name := range slices.Sorted(maps.Keys(l.limits)) {
		u := Usage{
			Organisation: name,
			Limit:        l.limits[name],
		}
		if t := l.tallies[name]; t != nil {
			u.LocalRate = t.admitted.Rate(now)
			u.Limited = t.limited
			u.Unknown = t.unknown
		}
		list = append(list, u)
	}
	return list
}

const (
	// RatesTopic is the topic of the control requests that ask a coordinator for the rates of
	// all nodes.
	RatesTopic = "quotaRates"
	// maxRates bounds the number of organisations in one.
	maxRates = 1000
)

// totalRates returns the requests per second of some organisations at all nodes.
func (l *Limiter) totalRates(ctx context.Context, names []string) (rates []float64, err error) {
	l.mu.Lock()
	coordinatorID := l.coordinatorID
	l.mu.Unlock()
	c := l.clients.Get(coordinatorID)
	if coordinatorID == l.Hello.Node || c == nil {
		return l.grantedRates(names), nil
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return peer.SendRequest[[]string, []float64](ctx, c, RatesTopic, names)
}

// HandleRates handles another node's request for rates.
func (l *Limiter) HandleRates(_ peer.Hello, payload []byte) ([]byte, error) {
	l.init()
	names, err := peer.Unpack[[]string](payload)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(l.grantedRates(names[:min(len(names), maxRates)]))
}

// grantedRates returns the requests per second that this node has granted recently.
func (l *Limiter) grantedRates(names []string) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	list := make([]float64, 0, len(names))
	for _, name := range names {
		list = append(list, l.localCoordinator.Rate(name, now))
	}
	return list
}

// State is what a node knows about rate limiting as a whole.
type State struct {
	// Coordinator is the coordinator that the node uses.
	Coordinator string
	// Nodes is the number of nodes among which rate limits are divided.
	Nodes int
	// HeldShares is the number of shares that this node holds as a coordinator, and
	// HeldFraction the fraction that they are of all shares.
	HeldShares   int
	HeldFraction float64
	// Waiting is the number of requests that wait for a coordinator.
	Waiting int
	// Responded and Failed count the exchanges with coordinators that succeeded and that
	// failed, and Served the requests that this node has handled as a coordinator, since the
	// start.
	Responded, Failed, Served uint64
}

// State returns the present state.
func (l *Limiter) State() State {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := State{
		Coordinator: l.coordinatorID,
		Nodes:       l.nodeEstimate.Nodes(now),
		Waiting:     l.limiter.Waiting(),
		Responded:   l.responded,
		Failed:      l.failed,
		Served:      l.served,
	}
	s.HeldShares, s.HeldFraction = l.localCoordinator.HeldShares(now)
	return s
}
