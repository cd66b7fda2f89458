// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"strings"

	"sassafrasfront.example/rollout"
)

// rolloutPrefix begins the names of the Configs that hold roll-outs, which end with the
// service's. No service can have such a name.
const rolloutPrefix = "*rollout:"

// RolloutName returns the name of the Config that holds the roll-out of a service.
func RolloutName(service string) string { return rolloutPrefix + service }

// FromRollout returns the state of a roll-out as nodes pass it on.
func FromRollout(s rollout.State) Config {
	era, sequence := s.Rank()
	return Config{
		Name:     RolloutName(s.Order.Service),
		Era:      era,
		Sequence: sequence,
		At:       s.When,
		Spec:     s.Encode(),
	}
}

// IsRollout returns whether c holds a roll-out.
func (c Config) IsRollout() bool { return strings.HasPrefix(c.Name, rolloutPrefix) }

// Rollout returns the state that a Config of FromRollout holds.
func (c Config) Rollout() (rollout.State, error) { return rollout.Decode(c.Spec) }
