// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package acceptance

import (
	"strings"

	"sassafrasfront.example/rollout"
)

// rolloutPrefix is the prefix of the names of the Configs that hold roll-outs. The service's name
// follows. They are not valid names of services.
const rolloutPrefix = "*rollout:"

// RolloutName returns the name of the Config that holds the roll-out of a service.
func RolloutName(service string) string { return rolloutPrefix + service }

// FromRollout returns the state of a roll-out in the form that nodes exchange.
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

// Rollout decodes the state of a roll-out from a Config that FromRollout returned.
func (c Config) Rollout() (rollout.State, error) { return rollout.Decode(c.Spec) }
