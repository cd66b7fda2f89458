// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"time"

	"sassafrasfront.example/evacuation"
)

// The names of the Configs that hold evacuated zones rather than a service. No service can
// have them.
const (
	// Evacuated holds the zones as they were read from the platform.
	Evacuated = "*evacuated"
	// Retained holds those that were in force when an era of the platform ended.
	Retained = "*retained"
)

// FromZones returns evacuated zones as nodes pass them on. Its rank is the Point at which
// they were found.
func FromZones(s evacuation.Set) Config { return fromSet(Evacuated, s, time.Time{}) }

// FromRetained returns the zones that were in force when an era ended, as nodes pass them on,
// with when its successor was first seen.
func FromRetained(s evacuation.Set, seen time.Time) Config { return fromSet(Retained, s, seen.UTC()) }

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
