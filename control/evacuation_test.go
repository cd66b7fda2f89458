// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/configsync"
	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/member"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/routes"
)

// TestEvacuationReachesAll has one node read from the platform that a zone is evacuated. All nodes
// must learn it, including one that starts later, and drop the upstreams of the zone from the
// members. A read of an earlier revision must change nothing.
func TestEvacuationReachesAll(t *testing.T) {
	c := newCluster(t)
	list := c.tableNodes(6)
	table, err := routes.New(routes.Table{Version: 1, Services: []routes.Service{{Name: "s"}}})
	qt.Assert(t, err, qt.IsNil)
	for _, n := range list {
		n.ApplyTable(table)
		n.Announce(member.Upstream{Service: "s", Slots: 1, State: member.Up})
	}
	members := func(n *testNode) int {
		if s := n.Snapshot().Services["s"]; s != nil {
			return len(s.Members)
		}
		return -1
	}
	all := func(count int, zones ...string) func() bool {
		return func() bool {
			for _, n := range list {
				if members(n) != count || !n.Snapshot().Evacuated.SameZones(evacuation.New(objectapi.ResourceVersion{Revision: 0}, zones...)) {
					return false
				}
			}
			return true
		}
	}
	c.eventually("all are members", all(6))
	read := func(n *testNode, s evacuation.Set) {
		n.ApplyEvacuation(s)
		n.RecordRead(true, 0)
	}
	read(list[2], evacuation.New(objectapi.ResourceVersion{Revision: 50}, "z"))
	c.eventually("none is a member", all(0, "z"))
	qt.Check(t, list[0].RemainingUpstreams(), qt.DeepEquals, map[string]int{"z": 6})

	late := c.tableNode("late", "y", func() []string { return []string{list[0].Self.Addr} })
	c.eventually("a node that starts late learns it", func() bool { return late.Snapshot().Evacuated.Has("z") })
	late.Announce(member.Upstream{Service: "s", Slots: 1, State: member.Up})
	list = append(list, late)
	c.eventually("only the upstream of another zone is a member", all(1, "z"))

	read(list[0], evacuation.New(objectapi.ResourceVersion{Revision: 40}))
	time.Sleep(100 * time.Millisecond)
	qt.Check(t, all(1, "z")(), qt.IsTrue, qt.Commentf("a read of an earlier revision changes nothing"))
	read(list[0], evacuation.New(objectapi.ResourceVersion{Revision: 60}, "y", "z"))
	c.eventually("both zones are evacuated", all(0, "y", "z"))
	read(list[4], evacuation.New(objectapi.ResourceVersion{Revision: 70}))
	c.eventually("the evacuations are withdrawn", all(7))
}

// TestEvacuationWithoutPlatform has the platform respond to only one node, which is not the leader.
// What it reads must reach the others by read statuses.
func TestEvacuationWithoutPlatform(t *testing.T) {
	c := newCluster(t)
	list := c.tableNodes(6)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &fakePlatform{version: 1, refused: make(map[string]bool)}
	for _, id := range ids(list[:5]) {
		p.refused[id] = true
	}
	for _, n := range list[:5] {
		go p.follow(ctx, n)
	}
	go func() { // like fakePlatform.follow, with a zone
		for ctx.Err() == nil {
			if action, after, _ := list[5].NextAction(); action == configsync.Wait {
				time.Sleep(min(after, 20*time.Millisecond))
				continue
			}
			list[5].ApplyEvacuation(evacuation.New(objectapi.ResourceVersion{Revision: 9}, "z"))
			list[5].RecordRead(true, 0)
		}
	}()
	for _, n := range list {
		c.eventually("the node learns it", func() bool { return n.Snapshot().Evacuated.Has("z") })
	}
}
