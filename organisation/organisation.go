// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package organisation

import (
	"crypto/sha256"
	"encoding/base64"
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return eris.Wrap(err, "digest")
	}
	if len(data) != len(d) {
		return eris.Errorf("digest has %d bytes", len(data))
	}
	copy(d[:], data)
	return nil
}

// Organisation is the configuration of an organisation. It is an immutable value.
type Organisation struct {
	// Name identifies the organisation. It is sent to the upstreams.
	Name string `json:"name"`
	// Keys are the digests of its keys. Without a key no request can be sent on its behalf.
	Keys []Digest `json:"keys,omitempty"`
	// Priority, if not nil, replaces that of the route for its requests.
	Priority *int `json:"priority,omitempty"`
	// Regions are those to which its requests may be sent, in addition to the restrictions of their
	// routes. None means all.
	Regions []string `json:"regions,omitempty"`
	// Rate and Burst are its rate limit over all nodes together: Rate requests per second, and Burst more
	// after a pause. A Rate of 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Check returns a validation error, or nil.
func (o *Organisation) Check() error {
	switch {
	case o.Name == "":
		return eris.New("organisation without a name")
	case !(o.Rate >= 0 && !math.IsInf(o.Rate, 0)): // also excludes NaN
		return eris.Errorf("organisation %q: invalid rate limit of %v requests per second", o.Name, o.Rate)
	case !(o.Burst >= 0 && !math.IsInf(o.Burst, 0)):
		return eris.Errorf("organisation %q: invalid burst of %v requests", o.Name, o.Burst)
	case slices.Contains(o.Regions, ""):
		return eris.Errorf("organisation %q: region without a name", o.Name)
	}
	return nil
}

// Set is the set of all organisations, indexed by name and by key. Use NewSet to create one. It is an immutable
// value.
type Set struct {
	list   []Organisation
	byName map[string]int
	byKey  map[Digest]int

	meanRate float64 // of the organisations with a rate limit
}

// NewSet returns the Set of the given organisations. The error is the first one found: an invalid
// organisation, or a duplicate name or key.
func NewSet(list []Organisation) (*Set, error) {
	s := &Set{
		list:   list,
		byName: make(map[string]int, len(list)),
		byKey:  make(map[Digest]int, len(list)),

		meanRate: meanRate(list),
	}
	for i := range list {
		o := &list[i]
		if err := o.Check(); err != nil {
			return nil, err
		}
		if _, ok := s.byName[o.Name]; ok {
			return nil, eris.Errorf("duplicate organisation %q", o.Name)
		}
		s.byName[o.Name] = i
		for _, d := range o.Keys {
			if other, ok := s.byKey[d]; ok {
				return nil, eris.Errorf("organisation %q: duplicate key, also of organisation %q", o.Name, list[other].Name)
			}
			s.byKey[d] = i
		}
	}
	return s, nil
}

// List returns all organisations, in the order of the configuration.
func (s *Set) List() []Organisation { return s.list }

// ByName returns the organisation with the given name, or nil.
func (s *Set) ByName(name string) *Organisation {
	i, ok := s.byName[name]
	if !ok {
		return nil
	}
	return &s.list[i]
}

// ByKey returns the organisation that has the given key, or nil.
func (s *Set) ByKey(key string) *Organisation {
	i, ok := s.byKey[DigestOf(key)]
	if !ok {
		return nil
	}
	return &s.list[i]
}
