// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/gossip"
	"sassafrasfront.example/operator"
)

// Config is the configuration of one service in the form that nodes exchange. It is an
// immutable value.
type Config struct {
	// Name is the name of the service.
	Name string `msgpack:"name"`
	// Era is the platform's era if Sequence is a revision of the platform, and 0 otherwise.
	Era uint64 `msgpack:"era,omitempty"`
	// Sequence is the sequence of the Accepted object.
	Sequence uint64 `msgpack:"sequence"`
	// At is when the configuration was accepted.
	At time.Time `msgpack:"at"`
	// Deleted is whether the service was deleted.
	Deleted bool `msgpack:"deleted,omitempty"`
	// Spec is the operator.Service, encoded as JSON.
	Spec []byte `msgpack:"spec,omitempty"`
}

// Key implements gossip.Record.
func (c Config) Key() string { return c.Name }

// EncodedBytes returns the approximate size of the encoded configuration.
func (c Config) EncodedBytes() int { return len(c.Name) + len(c.Spec) + overheadBytes }

// overheadBytes is the size of an encoded configuration without its name and specification.
const overheadBytes = 80

// GossipVersion implements gossip.Record.
func (c Config) GossipVersion() gossip.Version {
	return gossip.Version{
		Major: c.Era,
		Minor: c.Sequence,
	}
}

// Service decodes the configuration.
func (c Config) Service() (operator.Service, error) {
	var s operator.Service
	if err := json.Unmarshal(c.Spec, &s); err != nil {
		return s, eris.Wrapf(err, "configuration %d of %s", c.Sequence, c.Name)
	}
	return s.WithDefaults(), nil
}

// FromAccepted returns the configuration in the Accepted object of a service. It panics if the
// service can't be encoded.
func FromAccepted(name string, a operator.Accepted) Config {
	spec, err := json.Marshal(a.Service)
	if err != nil {
		panic("acceptance: service can't be encoded: " + err.Error())
	}
	return Config{
		Name:     name,
		Sequence: a.Sequence,
		At:       a.AcceptedAt,
		Deleted:  a.Deleted,
		Spec:     spec,
	}
}
