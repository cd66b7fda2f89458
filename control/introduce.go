// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"

	"sassafrasfront.example/member"
	"sassafrasfront.example/peer"
)

// topicIntroduce asks a first peer for some members, and tells it of the asker.
const topicIntroduce = "introduce"

const (
	// introduceNear and introduceFar are the numbers of members that a first peer names, in the
	// asker's zone and elsewhere.
	introduceSameZone   = 8
	introduceOtherZones = 4
	// introduceFrom is the number of members from which a node that starts learns the state of
	// one in its own zone rather than of the first peer. All that start ask the same few
	// first peers: with a whole state for each, their links are busy for as long as there are
	// nodes, and most of the bytes cross zones.
	introduceMinMembers = 64
	// introduceTries is the number of members in its zone that a node tries to learn from.
	introduceAttempts = 2
)

// introduction is a question for members, with the record of who asks.
type introduceRequest struct {
	Self member.Record `msgpack:"self"`
}

// introduced is the answer to an introduction.
type introduceReply struct {
	// Members is the number of live members that are known.
	Members int `msgpack:"members"`
	// Records are some of them, those in the asker's zone first.
	Records []member.Record `msgpack:"records"`
}

// introduce answers an introduction.
func (c *Control) introduce(q introduceRequest) introduceReply {
	if c.live <= 1 {
		c.TriggerComparison() // the asker may know more than its own record
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
		list []member.Record
		most int
	}{{sameZone, introduceSameZone}, {otherZones, introduceOtherZones}} {
		c.random.Shuffle(len(l.list), func(i, j int) { l.list[i], l.list[j] = l.list[j], l.list[i] })
		reply.Records = append(reply.Records, l.list[:min(l.most, len(l.list))]...)
	}
	return reply
}

// introduceTo introduces this node to another and takes in the members that it names.
func (c *Control) introduceTo(ctx context.Context, p *peer.Client) (introduceReply, error) {
	var q introduceRequest
	c.do(func() { q.Self = c.self })
	reply, err := peer.Ask[introduceRequest, introduceReply](ctx, p, topicIntroduce, q)
	if err == nil {
		c.do(func() { c.members.PutAll(reply.Records) })
	}
	return reply, err
}

// learnBy learns from a first peer, or, where there are many nodes, from one in the own zone that
// it names.
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
		var near *peer.Client
		var release func()
		if !c.do(func() { near, release = c.temporaryClient(r.Addr) }) {
			return errStopped
		}
		limited, cancel := context.WithTimeout(ctx, compareTimeout)
		err := c.compareWith(limited, near)
		cancel()
		release()
		if err == nil {
			return nil
		}
		c.Log.Debug().Err(err).Str("peer", r.ID).Msg("not learnt from a member that was named")
	}
	return c.compareWith(ctx, p)
}
