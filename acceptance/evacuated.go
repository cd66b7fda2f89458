// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"strings"
	"time"

	"sassafrasfront.example/evacuation"
)

// The names of the Configs that hold evacuated zones rather than a service. No service can
// have them.
const (
	// Evacuated holds the zones as they were read from the platform.
	EvacuatedName = "*evacuated"
	// Retained holds those that were in force when an era of the platform ended.
	RetainedName = "*retained"
)

// stoodPrefix begins the names of the Configs which say that a zone has stood on the platform in
// an era, though the platform had lost it. They end with the zone's.
const seenZonePrefix = "*stood:"

// StoodName returns the name of the Config which says that a zone has stood on the platform.
func SeenZoneName(zone string) string { return seenZonePrefix + zone }

// FromStood returns that a zone has stood on the platform in an era, as nodes pass it on.
func FromSeenZone(zone string, era uint64) Config {
	return Config{
		Name: SeenZoneName(zone),
		Era:  era,
	}
}

// Stood returns the zone that a Config of FromStood names. The second result is false if c is
// none.
func (c Config) SeenZone() (zone string, ok bool) { return strings.CutPrefix(c.Name, seenZonePrefix) }

// FromZones returns evacuated zones as nodes pass them on. Its rank is the Point at which
// they were found.
func FromZones(s evacuation.Set) Config { return fromSet(EvacuatedName, s, time.Time{}) }

// FromRetained returns the zones that were in force when an era ended, as nodes pass them on,
// with when its successor was first seen.
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

// Zones returns the evacuated zones that the Config named Evacuated or Retained holds.
func (c Config) Zones() (evacuation.Set, error) { return evacuation.Decode(c.Spec) }
