// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"maps"
	"sort"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/entry"
	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/member"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/rollout"
	"sassafrasfront.example/routes"
)

// Snapshot is a node's view of the system at one moment. It is immutable.
type Snapshot struct {
	// Services are the active services, by name.
	Services map[string]*entry.Service
	// Hosts are the services by host. If several services have a host, it belongs to the one
	// whose name sorts first.
	Hosts map[string]*entry.Service
	// Sequences are those of the known configurations, deleted ones included.
	Sequences map[string]uint64
	// Members is the number of known live nodes.
	Members int
	// Table is the active table of routes, or nil.
	Table *routes.Table
	// Evacuated are the zones whose upstreams receive no requests.
	Evacuated evacuation.Set
	// Rollouts are the latest orders to roll a version out, by service.
	Rollouts map[string]rollout.LocalState
	// Ready is whether any configuration is known.
	Ready bool
}

// Lookup returns the service that has a host, or nil.
func (s *Snapshot) Lookup(host string) *entry.Service { return s.Hosts[host] }

// rebuild publishes a snapshot with the changes since the last one.
func (c *Control) rebuild() {
	old := c.snapshot.Load()
	next := &Snapshot{
		Services:  maps.Clone(old.Services),
		Hosts:     old.Hosts,
		Sequences: maps.Clone(old.Sequences),
		Members:   c.live,
	}
	next.Table = c.table
	next.Evacuated = c.evacuated
	next.Rollouts = maps.Clone(c.rollouts)
	hosts := false
	for name := range c.dirty {
		if c.ServiceConfig != nil {
			c.rebuildFromTable(next, name)
			continue
		}
		config, ok := c.configs.Set.Get(name)
		if !ok {
			continue
		}
		next.Sequences[name] = config.Sequence
		before := next.Services[name]
		s := c.service(config)
		if s == nil {
			delete(next.Services, name)
		} else {
			next.Services[name] = s
		}
		hosts = hosts || before == nil || s == nil || old.Sequences[name] != config.Sequence || before != s
	}
	clear(c.dirty)
	if hosts {
		next.Hosts = hostsOf(next.Services)
	}
	next.Ready = len(next.Sequences) > 0 || c.table != nil
	c.snapshot.Store(next)
	c.tableApplied(next.Table)
	c.Published(next)
}

// service returns an active service with its members, or nil if it is deleted.
func (c *Control) service(config acceptance.Config) *entry.Service {
	if config.Deleted {
		return nil
	}
	parsed, err := config.Service()
	if err != nil {
		c.Log.Error().Err(err).Str("service", config.Name).Msg("invalid configuration record")
		return c.snapshot.Load().Services[config.Name]
	}
	return c.withMembers(config.Name, parsed)
}

// withMembers returns a service with its members, leaving out those in evacuated zones and those
// whose version is withheld.
func (c *Control) withMembers(name string, config operator.Service) *entry.Service {
	s := &entry.Service{
		Name:   name,
		Config: config,
	}
	canary := c.canary(name)
	s.CanaryShare = canary.share
	for _, r := range c.byService[name] {
		if c.evacuated.Has(r.Zone) || canary.eligibility(r) == rollout.Withheld {
			continue
		}
		s.Members = append(s.Members, entry.Member{
			ID:     r.ID,
			Addr:   r.Addr,
			Zone:   r.Zone,
			Region: r.Region,
			Slots:  r.Slots,
			Canary: canary.selected[r.ID],
		})
	}
	sort.Slice(s.Members, func(i, j int) bool { return s.Members[i].ID < s.Members[j].ID })
	return s
}

// hostsOf returns the services by host.
func hostsOf(services map[string]*entry.Service) map[string]*entry.Service {
	hosts := make(map[string]*entry.Service)
	for _, s := range services {
		for _, h := range s.Config.Hosts {
			if other := hosts[h]; other == nil || s.Name < other.Name {
				hosts[h] = s
			}
		}
	}
	return hosts
}

// indexMember updates the indexes from which snapshots are built.
func (c *Control) indexMember(old, r member.Record) {
	if wasLive(old) {
		c.countLive(old, -1)
	}
	if r.Live() {
		c.countLive(r, 1)
	}
	if old.AcceptsRequests() {
		delete(c.byService[old.Service], old.ID)
		c.dirty[old.Service] = true
	}
	if r.AcceptsRequests() {
		if c.byService[r.Service] == nil {
			c.byService[r.Service] = make(map[string]member.Record)
		}
		c.byService[r.Service][r.ID] = r
		c.dirty[r.Service] = true
	}
}

// countLive adds n to the counts of live nodes that include r.
func (c *Control) countLive(r member.Record, n int) {
	c.live += n
	if r.Zone == c.self.Zone && r.ID != c.self.ID {
		c.zonePeers += n
	}
}
