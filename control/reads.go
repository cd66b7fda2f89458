// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/configsync"
	"sassafrasfront.example/member"
	"sassafrasfront.example/neighbour"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/peer"
	"sassafrasfront.example/reconcile"
)

// The topics about the nodes' reads of the platform.
const (
	// topicReadStatus sends the status of the latest read, unsolicited.
	topicReadStatus = "news"
	// topicAskReadStatus requests the status of the latest read known to the receiver.
	topicAskReadStatus = "askNews"
	// topicReading tells that a read of the platform makes progress, unsolicited.
	topicReading = "reading"
	// topicTable requests the whole table of routes, the evacuated zones and the active roll-outs. Nodes whose
	// software has no indexes of tables send it.
	topicTable = "table"
)

const (
	// queriedNeighbours is the number of neighbours that a node queries if it has received no read
	// status.
	queriedNeighbours = 2
	// readStatusTimeout bounds the sending of a read status, and the requests for one. It includes the time after which a
	// silent connection is replaced.
	readStatusTimeout = time.Second
	// roleInterval is how long the node's role is cached: determining it visits every member.
	roleInterval = 300 * time.Millisecond
)

// NextAction returns the node's next action on the platform, the delay before it, and, for a Watch,
// how long it may stay open.
func (c *Control) NextAction() (action configsync.Action, after, watchFor time.Duration) {
	c.init()
	c.do(func() {
		now := time.Now()
		var at time.Time
		action, at = c.reads.Next(c.role(now), now)
		action = c.refreshAction(action, now)
		after, watchFor = at.Sub(now), c.limitWatch(c.reads.WatchTimeout())
	})
	return action, after, watchFor
}

// SetReadPosition sets the resource version up to which the node's own latest read found the changes of the table. It is
// called before RecordRead.
func (c *Control) SetReadPosition(at objectapi.ResourceVersion) {
	c.init()
	c.do(func() { c.reads.SetPosition(at) })
}

// ReadPosition returns the resource version from which the node has to read the changes of the table, or the zero value
// if that is not known.
func (c *Control) ReadPosition() (at objectapi.ResourceVersion) {
	c.init()
	c.do(func() { at = c.reads.Position() })
	return at
}

// ReportRead tells the other nodes that a read of the platform that this node has begun makes progress, so that they
// wait for its result.
func (c *Control) ReportRead(began time.Time) {
	c.init()
	c.do(func() {
		if p, ok := c.reads.ReadProgress(began, time.Now()); ok {
			c.notify(topicReading, p)
		}
	})
}

// ReportInterval returns the time between two calls of ReportRead.
func (c *Control) ReportInterval() (d time.Duration) {
	c.init()
	c.do(func() { d = c.reads.ReportInterval() })
	return d
}

// receiveProgress handles another node's report of a read in progress.
func (c *Control) receiveProgress(p configsync.Progress) {
	if c.reads.ReceiveProgress(p, time.Now()) {
		c.notify(topicReading, p)
		c.wake()
	}
}

// notify sends a message to a few neighbours. A node whose software does not know the topic ignores it.
func (c *Control) notify(topic string, message any) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		c.Log.Error().Err(err).Str("topic", topic).Msg("failed to encode a message")
		return
	}
	for _, t := range c.targets(neighbour.MaxNeighbours, c.neighbours.ForReadStatus) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), readStatusTimeout)
			defer cancel()
			if _, err := t.Request(ctx, topic, payload); err != nil {
				c.Log.Debug().Err(err).Str("peer", t.ID).Str("topic", topic).Msg("failed to send a message")
			}
		}()
	}
}

// IsLeader returns whether this node reads the platform for all nodes, as far as it knows.
func (c *Control) IsLeader() (leader bool) {
	c.init()
	c.do(func() { leader = c.role(time.Now()).IsLeader })
	return leader
}

// NextChanged returns a channel that receives a value when the result of NextAction may have
// changed.
func (c *Control) NextChanged() <-chan struct{} {
	c.init()
	return c.nextChanged
}

// RecordRead records the node's own read of the platform: whether the platform responded, and
// the age of the information in its response.
func (c *Control) RecordRead(responded bool, age time.Duration) {
	c.init()
	c.do(func() {
		c.reads.ReadDone(responded, age, time.Now())
		c.recordPlatformResponse(responded)
		c.forwardStatus()
	})
}

// IsFetching returns whether the node has the index of a later table from another node, and its fetch makes progress: what
// remains to be fetched is a tenth of what the platform would send.
func (c *Control) IsFetching() (fetching bool) {
	c.init()
	c.do(func() { fetching = c.fetch.Assembly() != nil && c.reads.FetchInProgress(time.Now()) })
	return fetching
}

// RecordAbandonedRead records that the node has ended its own read of the platform because IsFetching was true.
func (c *Control) RecordAbandonedRead() {
	c.init()
	c.do(func() { c.reads.ReadAbandoned(time.Now()) })
}

// QueryNeighbours requests the status of the latest read from a few neighbours.
func (c *Control) QueryNeighbours(ctx context.Context) {
	c.do(func() { c.queryNeighbours(ctx) })
}

// queryNeighbours requests the status of the latest read, and the table that is offered with it, from a few neighbours.
func (c *Control) queryNeighbours(ctx context.Context) {
	for _, t := range c.targets(queriedNeighbours, func() []member.Record { return c.neighbours.Sample(queriedNeighbours) }) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, readStatusTimeout)
			defer cancel()
			sent := c.clockReading()
			status, err := peer.SendRequest[struct{}, statusAndProof](ctx, t.Client, topicAskReadStatus, struct{}{})
			if err != nil {
				c.Log.Debug().Err(err).Str("peer", t.ID).Msg("failed to request the read status")
				return
			}
			c.do(func() {
				c.applyProofReply(sent, status.Proof)
				c.receiveStatus(t.ID, status)
			})
		}()
	}
}

// role returns the node's role among the nodes. The leader is the first of the live nodes that
// are not suspected and can reach the platform. The order is that of the representatives of the
// first zone, so that with only one zone its first node is the leader.
func (c *Control) role(now time.Time) configsync.Role {
	if now.Sub(c.lastRoleAt) < roleInterval {
		return c.lastRole
	}
	zone := c.self.Zone
	var all, reachable []string
	for r := range c.members.Set.All {
		if r.ID == c.self.ID || !r.Live() || now.Before(c.suspects[r.ID]) {
			continue
		}
		zone = min(zone, r.Zone)
		all = append(all, r.ID)
		if !r.PlatformUnreachable {
			reachable = append(reachable, r.ID)
		}
	}
	noneReachable := c.self.PlatformUnreachable && len(reachable) == 0
	if noneReachable {
		reachable = all
	}
	first := member.RendezvousRank(zone, c.self.ID, reachable) == 0
	c.lastRoleAt = now
	c.lastRole = configsync.Role{
		IsLeader:  first && (!c.self.PlatformUnreachable || noneReachable),
		WouldLead: first && c.self.PlatformUnreachable && !noneReachable,
		Nodes:     c.live,
	}
	return c.lastRole
}

// receiveStatus handles a read status from another node.
func (c *Control) receiveStatus(from string, status statusAndProof) {
	era := c.reads.Era()
	c.hearTable(status.Version, from)
	c.fetchFrom(from, status, c.reads.Receive(status.ReadStatus, time.Now()))
	if later := c.reads.Era(); later > era && c.EraAdvanced != nil {
		go c.EraAdvanced(later)
	}
	c.receiveProof(from, status.Proof)
	c.forwardStatus()
	c.wake()
}

// fetchFrom fetches what another node has later versions of. The read status that announced it is forwarded once
// it is active here.
func (c *Control) fetchFrom(from string, status statusAndProof, behind bool) {
	offer := status.Table
	if offer.Version == 0 && behind {
		offer = tableOffer{
			Version:  status.Version,
			Complete: true,
		}
	}
	if err := c.receiveOffer(from, offer); err != nil {
		c.Log.Warn().Err(err).Str("peer", from).Msg("invalid offer of a table")
	}
	if behind && !c.reads.HasZones(status.Zones) {
		c.fetchRecords(from)
	}
}

// wake makes the node call NextAction again.
func (c *Control) wake() {
	select {
	case c.nextChanged <- struct{}{}:
	default:
	}
}

// forwardStatus sends the status of the latest read to a few neighbours, if that has not been done.
func (c *Control) forwardStatus() {
	status, ok := c.reads.PendingStatus(time.Now())
	if !ok {
		return
	}
	payload, err := msgpack.Marshal(c.withProof(status))
	if err != nil {
		c.Log.Error().Err(err).Msg("failed to encode the read status")
		return
	}
	for _, t := range c.targets(neighbour.MaxNeighbours, c.neighbours.ForReadStatus) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), readStatusTimeout)
			defer cancel()
			if _, err := t.Request(ctx, topicReadStatus, payload); err != nil && !errors.Is(err, peer.ErrPending) {
				c.do(func() { c.dropNeighbour(t.ID) })
			}
		}()
	}
}

// handleReads handles the requests about reads of the platform. The second result is
// false for other topics.
func (c *Control) handleReads(from peer.Hello, topic string, payload []byte) (reply any, ok bool, err error) {
	if c.reads == nil {
		return nil, false, nil
	}
	if reply, ok, err := c.handleTable(from, topic, payload); ok {
		return reply, ok, err
	}
	switch topic {
	case topicReading:
		p, err := peer.Unpack[configsync.Progress](payload)
		if err == nil {
			c.receiveProgress(p)
		}
		return nil, true, err
	case topicReadStatus:
		status, err := peer.Unpack[statusAndProof](payload)
		if err != nil {
			return nil, true, err
		}
		c.receiveStatus(from.Node, status)
		return nil, true, nil
	case topicAskReadStatus:
		return c.withProof(c.reads.Status(time.Now())), true, nil
	case topicTable:
		return reconcile.Records[acceptance.Config]{Records: c.configs.Get(append(append(c.rolloutNames(), acceptance.TableName), c.zoneRecordNames()...))}, true, nil
	}
	return nil, false, nil
}
