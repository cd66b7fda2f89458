// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package control

import (
	"slices"
	"time"

	"sassafrasfront.example/acceptance"
	"sassafrasfront.example/evacuation"
	"sassafrasfront.example/objectapi"
)

// ApplyEvacuation applies the evacuated zones that were read from the platform. It ignores a set
// with the same zones as the known one in this era, and one read at an earlier resource version.
func (c *Control) ApplyEvacuation(s evacuation.Set) {
	c.init()
	c.do(func() {
		last := c.zoneState.Latest()
		if s.SameZones(last) && s.At.Era == last.At.Era {
			return // the zones are unchanged
		}
		c.configs.Put(acceptance.FromZones(s))
		c.publish()
	})
}

// zonesChanged handles evacuated zones that a node has read. Like a table of routes they are
// not pushed: nodes fetch them once they have received the read status.
func (c *Control) zonesChanged(r acceptance.Config) {
	delete(c.configs.Outbox, acceptance.EvacuatedName)
	s, err := r.Zones()
	if err != nil {
		c.Log.Error().Err(err).Uint64("era", r.Era).Uint64("revision", r.Sequence).Msg("invalid record of evacuated zones; keeping the previous zones")
		return
	}
	now := time.Now()
	if before, restored := c.zoneState.Update(s, now); restored {
		c.configs.Put(acceptance.FromRetained(before, c.eraSeenAt(now)))
	}
	if c.reads != nil {
		c.reads.SetZones(s.At)
	}
	c.shareSeenZones()
	c.applyZones(now)
}

// retainedChanged handles the zones that were evacuated when an era of the platform ended.
func (c *Control) retainedChanged(r acceptance.Config) {
	delete(c.configs.Outbox, acceptance.RetainedName)
	s, err := r.Zones()
	if err != nil {
		c.Log.Error().Err(err).Uint64("era", r.Era).Uint64("revision", r.Sequence).Msg("invalid record of retained zones")
		return
	}
	now := time.Now()
	c.zoneState.Retain(s, r.At, now)
	c.shareSeenZones()
	c.applyZones(now)
}

// shareSeenZones sends the zones that no longer need to be retained to other nodes. A node that
// has started since, or that missed the read, would retain them otherwise.
func (c *Control) shareSeenZones() {
	for _, zone := range c.zoneState.SeenAgain() {
		c.configs.Put(acceptance.FromSeenZone(zone, c.zoneState.Latest().At.Era))
	}
}

// seenChanged handles a record that a zone was seen on the platform in an era.
func (c *Control) seenChanged(r acceptance.Config, zone string) {
	delete(c.configs.Outbox, r.Name)
	c.zoneState.MarkSeen(zone, r.Era)
	c.applyZones(time.Now())
}

// zoneRecordNames returns the names of the records of evacuated zones. The latest read comes last:
// a node that applies the records in this order never evacuates a zone that has been removed.
func (c *Control) zoneRecordNames() []string {
	var names []string
	for _, zone := range c.zoneState.SeenAgain() {
		names = append(names, acceptance.SeenZoneName(zone))
	}
	return append(names, acceptance.RetainedName, acceptance.EvacuatedName)
}

// applyZones updates the active set of evacuated zones.
func (c *Control) applyZones(now time.Time) {
	s := c.zoneState.Active(now)
	if s.At == c.evacuated.At && s.SameZones(c.evacuated) {
		return
	}
	c.evacuated = s
	for name := range c.byService {
		c.dirty[name] = true
	}
	retained := slices.DeleteFunc(slices.Clone(s.Zones), c.zoneState.Latest().Has)
	c.Log.Info().Uint64("era", s.At.Era).Uint64("revision", s.At.Revision).Strs("zones", s.Zones).Strs("retained", retained).Int("upstreams", c.upstreamsIn(s)).Msg("evacuated zones in force")
}

// upstreamsIn returns the number of upstreams in evacuated zones that accept requests.
func (c *Control) upstreamsIn(s evacuation.Set) (n int) {
	for _, members := range c.byService {
		for _, r := range members {
			if s.Has(r.Zone) {
				n++
			}
		}
	}
	return n
}

// RemainingUpstreams returns the number of upstreams that accept requests in each evacuated zone.
func (c *Control) RemainingUpstreams() map[string]int {
	c.init()
	left := make(map[string]int)
	c.do(func() {
		for _, zone := range c.evacuated.Zones {
			left[zone] = c.upstreamsIn(evacuation.New(objectapi.ResourceVersion{}, zone))
		}
	})
	return left
}
