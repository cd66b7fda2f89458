// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasfront.example/gossip"
	"sassafrasfront.example/operator"
	"sassafrasfront.example/platform"
)

// Config is the configuration of one service as nodes pass it on. It is an
// immutable value.
type Config struct {
	// Name is the name of the service.
	Name string `msgpack:"name"`
	// Sequence is that of the Accepted object.
	Sequence uint64 `msgpack:"sequence"`
	// At is when it was accepted.
	At time.Time `msgpack:"at"`
	// Deleted is whether the service was deleted.
	Deleted bool `msgpack:"deleted,omitempty"`
	// Spec is the operator.Service as JSON.
	Spec []byte `msgpack:"spec,omitempty"`
}

// Key implements gossip.Record.
func (c Config) Key() string { return c.Name }

// Rank implements gossip.Record.
func (c Config) Rank() gossip.Version { return gossip.Version{Major: c.Sequence} }

// Service returns the configuration as a value.
func (c Config) Service() (operator.Service, error) {
	var s operator.Service
	if err := json.Unmarshal(c.Spec, &s); err != nil {
		return s, eris.Wrapf(err, "configuration %d of %s", c.Sequence, c.Name)
	}
	return s.WithDefaults(), nil
}

// FromObject returns the configuration that an Accepted object holds.
func FromObject(o *platform.Object) (Config, error) {
	a, err := platform.SpecOf[operator.Accepted](o)
	if err != nil {
		return Config{}, err
	}
	spec, err := json.Marshal(a.Service)
	if err != nil {
		return Config{}, eris.Wrap(err, "encode service")
	}
	return Config{
		Name:     o.Metadata.Name,
		Sequence: a.Sequence,
		At:       a.At,
		Deleted:  a.Deleted,
		Spec:     spec,
	}, nil
}
