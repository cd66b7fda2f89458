// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ratelimit

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/peer"
	"sassafrasfront.example/quota"
)

const (
	// Topic is the topic of the control requests to a coordinator.
	Topic = "quota"
	// exchangeTimeout bounds one exchange with a coordinator. An instance whose CPU quota has
	// a period of 100 ms responds within that.
	exchangeTimeout = 250 * time.Millisecond
	// clientIdleTimeout is how long an unused connection to a coordinator is kept.
	clientIdleTimeout = 30 * time.Second
	// maxClients bounds the connections to coordinators.
	maxClients = 8
)

// Run requests the tokens that requests need from coordinators, and keeps the node's share
// delegated, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.init()
	defer l.clients.Close()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		if !l.active.Load() {
			continue
		}
		l.step(ctx)
		t.Reset(l.pause(ctx))
	}
}

// pause waits until the next exchange may begin, and returns the time until one has to.
func (l *Limiter) pause(ctx context.Context) time.Duration {
	l.mu.Lock()
	gap := exchangeGap
	if l.undecided {
		gap = undecidedGap
	}
	l.mu.Unlock()
	t := time.NewTimer(gap)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter.Waiting() > 0 {
		return 0
	}
	return l.limiter.NextRenewal(l.now())
}

// step makes one exchange with a coordinator.
func (l *Limiter) step(ctx context.Context) {
	members := l.Members()
	candidates := l.chooseCandidates()
	l.mu.Lock()
	now := l.now()
	l.nodeEstimate.Observe(members, now)
	l.limiter.SetNodes(l.nodeEstimate.Nodes(now))
	ids := make([]string, 0, len(candidates)+1)
	for _, candidate := range candidates {
		ids = append(ids, candidate.ID)
	}
	coordinator, probe := l.limiter.ChooseCoordinator(append(ids, l.Hello.Node), now)
	if probe != "" && !l.probing {
		l.probing = true
		r := l.limiter.ProbeRequest(probe, now)
		go func() {
			l.exchange(ctx, probe, r, now)
			l.mu.Lock()
			l.probing = false
			l.mu.Unlock()
		}()
	}
	var r *quota.Request
	if previous := l.limiter.PreviousHolder(now); previous != "" {
		coordinator = previous
		r = l.limiter.ProbeRequest(coordinator, now)
	} else {
		r = l.limiter.NextRequest(coordinator, now)
		l.setCoordinator(coordinator)
	}
	l.mu.Unlock()
	l.exchange(ctx, coordinator, r, now)
}

// setCoordinator records the coordinator in use, and logs a change. The lock is held.
func (l *Limiter) setCoordinator(coordinator string) {
	if coordinator != l.coordinatorID {
		l.Log.Info().Str("home", coordinator).Str("before", l.coordinatorID).Int("nodes", l.nodeEstimate.Nodes(l.now())).Msg("coordinator of rate limits changed")
		l.coordinatorID = coordinator
	}
}

// chooseCandidates returns the nodes to choose a coordinator from.
func (l *Limiter) chooseCandidates() []Peer {
	now := l.now()
	interval := candidatesInterval
	if now < startupTime {
		interval = startupCandidatesInterval
	}
	if l.candidates == nil || now-l.candidatesAt >= interval {
		l.candidates = l.Coordinators()
		l.candidatesAt = now
		l.connect(l.candidates)
		ids := make([]string, 0, len(l.candidates))
		for _, candidate := range l.candidates {
			ids = append(ids, candidate.ID)
		}
		l.mu.Lock()
		l.limiter.Retain(append(ids, l.Hello.Node))
		l.mu.Unlock()
	}
	return l.candidates
}

// connect creates a client for each of the given nodes, and bounds the number of others.
func (l *Limiter) connect(candidates []Peer) {
	for _, candidate := range candidates {
		l.clients.GetOrCreate(candidate.ID, candidate.Addr)
	}
	l.clients.Prune(maxClients, func(node string) bool {
		return slices.ContainsFunc(candidates, func(candidate Peer) bool { return candidate.ID == node })
	})
}

// exchange sends a Request and handles its Response.
func (l *Limiter) exchange(ctx context.Context, coordinator string, r *quota.Request, sent time.Duration) {
	response, err := l.send(ctx, coordinator, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if err != nil {
		if ctx.Err() == nil {
			l.Log.Debug().Err(err).Str("home", coordinator).Msg("request to the coordinator of rate limits failed")
		}
		l.failed++
		l.limiter.HandleFailure(coordinator, r, now)
		return
	}
	l.responded++
	l.nodeEstimate.ObserveReported(response.Nodes)
	l.limiter.HandleResponse(coordinator, r, response, sent, now)
	l.undecided = false
	for _, g := range response.Grants {
		l.undecided = l.undecided || g.Unknown
	}
}

// send sends a Request to a coordinator, which may be this node.
func (l *Limiter) send(ctx context.Context, coordinator string, r *quota.Request) (*quota.Response, error) {
	if coordinator == l.Hello.Node {
		return l.respond(coordinator, r)
	}
	c := l.clients.Get(coordinator)
	if c == nil {
		return nil, eris.Errorf("address of %q is not known", coordinator)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := peer.SendRequest[*quota.Request, quota.Response](ctx, c, Topic, r)
	return &response, err
}

// Topics returns the handlers of control requests from other nodes, by their topics.
func (l *Limiter) Topics() map[string]func(from peer.Hello, payload []byte) ([]byte, error) {
	return map[string]func(from peer.Hello, payload []byte) ([]byte, error){
		Topic:      l.Handle,
		RatesTopic: l.HandleRates,
	}
}

// Handle handles a quota.Request of another node.
func (l *Limiter) Handle(from peer.Hello, payload []byte) ([]byte, error) {
	l.init()
	r, err := peer.Unpack[quota.Request](payload)
	if err != nil {
		return nil, err
	}
	response, err := l.respond(from.Node, &r)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(response)
}

// respond handles a Request as a coordinator.
func (l *Limiter) respond(from string, r *quota.Request) (*quota.Response, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	response := l.localCoordinator.HandleRequest(from, r, l.now())
	l.served++
	if response == nil {
		return nil, eris.New("a later request has overtaken this one")
	}
	return response, nil
}
