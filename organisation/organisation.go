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
		return eris.Errorf("digest of %d bytes", len(data))
	}
	copy(d[:], data)
	return nil
}

// Organisation is what the configuration says of an organisation. It is an immutable
// value.
type Organisation struct {
	// Name identifies the organisation. It is told to the upstreams.
	Name string `json:"name"`
	// Keys are the digests of its keys. Without one nobody gets in on its behalf.
	Keys []Digest `json:"keys,omitempty"`
	// Priority, if not nil, takes the place of the routes' for its requests.
	Priority *int `json:"priority,omitempty"`
	// Regions are those that its requests may be sent to, beside what their routes allow.
	// None means all.
	Regions []string `json:"regions,omitempty"`
	// Rate and Burst are its rate limit, over all nodes together: Rate requests a second,
	// and Burst more after a pause. A Rate of 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Check returns what is wrong with an organisation, or nil.
func (o *Organisation) Check() error {
	switch {
	case o.Name == "":
		return eris.New("an organisation without a name")
	case !(o.Rate >= 0 && !math.IsInf(o.Rate, 0)): // NaN is none either
		return eris.Errorf("organisation %q: a rate limit of %v requests a second", o.Name, o.Rate)
	case !(o.Burst >= 0 && !math.IsInf(o.Burst, 0)):
		return eris.Errorf("organisation %q: a burst of %v requests", o.Name, o.Burst)
	case slices.Contains(o.Regions, ""):
		return eris.Errorf("organisation %q: a region without a name", o.Name)
	}
	return nil
}

// Set is all organisations, by name and by key. It is an immutable value; NewSet makes it.
type Set struct {
	list   []Organisation
	byName map[string]int
	byKey  map[Digest]int

	meanRate float64 // of those with a rate limit
}

// NewSet returns the Set of the given organisations, or the first fault: a name or a key
// that is there twice, or a faulty organisation.
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
			return nil, eris.Errorf("organisation %q is there twice", o.Name)
		}
		s.byName[o.Name] = i
		for _, d := range o.Keys {
			if other, ok := s.byKey[d]; ok {
				return nil, eris.Errorf("organisation %q: a key that organisation %q has as well", o.Name, list[other].Name)
			}
			s.byKey[d] = i
		}
	}
	return s, nil
}

// List returns all organisations, in the order of the configuration.
func (s *Set) List() []Organisation { return s.list }

// Named returns the organisation with the given name, or nil.
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
