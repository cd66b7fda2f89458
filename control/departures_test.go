// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/departure"
	"sassafrasfront.example/member"
)

// TestDepartureOutlivesNode guards against a departure that is lost with the node that had it confirmed:
// the next process on the node's address knows it from those that have confirmed it, and then all do.
func TestDepartureOutlivesNode(t *testing.T) {
	c := newCluster(t)
	c.grow(7)
	c.nodes[0].Announce(member.Upstream{Service: "s", Slots: 1, State: member.Up})
	c.eventually("all know each other", func() bool {
		for _, n := range c.nodes {
			if len(n.Members()) != 7 {
				return false
			}
		}
		return true
	})
	for _, n := range c.nodes {
		n.Recovered()
	}
	leaving := c.nodes[0]
	ctx := context.Background()
	record := departure.NewRecord(leaving.Self.ID, "i-1", 0)
	result := leaving.Replicate(ctx, record)
	qt.Check(t, result.Enough(), qt.IsTrue, qt.Commentf("%+v", result))
	qt.Check(t, result.Others, qt.Equals, 6)
	leaving.kill()

	received := make(chan departure.Record, 1)
	next := c.addAtWith(c.listener(), leaving.Self.ID, leaving.Self.Zone, func(k *Control) {
		k.Contacts = []string{c.nodes[1].Self.Addr, c.nodes[2].Self.Addr}
		k.DepartureReceived = func(r departure.Record) { received <- r }
	})
	<-next.Reconciled()
	answered, attested := next.Recover(ctx)
	qt.Check(t, answered, qt.IsTrue)
	qt.Check(t, attested, qt.IsTrue)
	qt.Check(t, next.Departures(), qt.DeepEquals, []departure.Record{record})
	qt.Check(t, <-received, qt.Equals, record)
	c.eventually("all know the departure", func() bool {
		for _, n := range c.nodes[1:] {
			known := 0
			n.do(func() { known = len(n.departureIndex.Of(record.Node)) })
			if known != 1 {
				return false
			}
		}
		return true
	})
}

// TestAttestation checks which nodes must know the departures of another node. It guards against nodes that
// have just started and claim to, as they have received the record of its former process from others.
func TestAttestation(t *testing.T) {
	tests := map[string]struct {
		knows     uint64 // incarnation of the node that is known first, 0 for none
		announced bool   // whether that one had announced its upstream
		replaced  uint64 // incarnation of the node that is known then, 0 for none
		recovered bool   // whether this node has recovered its departures
		age       time.Duration
		attested  bool
	}{
		"has just started":                       {},
		"has just recovered":                     {recovered: true},
		"knows the present process only":         {knows: 5, announced: true, recovered: true},
		"knows the former process":               {knows: 4, announced: true, recovered: true, attested: true},
		"has known the former process":           {knows: 4, announced: true, replaced: 5, recovered: true, attested: true},
		"knows it, and has not recovered":        {knows: 4, announced: true},
		"has known it, and has not recovered":    {knows: 4, announced: true, replaced: 5},
		"knows one that had not recovered":       {knows: 4, recovered: true},
		"has known one that had not recovered":   {knows: 4, replaced: 5, recovered: true},
		"has run long enough to have known one":  {recovered: true, age: attestAge, attested: true},
		"has not run long enough to have known":  {recovered: true, age: attestAge / 2},
		"has run long enough, and not recovered": {age: attestAge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			n := c.add("n", "z")
			n.init()
			n.do(func() {
				for _, incarnation := range []uint64{test.knows, test.replaced} {
					if incarnation != 0 {
						r := n.self
						r.ID, r.Incarnation = "other", incarnation
						if test.announced {
							r.Service = "s"
						}
						n.members.Put(r)
					}
				}
				if test.recovered {
					n.recoveredAt = time.Now().Add(-test.age)
				}
				reply, ok, err := n.handleDepartures(topicFormerDepartures, mustPack(formerQuery{
					Node:        "other",
					Incarnation: 5,
				}))
				qt.Check(t, ok, qt.IsTrue)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, reply.(formerReply).Attested, qt.Equals, test.attested)
			})
		})
	}
}

// TestInvalidDepartures checks that a node keeps no invalid departure and no more than its bound, and
// says so.
func TestInvalidDepartures(t *testing.T) {
	c := newCluster(t)
	n := c.add("n", "z")
	n.init()
	keep := func(r departure.Record) (kept bool) {
		n.do(func() {
			reply, ok, err := n.handleDepartures(topicKeepDeparture, mustPack(r))
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, err, qt.IsNil)
			kept = reply.(keepReply).Kept
		})
		return kept
	}
	valid := departure.NewRecord("other", "i-1", 0)
	qt.Check(t, keep(valid), qt.IsTrue)
	qt.Check(t, keep(valid), qt.IsTrue, qt.Commentf("it is there"))
	expired := departure.NewRecord("other", "i-2", 0)
	expired.RecordedAt -= int64(2 * departure.Retention / time.Second)
	qt.Check(t, keep(expired), qt.IsFalse)
	qt.Check(t, keep(departure.Record{Node: "other"}), qt.IsFalse)
	for i := range 2 * departure.MaxPerNode {
		r := departure.NewRecord("other", fmt.Sprint("j-", i), 0)
		r.RecordedAt += int64(i)
		qt.Check(t, keep(r), qt.IsTrue)
	}
	n.do(func() {
		qt.Check(t, n.departureIndex.Of("other"), qt.HasLen, departure.MaxPerNode)
		qt.Check(t, n.departures.Set.Len(), qt.Equals, departure.MaxPerNode)
		n.expireDepartures(time.Now().Add(2 * departure.Retention))
		qt.Check(t, n.departures.Set.Len(), qt.Equals, 0)
		qt.Check(t, n.departureIndex.Of("other"), qt.HasLen, 0)
	})
}
