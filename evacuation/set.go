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

// Set is the set of evacuated zones at one resource version of the platform. It is
// immutable. The zero value means that no zone has ever been evacuated.
type Set struct {
	// At is the resource version at which this set of zones was first read.
	At objectapi.ResourceVersion `json:"at"`
	// Zones are the evacuated availability zones, sorted.
	Zones []string `json:"zones"`
}

// FromObjects returns the zones named by objects read at a resource version. Only the names of the
// objects are used, so an object that can't be decoded still evacuates its zone.
func FromObjects(items []*objectapi.Object, at objectapi.ResourceVersion) Set {
	zones := make([]string, len(items))
	for i, o := range items {
		zones[i] = o.Metadata.Name
	}
	return New(at, zones...)
}

// New returns the Set of the given zones at a resource version.
func New(at objectapi.ResourceVersion, zones ...string) Set {
	zones = append([]string(nil), zones...)
	slices.Sort(zones)
	return Set{
		At:    at,
		Zones: slices.Compact(zones),
	}
}

// Has returns whether a zone is evacuated.
func (s Set) Has(zone string) bool { return slices.Contains(s.Zones, zone) }

// SameZones returns whether both sets have the same zones, at any resource versions.
func (s Set) SameZones(o Set) bool { return slices.Equal(s.Zones, o.Zones) }

// Encode returns s as JSON.
func (s Set) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic("evacuation: set can't be encoded: " + err.Error()) // strings and numbers can always be encoded
	}
	return data
}

// Decode decodes the result of Encode.
func Decode(data []byte) (Set, error) {
	var s Set
	if err := json.Unmarshal(data, &s); err != nil {
		return Set{}, eris.Wrap(err, "decode evacuated zones")
	}
	return New(s.At, s.Zones...), nil
}
