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

// tally returns that of an organisation with a limit. The lock is held.
func (l *Limiter) tallyOf(name string) *tally {
	t := l.tallies[name]
	if t == nil {
		t = new(tally)
		if _, ok := l.limits[name]; ok { // it may have gone since
			l.tallies[name] = t
		}
	}
	return t
}

// Usage is what a node knows of an organisation's requests.
type Usage struct {
	Organisation string
	Limit        quota.Limit
	// Here and All are the requests a second that this node and all nodes have let in
	// lately. All is 0 if the home does not say.
	LocalRate, TotalRate float64
	// Limited and Unknown are the requests that this node has refused: beyond the limit,
	// or as no home has answered.
	Limited, Unknown uint64
}

// Usages returns at most so many of the organisations with a limit, those with most refused
// first, and then by rate. It asks the home for the rates of all nodes.
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
		l.Log.Debug().Err(err).Msg("rates of organisations not told")
	}
	for i := range min(len(rates), len(list)) {
		list[i].TotalRate = rates[i]
	}
	return list
}

// usages returns what is known here of the organisations with a limit, in the order of their
// names.
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
	// RatesTopic is the topic of the control requests that ask a home for the rates of all
	// nodes.
	RatesTopic = "quotaRates"
	// maxRates bounds the organisations in one.
	maxRates = 1000
)

// ratesOfAll returns the requests a second of some organisations at all nodes.
func (l *Limiter) totalRates(ctx context.Context, names []string) (rates []float64, err error) {
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	c := l.clients.Get(current)
	if current == l.Hello.Node || c == nil {
		return l.grantedRates(names), nil
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return peer.Ask[[]string, []float64](ctx, c, RatesTopic, names)
}

// HandleRates answers another node that asks for rates.
func (l *Limiter) HandleRates(_ peer.Hello, payload []byte) ([]byte, error) {
	l.init()
	names, err := peer.Unpack[[]string](payload)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(l.grantedRates(names[:min(len(names), maxRates)]))
}

// rates returns the requests a second that this node has granted lately.
func (l *Limiter) grantedRates(names []string) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	list := make([]float64, 0, len(names))
	for _, name := range names {
		list = append(list, l.coordinator.Rate(name, now))
	}
	return list
}

// State is what a node knows of rate limits as a whole.
type State struct {
	// Home is the home that the node asks.
	Coordinator string
	// Nodes is the number of nodes among which the rights are divided.
	Nodes int
	// Rights and Share are the rights that this node holds as a home, and their part of all.
	HeldShares   int
	HeldFraction float64
	// Waiting is the number of requests that wait for a home.
	Waiting int
	// Answered and Unanswered are the exchanges with homes, and Taken those that this node
	// has answered as one, since the start.
	Answered, Unanswered, Served uint64
}

// State returns the present one.
func (l *Limiter) State() State {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := State{
		Coordinator: l.current,
		Nodes:       l.nodeEstimate.Nodes(now),
		Waiting:     l.limiter.Waiting(),
		Answered:    l.responded,
		Unanswered:  l.failed,
		Served:      l.served,
	}
	s.HeldShares, s.HeldFraction = l.coordinator.HeldShares(now)
	return s
}
