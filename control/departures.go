// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"time"

	"sassafrasfront.example/departure"
	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/reconcile"
)

// The topics besides those of the exchange.
const (
	topicKeepDeparture    = "departure.keep"
	topicFormerDepartures = "departure.former"
)

const (
	// departureHolders is the number of nodes that are asked to keep a departure before it is
	// acknowledged, and that a node asks when it starts. Rendezvous hashing selects them.
	departureHolders = 4
	// departureConfirmations is the number of them that must confirm it. The other nodes receive it
	// with the next changes. A node that starts needs an answer of so many that one of them has
	// confirmed what its former process has acknowledged.
	departureConfirmations = 2
	// formerTimeout bounds a request for the departures of former processes.
	formerTimeout = 300 * time.Millisecond
	// attestAge is how long a node must have run since its recovery to know the other nodes that have
	// announced upstreams meanwhile.
	attestAge = 10 * time.Second
)

// keepReply is the reply to a departure.Record that the receiver is asked to keep.
type keepReply struct {
	Kept bool `msgpack:"kept"`
}

// formerQuery requests the departures of a node, which has the given incarnation.
type formerQuery struct {
	Node        string `msgpack:"node"`
	Incarnation uint64 `msgpack:"incarnation"`
}

// formerReply has these departures. Attested is whether the sender must know those that a former
// process of the node has had confirmed.
type formerReply struct {
	Records  []departure.Record `msgpack:"records"`
	Attested bool               `msgpack:"attested"`
}

// newDepartures returns the exchange of departures.
func (c *Control) newDepartures() reconcile.Exchange[departure.Record] {
	return reconcile.Exchange[departure.Record]{
		Topic:   "departures",
		Accept:  c.acceptDeparture,
		Changed: c.departureChanged,
		Do:      c.do,
	}
}

// acceptDeparture returns whether a departure is valid and may be stored.
func (c *Control) acceptDeparture(r departure.Record) bool {
	now := time.Now()
	if err := r.Check(now); err != nil {
		c.Log.Warn().Err(err).Msg("rejected an invalid departure")
		return false
	}
	return !r.Expired(now) && !c.departureIndex.Full(r)
}

// departureChanged indexes a departure, and notifies the node if it is one of its own.
func (c *Control) departureChanged(_, r departure.Record) {
	if dropped, ok := c.departureIndex.Add(r); ok {
		c.dropDeparture(dropped)
	}
	if r.Node == c.self.ID && c.DepartureReceived != nil {
		go c.DepartureReceived(r)
	}
}

// dropDeparture removes a departure.
func (c *Control) dropDeparture(r departure.Record) {
	c.departures.Set.Remove(r.Key())
	delete(c.departures.Outbox, r.Key())
	c.departureIndex.Remove(r)
}

// expireDepartures removes the expired departures.
func (c *Control) expireDepartures(now time.Time) {
	for r := range c.departures.Set.All {
		if r.Expired(now) {
			c.dropDeparture(r)
		}
	}
}

// Departures returns the known departures of this node's upstream.
func (c *Control) Departures() (list []departure.Record) {
	c.init()
	c.do(func() { list = c.departureIndex.Of(c.self.ID) })
	return list
}

// Reconciled returns a channel that is closed once this node has received the state of another.
func (c *Control) Reconciled() <-chan struct{} {
	c.init()
	return c.reconciled
}

// holders returns the nodes that keep the departures of this node's upstream, and the number of
// other nodes.
func (c *Control) holders() (list []member.Record, others int) {
	var ids []string
	for r := range c.members.Set.All {
		if r.Live() && r.ID != c.self.ID {
			ids = append(ids, r.ID)
		}
	}
	for _, id := range member.RendezvousTop("departure\x00"+c.self.ID, ids, departureHolders) {
		r, _ := c.members.Set.Get(id)
		list = append(list, r)
	}
	return list, len(ids)
}

// Replicate implements departure.Peers.
func (c *Control) Replicate(ctx context.Context, r departure.Record) (result departure.Replication) {
	c.init()
	var holders []member.Record
	c.do(func() {
		c.departures.Put(r)
		holders, result.Others = c.holders()
	})
	result.Needed = min(departureConfirmations, len(holders))
	replies := make(chan bool, len(holders))
	for _, h := range holders {
		go func() {
			reply, err := requestOnce[departure.Record, keepReply](ctx, c, h, topicKeepDeparture, r)
			replies <- err == nil && reply.Kept
		}()
	}
	for range holders {
		select {
		case kept := <-replies:
			if kept {
				result.Confirmed++
			}
		case <-ctx.Done():
			return result
		}
		if result.Enough() {
			break
		}
	}
	return result
}

// requestOnce sends a request to a node, on a connection that is kept only if the node is a neighbour.
func requestOnce[Q, A any](ctx context.Context, c *Control, to member.Record, topic string, q Q) (reply A, err error) {
	var p *peer.Client
	var release func()
	if !c.do(func() { p, release = c.temporaryClient(to.Addr) }) {
		return reply, errStopped
	}
	defer release()
	if reply, err = peer.SendRequest[Q, A](ctx, p, topic, q); err != nil {
		c.Log.Debug().Err(err).Str("peer", to.ID).Str("topic", topic).Msg("request failed")
	}
	return reply, err
}

// Recover implements departure.Peers.
func (c *Control) Recover(ctx context.Context) (answered, attested bool) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, formerTimeout)
	defer cancel()
	q := formerQuery{Node: c.Self.ID}
	var holders []member.Record
	c.do(func() {
		q.Incarnation = c.self.Incarnation
		holders, _ = c.holders()
	})
	type result struct {
		formerReply
		err error
	}
	replies := make(chan result, len(holders))
	for _, h := range holders {
		go func() {
			reply, err := requestOnce[formerQuery, formerReply](ctx, c, h, topicFormerDepartures, q)
			replies <- result{
				formerReply: reply,
				err:         err,
			}
		}()
	}
	attests := 0
	for range holders {
		r := <-replies
		if r.err != nil {
			continue
		}
		c.do(func() { c.departures.PutAll(r.Records) })
		answered = true
		if r.Attested {
			attests++
		}
	}
	needed := len(holders) - min(departureConfirmations, len(holders)) + 1
	return answered, attests >= needed
}

// handleDepartures handles the requests of other nodes about departures.
func (c *Control) handleDepartures(topic string, payload []byte) (reply any, ok bool, err error) {
	switch topic {
	case topicKeepDeparture:
		r, err := peer.Unpack[departure.Record](payload)
		if err != nil {
			return nil, true, err
		}
		c.departures.Put(r)
		_, kept := c.departures.Set.Get(r.Key())
		return keepReply{Kept: kept}, true, nil
	case topicFormerDepartures:
		q, err := peer.Unpack[formerQuery](payload)
		if err != nil {
			return nil, true, err
		}
		return formerReply{
			Records:  c.departureIndex.Of(q.Node),
			Attested: !c.recoveredAt.IsZero() && (c.knewFormer(q) || time.Since(c.recoveredAt) >= attestAge),
		}, true, nil
	}
	return c.departures.Handle(topic, payload)
}

// knewFormer returns whether this node has known a former process of the sender of a query that had
// announced its upstream. That process had given what it recovered itself to other nodes. A node that has
// just started may have received the member's record alone, from one that was cut off.
func (c *Control) knewFormer(q formerQuery) bool {
	r, _ := c.members.Set.Get(q.Node)
	return r.Service != "" && r.Incarnation < q.Incarnation || c.restarted[q.Node]
}

// recordRestart records that a node's record replaces that of a former process, which had announced its
// upstream.
func (c *Control) recordRestart(old, r member.Record) {
	if old.Service != "" && old.Incarnation < r.Incarnation {
		c.restarted[r.ID] = true
	}
}

// Recovered implements departure.Peers.
func (c *Control) Recovered() {
	c.init()
	c.do(func() { c.recoveredAt = time.Now() })
}
