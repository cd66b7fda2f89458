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

// Evacuate takes in the evacuated zones as they were read from the platform, unless they
// are the same as before in this era, or from an earlier Point than those known.
func (c *Control) ApplyEvacuation(s evacuation.Set) {
	c.init()
	c.do(func() {
		last := c.zoneState.Latest()
		if s.SameZones(last) && s.At.Era == last.At.Era {
			return // a later revision of the same is no news to anybody
		}
		c.configs.Put(acceptance.FromZones(s))
		c.publish()
	})
}

// zonesChanged takes in evacuated zones as a node has read them. Like a table of routes they
// are fetched by those who hear of them, and not pushed.
func (c *Control) zonesChanged(r acceptance.Config) {
	delete(c.configs.Outbox, acceptance.Evacuated)
	s, err := r.Zones()
	if err != nil {
		c.Log.Error().Err(err).Uint64("era", r.Era).Uint64("revision", r.Sequence).Msg("evacuated zones can't be read, the old ones stay")
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

// retainedChanged takes in the zones that were in force when an era of the platform ended.
func (c *Control) retainedChanged(r acceptance.Config) {
	delete(c.configs.Outbox, acceptance.Retained)
	s, err := r.Zones()
	if err != nil {
		c.Log.Error().Err(err).Uint64("era", r.Era).Uint64("revision", r.Sequence).Msg("zones of an earlier era can't be read")
		return
	}
	now := time.Now()
	c.zoneState.Retain(s, r.At, now)
	c.shareSeenZones()
	c.applyZones(now)
}

// tellStood has other nodes know of the zones that need not be retained any more. One that has
// started since, or has missed the moment, would retain them otherwise.
func (c *Control) shareSeenZones() {
	for _, zone := range c.zoneState.SeenAgain() {
		c.configs.Put(acceptance.FromStood(zone, c.zoneState.Latest().At.Era))
	}
}

// stoodChanged takes in that a zone has stood on the platform in an era.
func (c *Control) seenChanged(r acceptance.Config, zone string) {
	delete(c.configs.Outbox, r.Name)
	c.zoneState.MarkSeen(zone, r.Era)
	c.applyZones(time.Now())
}

// zoneNames returns the names of the records of evacuated zones, that of the zones as they were
// read last: who takes them in that order never puts zones in force that have been removed.
func (c *Control) zoneRecordNames() []string {
	var names []string
	for _, zone := range c.zoneState.SeenAgain() {
		names = append(names, acceptance.StoodName(zone))
	}
	return append(names, acceptance.Retained, acceptance.Evacuated)
}

// enforceZones puts the evacuated zones in force as they now are.
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

// upstreamsIn returns the number of upstreams that would take requests in evacuated zones.
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

// Left returns the number of upstreams that would take requests in each evacuated zone.
func (c *Control) RemainingUpstreams() map[string]int {
	c.init()
	left := make(map[string]int)
	c.do(func() {
		for _, zone := range c.evacuated.Zones {
			left[zone] = c.upstreamsIn(evacuation.New(objectapi.Point{}, zone))
		}
	})
	return left
}
