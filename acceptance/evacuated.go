// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"strings"
	"time"

	"sassafrasfront.example/evacuation"
)

// The names of the Configs that hold evacuated zones rather than a service. They are not
// valid names of services.
const (
	// EvacuatedName holds the zones as they were read from the platform.
	EvacuatedName = "*evacuated"
	// RetainedName holds the zones that were evacuated when an era of the platform ended.
	RetainedName = "*retained"
)

// seenZonePrefix is the prefix of the names of the Configs which record that a zone was read from
// the platform in an era, after the platform had lost it. The zone's name follows.
const seenZonePrefix = "*stood:"

// SeenZoneName returns the name of the Config which records that a zone was seen on the platform.
func SeenZoneName(zone string) string { return seenZonePrefix + zone }

// FromSeenZone returns the Config which records that a zone was seen on the platform in an era.
func FromSeenZone(zone string, era uint64) Config {
	return Config{
		Name: SeenZoneName(zone),
		Era:  era,
	}
}

// SeenZone returns the zone of a Config that FromSeenZone returned. The second result is false for
// other Configs.
func (c Config) SeenZone() (zone string, ok bool) { return strings.CutPrefix(c.Name, seenZonePrefix) }

// FromZones returns evacuated zones in the form that nodes exchange. The Config has the resource
// version at which they were read.
func FromZones(s evacuation.Set) Config { return fromSet(EvacuatedName, s, time.Time{}) }

// FromRetained returns the zones that were evacuated when an era ended, in the form that nodes
// exchange, with the time at which the next era was first seen.
func FromRetained(s evacuation.Set, seen time.Time) Config {
	return fromSet(RetainedName, s, seen.UTC())
}

func fromSet(name string, s evacuation.Set, at time.Time) Config {
	return Config{
		Name:     name,
		Era:      s.At.Era,
		Sequence: s.At.Revision,
		At:       at,
		Spec:     s.Encode(),
	}
}

// Zones decodes the evacuated zones of the Config named EvacuatedName or RetainedName.
func (c Config) Zones() (evacuation.Set, error) { return evacuation.Decode(c.Spec) }
