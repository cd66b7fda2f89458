// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"

	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
)

// topicIntroduce requests some members from a first peer, and sends it the sender's record.
const topicIntroduce = "introduce"

const (
	// introduceSameZone and introduceOtherZones are the numbers of members that a first peer
	// returns, of the sender's zone and of other zones.
	introduceSameZone   = 8
	introduceOtherZones = 4
	// introduceMinMembers is the number of members from which a starting node fetches the state
	// of a member of its own zone instead of the first peer's. All starting nodes ask the same
	// few first peers: if these sent their whole state to each, the load on their links would
	// grow with the number of nodes, and most of the bytes would cross zones.
	introduceMinMembers = 64
	// introduceAttempts is the number of members of its zone that a node tries.
	introduceAttempts = 2
)

// introduceRequest requests members, and has the record of the sender.
type introduceRequest struct {
	Self member.Record `msgpack:"self"`
}

// introduceReply is the reply to an introduceRequest.
type introduceReply struct {
	// Members is the number of live members known to the receiver.
	Members int `msgpack:"members"`
	// Records are some of them, those of the sender's zone first.
	Records []member.Record `msgpack:"records"`
}

// introduce handles an introduceRequest.
func (c *Control) introduce(q introduceRequest) introduceReply {
	if c.live <= 1 {
		c.TriggerComparison() // the sender may know more than its own record
	}
	c.members.PutAll([]member.Record{q.Self})
	reply := introduceReply{Members: c.live}
	var sameZone, otherZones []member.Record
	for r := range c.members.Set.All {
		switch {
		case !r.Live() || r.ID == q.Self.ID || r.ID == c.self.ID:
		case r.Zone == q.Self.Zone:
			sameZone = append(sameZone, r)
		default:
			otherZones = append(otherZones, r)
		}
	}
	for _, l := range []struct {
		list  []member.Record
		limit int
	}{{sameZone, introduceSameZone}, {otherZones, introduceOtherZones}} {
		c.random.Shuffle(len(l.list), func(i, j int) { l.list[i], l.list[j] = l.list[j], l.list[i] })
		reply.Records = append(reply.Records, l.list[:min(l.limit, len(l.list))]...)
	}
	return reply
}

// introduceTo introduces this node to another and records the members that it returns.
func (c *Control) introduceTo(ctx context.Context, p *peer.Client) (introduceReply, error) {
	var q introduceRequest
	c.do(func() { q.Self = c.self })
	reply, err := peer.SendRequest[introduceRequest, introduceReply](ctx, p, topicIntroduce, q)
	if err == nil {
		c.do(func() { c.members.PutAll(reply.Records) })
	}
	return reply, err
}

// fetchState fetches the state of a first peer. Where there are many nodes, it fetches that of a
// member of the same zone, which the first peer returns.
func (c *Control) fetchState(ctx context.Context, p *peer.Client) error {
	reply, err := c.introduceTo(ctx, p)
	if err != nil {
		return err
	}
	if reply.Members < introduceMinMembers {
		return c.compareWith(ctx, p)
	}
	tried := 0
	for _, r := range reply.Records {
		if r.Zone != c.Self.Zone || tried == introduceAttempts {
			break
		}
		tried++
		var memberClient *peer.Client
		var release func()
		if !c.do(func() { memberClient, release = c.temporaryClient(r.Addr) }) {
			return errStopped
		}
		limited, cancel := context.WithTimeout(ctx, compareTimeout)
		err := c.compareWith(limited, memberClient)
		cancel()
		release()
		if err == nil {
			return nil
		}
		c.Log.Debug().Err(err).Str("peer", r.ID).Msg("failed to fetch state from a member of the zone")
	}
	return c.compareWith(ctx, p)
}
