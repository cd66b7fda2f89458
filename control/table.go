// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"context"
	"time"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/routes"
)

// FirstOfZone returns whether this node is the one of its zone that looks after the
// platform most closely, as far as it knows. It is the first of the zone's live
// nodes in the order of representatives.
func (c *Control) IsFirstInZone() bool {
	c.init()
	var rank int
	return c.do(func() { rank, _ = c.zoneRank() }) && rank == 0
}

// sighted takes in whether the platform answered this node. The first node of a zone and
// the leader of all nodes, if the platform does not answer them, tell the others, so
// that another node takes their place: a partition may part them from the platform
// alone. Other nodes keep it to
// themselves, or all of them would speak at once when the platform is away.
func (c *Control) recordPlatformAnswer(answered bool) {
	if answered == !c.self.PlatformUnreachable {
		return
	}
	rank, _ := c.zoneRank()
	if !answered && rank > 0 && !c.role(time.Now()).IsLeader {
		return
	}
	c.Log.Info().Bool("platformAnswers", answered).Msg("sight of the platform")
	c.setSelf(c.self.WithPlatformUnreachable(!answered))
	c.lastRoleAt = time.Time{}
	c.push(context.Background())
}

// Configure takes in a table of routes, unless a later one is in force.
func (c *Control) ApplyTable(t *routes.Table) {
	c.init()
	record := acceptance.FromTable(t)
	c.do(func() {
		c.configs.Put(record)
		c.publish()
	})
}

// tableChanged takes in a table of routes. It is not taken back: the exchanger
// accepts higher sequences only. It is not pushed: others fetch it from one of those
// that tell them of it, so that a table of thousands of routes comes to each but once.
func (c *Control) tableChanged(r acceptance.Config) {
	delete(c.configs.Outbox, acceptance.Whole)
	t, err := r.Table()
	if err != nil {
		c.Log.Error().Err(err).Uint64("version", r.Sequence).Msg("configuration can't be read")
		return
	}
	if c.table != nil {
		for _, s := range c.table.Services {
			c.dirty[s.Name] = true
		}
	}
	c.table = t
	if c.reads != nil {
		c.reads.SetVersion(t.Version)
	}
	for _, s := range t.Services {
		c.dirty[s.Name] = true
	}
	c.Log.Info().Uint64("version", t.Version).Int("routes", len(t.Routes)).Int("services", len(t.Services)).Msg("configuration in force")
}

// rebuildFromTable puts a service into the next snapshot as the table has it.
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
