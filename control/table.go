// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"time"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/chunk"
	"sassafrasfront.example/routes"
)

// IsFirstInZone returns whether this node is the first of the live nodes of its zone in the order
// of representatives, as far as it knows. The first node reads the platform most often.
func (c *Control) IsFirstInZone() bool {
	c.init()
	var rank int
	return c.do(func() { rank, _ = c.zoneRank() }) && rank == 0
}

// recordPlatformResponse records whether the platform responded to this node. If it does not respond
// to the first node of a zone, or to the leader of all nodes, that node announces this, so that
// another node takes over: a partition may separate it from the platform only. Other nodes announce
// nothing, because all of them would do so at once during an outage of the platform.
func (c *Control) recordPlatformResponse(responded bool) {
	if responded == !c.self.PlatformUnreachable {
		return
	}
	rank, _ := c.zoneRank()
	if !responded && rank > 0 && !c.role(time.Now()).IsLeader {
		return
	}
	c.Log.Info().Bool("platformAnswers", responded).Msg("platform reachability changed")
	c.setSelf(c.self.WithPlatformUnreachable(!responded))
	c.lastRoleAt = time.Time{}
	c.push(context.Background())
}

// ApplyTable applies a table of routes, unless a later one is active.
func (c *Control) ApplyTable(t *routes.Table) {
	c.init()
	if t.Version <= c.snapshotVersion() {
		return
	}
	record := acceptance.FromTable(t)
	var before []*chunk.Object
	c.do(func() { before = c.keptObjects() })
	decoded := decodedTable{
		Table:  t,
		object: chunk.New(record.Spec, before...),
	}
	c.do(func() { c.putTable(decoded, record.Spec) })
}

// tableChanged handles a new table of routes. A table never reverts, because the exchange accepts
// higher sequences only. It is not pushed: a node fetches it from one of those that announce it,
// so that a table of thousands of routes is sent to each node only once.
func (c *Control) tableChanged(r acceptance.Config) {
	delete(c.configs.Outbox, acceptance.TableName)
	t := c.decoded
	if t.Table == nil {
		var err error
		if t.Table, err = r.Table(); err != nil {
			c.Log.Error().Err(err).Uint64("version", r.Sequence).Msg("invalid table of routes")
			return
		}
		t.object = chunk.New(r.Spec, c.keptObjects()...)
	}
	if c.table != nil {
		for _, s := range c.table.Services {
			c.dirty[s.Name] = true
		}
	}
	c.table = t.Table
	c.keepTable(t.Version, t.object)
	if c.reads != nil {
		c.reads.SetVersion(t.Version)
	}
	for _, s := range t.Services {
		c.dirty[s.Name] = true
	}
	c.logInForce(t.Table)
}

// rebuildFromTable updates a service of the next snapshot from the table.
func (c *Control) rebuildFromTable(next *Snapshot, name string) {
	if c.table == nil {
		return
	}
	if _, ok := c.table.Service(name); !ok {
		delete(next.Services, name)
		return
	}
	next.Services[name] = c.withMembers(name, c.ServiceConfig(c.table, name, max(1, c.live)))
}
