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
	// Topic is the topic of the control requests to a home.
	Topic = "quota"
	// exchangeTimeout bounds one exchange with a home. An instance whose share of the
	// processor is dealt out every 100 ms answers within that.
	exchangeTimeout = 250 * time.Millisecond
	// clientsIdle is how long a connection to a home is kept that isn't used.
	clientsIdle = 30 * time.Second
	// maxClients bounds the connections to homes.
	maxClients = 8
)

// Run asks homes for what the requests need, and keeps the node's right deposited, until
// ctx ends.
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

// pause waits until there may be another question, and returns when one is due in any case.
func (l *Limiter) pause(ctx context.Context) time.Duration {
	l.mu.Lock()
	gap := askGap
	if l.unsure {
		gap = unknownGap
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

// step makes one exchange with a home.
func (l *Limiter) step(ctx context.Context) {
	members := l.Members()
	homes := l.chooseFrom()
	l.mu.Lock()
	now := l.now()
	l.census.Observe(members, now)
	l.limiter.SetNodes(l.census.Nodes(now))
	ids := make([]string, 0, len(homes)+1)
	for _, h := range homes {
		ids = append(ids, h.ID)
	}
	home, probe := l.limiter.ChooseCoordinator(append(ids, l.Hello.Node), now)
	if probe != "" && !l.probing {
		l.probing = true
		a := l.limiter.ProbeRequest(probe, now)
		go func() {
			l.exchange(ctx, probe, a, now)
			l.mu.Lock()
			l.probing = false
			l.mu.Unlock()
		}()
	}
	var a *quota.Request
	if leaves := l.limiter.PreviousHolder(now); leaves != "" {
		home = leaves
		a = l.limiter.ProbeRequest(home, now)
	} else {
		a = l.limiter.NextRequest(home, now)
		l.told(home)
	}
	l.mu.Unlock()
	l.exchange(ctx, home, a, now)
}

// told logs that another home is asked. The lock is held.
func (l *Limiter) told(home string) {
	if home != l.asked {
		l.Log.Info().Str("home", home).Str("before", l.asked).Int("nodes", l.census.Nodes(l.now())).Msg("home of rate limits")
		l.asked = home
	}
}

// chooseFrom returns the homes to choose from.
func (l *Limiter) chooseFrom() []Peer {
	now := l.now()
	every := homesFor
	if now < youngFor {
		every = homesYoung
	}
	if l.homes == nil || now-l.homesAt >= every {
		l.homes = l.Coordinators()
		l.homesAt = now
		l.connect(l.homes)
		ids := make([]string, 0, len(l.homes))
		for _, h := range l.homes {
			ids = append(ids, h.ID)
		}
		l.mu.Lock()
		l.limiter.Retain(append(ids, l.Hello.Node))
		l.mu.Unlock()
	}
	return l.homes
}

// connect has a client for each of some nodes.
func (l *Limiter) connect(homes []Peer) {
	for _, h := range homes {
		l.clients.At(h.ID, h.Addr)
	}
	l.clients.Retain(maxClients, func(node string) bool {
		return slices.ContainsFunc(homes, func(h Peer) bool { return h.ID == node })
	})
}

// exchange sends an Ask and takes its answer in.
func (l *Limiter) exchange(ctx context.Context, home string, a *quota.Request, sent time.Duration) {
	answer, err := l.send(ctx, home, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if err != nil {
		if ctx.Err() == nil {
			l.Log.Debug().Err(err).Str("home", home).Msg("home of rate limits not asked")
		}
		l.unanswered++
		l.limiter.HandleFailure(home, a, now)
		return
	}
	l.answered++
	l.census.ObserveReported(answer.Nodes)
	l.limiter.HandleResponse(home, a, answer, sent, now)
	l.unsure = false
	for _, g := range answer.Grants {
		l.unsure = l.unsure || g.Unknown
	}
}

// send sends an Ask to a home, which may be this node.
func (l *Limiter) send(ctx context.Context, home string, a *quota.Request) (*quota.Response, error) {
	if home == l.Hello.Node {
		return l.answer(home, a)
	}
	c := l.clients.Get(home)
	if c == nil {
		return nil, eris.Errorf("no address of %q is known", home)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := peer.Ask[*quota.Request, quota.Response](ctx, c, Topic, a)
	return &answer, err
}

// Topics returns what answers other nodes, by the topics of their control requests.
func (l *Limiter) Topics() map[string]func(from peer.Hello, payload []byte) ([]byte, error) {
	return map[string]func(from peer.Hello, payload []byte) ([]byte, error){
		Topic:      l.Handle,
		RatesTopic: l.HandleRates,
	}
}

// Handle answers an Ask of another node.
func (l *Limiter) Handle(from peer.Hello, payload []byte) ([]byte, error) {
	l.init()
	a, err := peer.Unpack[quota.Request](payload)
	if err != nil {
		return nil, err
	}
	answer, err := l.answer(from.Node, &a)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(answer)
}

// answer answers an Ask as a home.
func (l *Limiter) answer(from string, a *quota.Request) (*quota.Response, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.home.HandleRequest(from, a, l.now())
	l.answers++
	if answer == nil {
		return nil, eris.New("another has overtaken it")
	}
	return answer, nil
}
