// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package evacuation

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/objectapi"
)

// Set is the evacuated zones as they were at one Point of the platform. It is an
// immutable value; the zero value says that no zone has ever been.
type Set struct {
	// At is the Point at which the zones were first found so.
	At objectapi.Point `json:"at"`
	// Zones are the evacuated availability zones, sorted.
	Zones []string `json:"zones"`
}

// Named returns the zones that objects read at a Point are named for. What an object says
// beside its name does not count, so one that can't be decoded holds for its zone all the same.
func FromObjects(items []*objectapi.Object, at objectapi.Point) Set {
	zones := make([]string, len(items))
	for i, o := range items {
		zones[i] = o.Metadata.Name
	}
	return New(at, zones...)
}

// New returns the Set of the given zones at a Point.
func New(at objectapi.Point, zones ...string) Set {
	zones = append([]string(nil), zones...)
	slices.Sort(zones)
	return Set{
		At:    at,
		Zones: slices.Compact(zones),
	}
}

// Has returns whether a zone is evacuated.
func (s Set) Has(zone string) bool { return slices.Contains(s.Zones, zone) }

// Same returns whether both have the same zones, whenever that was.
func (s Set) SameZones(o Set) bool { return slices.Equal(s.Zones, o.Zones) }

// Encode returns s as JSON.
func (s Set) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("evacuation: set can't be encoded: " + err.Error()) // it has strings and a number
	}
	return data
}

// Decode returns the Set that Encode has encoded.
func Decode(data []byte) (Set, error) {
	var s Set
	if err := json.Unmarshal(data, &s); err != nil {
		return Set{}, eris.Wrap(err, "evacuated zones")
	}
	return New(s.At, s.Zones...), nil
}
