// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/objectapi"
	"sassafrasfront.example/routes"
)

// zonesAt returns the zones as read at a resource version.
func zonesAt(era, revision uint64, zones ...string) evacuation.Set {
	return evacuation.New(objectapi.ResourceVersion{Era: era, Revision: revision}, zones...)
}

// readZones simulates a read of the platform by a node.
func (n *testNode) readZones(s evacuation.Set) {
	n.ObserveEra(s.At.Era, true)
	n.ApplyEvacuation(s)
	n.RecordRead(true, 0)
}

// configRoot returns the hash over the configurations known to a node.
func (n *testNode) configRoot() (root uint64) {
	n.do(func() { root = n.configs.Set.RootHash() })
	return root
}

// waitZones waits until the given zones, read at the given resource version, are active on all nodes.
func (c *cluster) waitZones(nodes []*testNode, want evacuation.Set) {
	c.t.Helper()
	for _, n := range nodes {
		c.eventually(fmt.Sprintf("%s has %v", n.Self.ID, want), func() bool {
			got := n.Snapshot().Evacuated
			return got.At == want.At && got.SameZones(want)
		})
	}
}

// TestEvacuationAcrossEras has the platform restored from a backup that is older than an
// evacuation. One node sees that and the others learn it from that node. The zone must stay
// evacuated on all nodes, including one that starts then, until it is written again and removed.
func TestEvacuationAcrossEras(t *testing.T) {
	c := newCluster(t)
	list := c.tableNodes(6)
	first := list[0].Self.Addr
	var observed atomic.Uint64
	list[5].do(func() { list[5].EraAdvanced = func(era uint64) { observed.Store(era) } })
	list[2].readZones(zonesAt(1, 900, "z"))
	c.waitZones(list, zonesAt(1, 900, "z"))

	list[3].readZones(zonesAt(2, 870))
	c.waitZones(list, zonesAt(2, 870, "z"))
	c.eventually("the node learns of the era", func() bool { return observed.Load() == 2 })
	late := c.tableNode("late", "y", func() []string { return []string{first} })
	list = append(list, late)
	c.waitZones(list, zonesAt(2, 870, "z"))
	late.ApplyEvacuation(zonesAt(2, 872))
	late.RecordRead(true, 0)
	list[0].readZones(zonesAt(1, 901))
	time.Sleep(100 * time.Millisecond)
	c.waitZones(list, zonesAt(2, 870, "z"))

	list[1].readZones(zonesAt(3, 865)) // restored again, before the zone has been written again
	c.waitZones(list, zonesAt(3, 865, "z"))
	list[4].readZones(zonesAt(3, 866, "y"))
	c.waitZones(list, zonesAt(3, 866, "y", "z"))
	list[1].readZones(zonesAt(3, 870, "y", "z"))
	c.waitZones(list, zonesAt(3, 870, "y", "z"))
	list[2].readZones(zonesAt(3, 871))
	c.waitZones(list, zonesAt(3, 871))
}

// TestRemovedAfterRestoreStaysRemoved guards against a zone that is evacuated again on nodes that
// did not see it on the platform after a restore. The platform loses an evacuation, the operator
// writes it again and removes it, and some nodes only learn of the zones that were active before.
func TestRemovedAfterRestoreStaysRemoved(t *testing.T) {
	tests := map[string]func(c *cluster, list []*testNode) *testNode{
		"a node that starts": func(c *cluster, list []*testNode) *testNode {
			return c.tableNode("late", "y", func() []string { return []string{list[0].Self.Addr} })
		},
		"a node that starts and reads before it joins": func(c *cluster, list []*testNode) *testNode {
			var joins atomic.Bool
			late := c.tableNode("late", "y", func() []string {
				if joins.Load() {
					return []string{list[0].Self.Addr}
				}
				return nil
			})
			late.ObserveEra(2, false)
			late.ApplyEvacuation(zonesAt(2, 880))
			joins.Store(true)
			return late
		},
	}
	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			list := c.tableNodes(3)
			list[0].readZones(zonesAt(1, 900, "z"))
			c.waitZones(list, zonesAt(1, 900, "z"))
			list[1].readZones(zonesAt(2, 870))
			c.waitZones(list, zonesAt(2, 870, "z"))
			list[1].readZones(zonesAt(2, 871, "z"))
			c.waitZones(list, zonesAt(2, 871, "z"))
			list[2].readZones(zonesAt(2, 872))
			c.waitZones(list, zonesAt(2, 872))
			late := start(c, list)
			c.eventually("it has met the others", func() bool { return late.liveNodes() == 4 })
			c.eventually("it has the same configurations", func() bool { return late.configRoot() == list[0].configRoot() })
			for _, n := range append(list, late) {
				n.do(n.publish)
				qt.Check(t, n.Snapshot().Evacuated.Zones, qt.HasLen, 0, qt.Commentf("%s", n.Self.ID))
			}
		})
	}
}

// TestRetainedZoneExpires checks that a zone that was lost, and not written again, receives traffic
// again after the retention period.
func TestRetainedZoneExpires(t *testing.T) {
	c := newCluster(t)
	list := c.tableNodes(3)
	const left = 600 * time.Millisecond
	list[0].readZones(zonesAt(2, 870))
	c.waitZones(list, zonesAt(2, 870))
	began := time.Now()
	list[1].do(func() {
		list[1].configs.Put(acceptance.FromRetained(zonesAt(1, 900, "z"), began.Add(left-evacuation.RetentionPeriod)))
	})
	c.waitZones(list[1:2], zonesAt(2, 870, "z"))
	c.waitZones(list, zonesAt(2, 870))
	qt.Check(t, time.Since(began) >= left, qt.IsTrue)
}

// TestNodeFromEarlierEra has a node join that was isolated since before the platform was restored.
// Its state of the earlier era must revert nothing. Of the zones active then, the others only
// accept what was read later than their own.
func TestNodeFromEarlierEra(t *testing.T) {
	tests := map[string]struct {
		knew evacuation.Set
		want evacuation.Set
	}{
		"it knew less":    {knew: zonesAt(1, 890, "x"), want: zonesAt(2, 870, "z")},
		"it knew more":    {knew: zonesAt(1, 905, "x", "z"), want: zonesAt(2, 870, "x", "z")},
		"it knew nothing": {want: zonesAt(2, 870, "z")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			list := c.tableNodes(3)
			first := list[0].Self.Addr
			list[0].readZones(zonesAt(1, 900, "z"))
			c.waitZones(list, zonesAt(1, 900, "z"))
			list[1].readZones(zonesAt(2, 870))
			c.waitZones(list, zonesAt(2, 870, "z"))
			var joins atomic.Bool
			apart := c.tableNode("apart", "y", func() []string {
				if joins.Load() {
					return []string{first}
				}
				return nil
			})
			if test.knew.At.Era > 0 {
				apart.ObserveEra(test.knew.At.Era, false)
				apart.ApplyEvacuation(test.knew)
				qt.Assert(t, apart.Snapshot().Evacuated.SameZones(test.knew), qt.IsTrue)
			}
			joins.Store(true)
			c.eventually("it has met the others", func() bool { return apart.liveNodes() == 4 })
			time.Sleep(200 * time.Millisecond)
			c.waitZones(append(list, apart), test.want)
		})
	}
}

// TestTableAcrossEras restores a backup with a lower version of a table. That must change nothing,
// not even on a node that has seen no other version. A higher version must be applied although
// its revision is lower than the earlier ones.
func TestTableAcrossEras(t *testing.T) {
	c := newCluster(t)
	list := c.tableNodes(4)
	first := list[0].Self.Addr
	table := func(version uint64) *routes.Table {
		r, err := routes.New(routes.Table{Version: version, Services: []routes.Service{{Name: "s"}}})
		qt.Assert(t, err, qt.IsNil)
		return r
	}
	all := func(version uint64) {
		t.Helper()
		for _, n := range list {
			c.eventually(fmt.Sprint("active version: ", version), func() bool { s := n.Snapshot(); return s.Table != nil && s.Table.Version == version })
		}
	}
	list[0].ApplyTable(table(7))
	list[0].RecordRead(true, 0)
	all(7)
	for i, n := range list {
		n.ObserveEra(uint64(i), true)
		n.ApplyTable(table(6))
		n.RecordRead(true, 0)
	}
	late := c.tableNode("late", "y", func() []string { return []string{first} })
	late.ApplyTable(table(6))
	list = append(list, late)
	all(7)
	list[2].ApplyTable(table(8))
	list[2].RecordRead(true, 0)
	all(8)
}
