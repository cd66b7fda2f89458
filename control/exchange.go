// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/gossip"
	"sassafrasfront.example/member"
	"sassafrasfront.example/neighbour"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/reconcile"
)

const (
	// compareCost is the cost of a comparison that finds no difference, in
	// bytes.
	compareCost = 150
	// pushBatch is the number of records in one push message.
	pushBatch = 200
	// compareTimeout bounds a comparison.
	compareTimeout = 5 * time.Second
)

// rootHashes are the hashes over a node's whole state.
type rootHashes struct {
	Members uint64 `msgpack:"members"`
	Configs uint64 `msgpack:"configs"`
	// Reports is the hash over the reports of requests that crash upstreams. It is 0 if there
	// are none, or if the node's version does not have them.
	Reports uint64 `msgpack:"reports,omitempty"`
	// Departures is the hash over the departures of upstreams, with the same exceptions.
	Departures uint64 `msgpack:"departures,omitempty"`
}

// The topics besides those of the exchanges.
const (
	topicRoots    = "roots"
	topicSequence = "have"
)

// sequenceQuery requests the active sequence of a service.
type sequenceQuery struct {
	Service string `msgpack:"service"`
}

// sequenceReply is the reply to a sequenceQuery.
type sequenceReply struct {
	Sequence uint64 `msgpack:"sequence"`
}

// Handle handles a control request of a peer.
func (c *Control) Handle(_ context.Context, from peer.Hello, r *peer.Request) ([]byte, error) {
	c.init()
	if f := c.Topics[r.Topic]; f != nil {
		return f(from, r.Payload)
	}
	var reply any
	var err error
	if !c.do(func() { reply, err = c.handle(from, r.Topic, r.Payload) }) {
		return nil, errStopped
	}
	if err != nil || reply == nil {
		return nil, err
	}
	return msgpack.Marshal(reply)
}

// handle handles a request on the goroutine that owns the state.
func (c *Control) handle(from peer.Hello, topic string, payload []byte) (any, error) {
	switch topic {
	case topicRoots:
		return c.roots(), nil
	case topicSequence:
		q, err := peer.Unpack[sequenceQuery](payload)
		if err != nil {
			return nil, err
		}
		config, _ := c.configs.Set.Get(q.Service)
		return sequenceReply{Sequence: config.Sequence}, nil
	case topicIntroduce:
		q, err := peer.Unpack[introduceRequest](payload)
		if err != nil {
			return nil, err
		}
		return c.introduce(q), nil
	case topicCandidates:
		q, err := peer.Unpack[suspectList](payload)
		if err != nil {
			return nil, err
		}
		c.suspect(q.Nodes)
		return struct{}{}, nil
	}
	if reply, ok, err := c.handleReads(from, topic, payload); ok {
		return reply, err
	}
	if reply, ok, err := c.members.Handle(topic, payload); ok {
		return reply, err
	}
	if reply, ok, err := c.configs.Handle(topic, payload); ok {
		return reply, err
	}
	if reply, ok, err := c.reports.Handle(topic, payload); ok {
		return reply, err
	}
	if reply, ok, err := c.handleDepartures(topic, payload); ok {
		return reply, err
	}
	return nil, eris.Errorf("unknown topic %q", topic)
}

func (c *Control) roots() rootHashes {
	return rootHashes{
		Members:    c.members.Set.RootHash(),
		Configs:    c.configs.Set.RootHash(),
		Reports:    c.reports.Set.RootHash(),
		Departures: c.departures.Set.RootHash(),
	}
}

// push sends the changes since the last push to a few neighbours. The returned
// group is done when all have replied.
func (c *Control) push(ctx context.Context) *sync.WaitGroup {
	targets, messages := c.takeOutbox()
	all := new(sync.WaitGroup)
	for _, t := range targets {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, compareTimeout)
			defer cancel()
			for _, m := range messages {
				if _, err := t.Request(ctx, m.topic, m.payload); err != nil {
					if !errors.Is(err, peer.ErrPending) {
						go c.do(func() { c.dropNeighbour(t.ID) })
					}
					return
				}
			}
		})
	}
	return all
}

// message is an encoded push message.
type message struct {
	topic   string
	payload []byte
}

// takeOutbox returns the changes to push and the neighbours to push them to. Changes of
// configurations are always pushed. Reports about requests and changes of members wait while the
// budget is spent; comparisons carry them meanwhile.
func (c *Control) takeOutbox() ([]target, []message) {
	if len(c.members.Outbox)+len(c.configs.Outbox)+len(c.reports.Outbox)+len(c.departures.Outbox) == 0 {
		return nil, nil
	}
	targets := c.targets(neighbour.MaxNeighbours, func() []member.Record { return c.neighbours.ForChange(c.nodeCounts()) })
	if len(targets) == 0 {
		return nil, nil
	}
	messages := batches(&c.configs, func(n int) bool {
		c.Budget.Take(n * len(targets))
		return true
	})
	afford := func(n int) bool { return c.Budget.Take(n * len(targets)) }
	messages = append(messages, batches(&c.reports, afford)...)
	messages = append(messages, batches(&c.members, afford)...)
	messages = append(messages, batches(&c.departures, afford)...)
	return targets, messages
}

// batches empties an outbox into messages, as long as afford returns true.
func batches[R gossip.Record](e *reconcile.Exchange[R], afford func(n int) bool) []message {
	var list []message
	for waiting := slices.Collect(maps.Keys(e.Outbox)); len(waiting) > 0; {
		batch := reconcile.Records[R]{}
		size := 0
		for _, key := range waiting[:min(len(waiting), pushBatch)] {
			size += reconcile.EncodedBytes(e.Outbox[key])
			if len(batch.Records) > 0 && size > reconcile.BatchBytes {
				break
			}
			batch.Records = append(batch.Records, e.Outbox[key])
		}
		keys := waiting[:len(batch.Records)]
		waiting = waiting[len(batch.Records):]
		payload, err := msgpack.Marshal(batch)
		if err != nil || !afford(len(payload)) {
			return list
		}
		for _, key := range keys {
			delete(e.Outbox, key)
		}
		list = append(list, message{
			topic:   e.Topic + reconcile.RecordsSuffix,
			payload: payload,
		})
	}
	return list
}

// maxComparisonAttempts is the maximum number of neighbours with which one comparison is attempted.
const maxComparisonAttempts = 3

// compare compares the state with that of one neighbour, unless a comparison is in
// progress. A comparison that finds no difference has a small and fixed cost, so it is
// made even while the budget is spent.
func (c *Control) compare(ctx context.Context) {
	targets := c.targets(neighbour.MaxNeighbours, func() []member.Record { return c.neighbours.ForComparison(maxComparisonAttempts, c.nodeCounts()) })
	if c.comparing || len(targets) == 0 {
		return
	}
	c.Budget.Take(compareCost)
	c.comparing = true
	go func() {
		defer c.do(func() { c.comparing = false })
		for _, t := range targets {
			limited, cancel := context.WithTimeout(ctx, compareTimeout)
			err := c.compareWith(limited, t.Client)
			cancel()
			if err == nil || ctx.Err() != nil {
				return
			}
			c.Log.Debug().Err(err).Str("peer", t.ID).Msg("comparison failed")
			c.do(func() { c.dropNeighbour(t.ID) })
		}
	}()
}

// compareWith reconciles the state with a peer's.
func (c *Control) compareWith(ctx context.Context, p *peer.Client) error {
	theirs, err := peer.SendRequest[struct{}, rootHashes](ctx, p, topicRoots, struct{}{})
	if err != nil {
		return err
	}
	var own rootHashes
	c.do(func() { own = c.roots() })
	// Members come first: they are small, and requests can't be routed without them. A
	// table of thousands of routes takes most of a second on a slow link, and a node that
	// starts reads it from the platform meanwhile.
	if own.Members != theirs.Members {
		if err := c.members.Reconcile(ctx, p); err != nil {
			return err
		}
	}
	if theirs.Departures != 0 && own.Departures != theirs.Departures {
		if err := c.departures.Reconcile(ctx, p); err != nil {
			return err
		}
	}
	c.reconciledOnce.Do(func() { close(c.reconciled) })
	if theirs.Reports != 0 && own.Reports != theirs.Reports {
		if err := c.reports.Reconcile(ctx, p); err != nil {
			return err
		}
	}
	if own.Configs == theirs.Configs {
		return nil
	}
	if err := c.configs.Reconcile(ctx, p); err != nil {
		return err
	}
	return c.compareTable(ctx, p)
}

// compareTable requests a peer's read status, and begins to fetch its table if that is later.
func (c *Control) compareTable(ctx context.Context, p *peer.Client) error {
	if c.reads == nil {
		return nil
	}
	status, err := peer.SendRequest[struct{}, statusAndProof](ctx, p, topicAskReadStatus, struct{}{})
	if err != nil {
		return err
	}
	c.do(func() { c.receiveStatus(p.PeerNode(), status) })
	return nil
}
