// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package node

import (
	"math"
	"time"

	"sassafrasfront.example/caller"
	"sassafrasfront.example/freshness"
	"sassafrasfront.example/internal/boottime"
)

// keysStaleRetryAfter is the time after which a caller with a key may retry at a node that does
// not know which keys are valid. If the platform responds to any node that this one can reach,
// this one can validate keys again after the next read.
const keysStaleRetryAfter = 500 * time.Millisecond

// enableFreshness makes the nodes exchange how fresh the table of routes is, if the settings bound
// the time after which a revoked key must be refused.
func (n *Node) enableFreshness() {
	if n.Settings.RevokeWithin == 0 {
		return
	}
	n.control.Clock = n.newClock()
	n.control.MaxStaleness = n.Settings.RevokeWithin
}

// newClock returns a clock that keeps running while the instance is suspended, or a monotonic
// clock if there is none.
func (n *Node) newClock() boottime.Clock {
	clock, err := boottime.New()
	if err != nil {
		n.Log.Warn().Err(err).Msg("no clock that keeps running while the instance is suspended")
	}
	return clock
}

// keyPolicy returns how keys are validated.
func (n *Node) keyPolicy() caller.Keys {
	if n.Settings.RevokeWithin == 0 {
		return caller.Keys{}
	}
	return caller.Keys{
		Bounds:      n.freshnessBounds(),
		Age:         n.control.TableAge,
		OnEvaluated: n.keyChecked,
		RetryAfter:  keysStaleRetryAfter,
	}
}

// freshnessBounds returns how fresh the table of routes has to be for keys to be validated by it.
func (n *Node) freshnessBounds() freshness.Bounds {
	return freshness.Bounds{
		MaxRevokeDelay: n.Settings.RevokeWithin,
		MaxApplyDelay:  n.Settings.ConfigWithin,
	}
}

// keyChecked logs when the node begins or ceases to refuse requests with keys because it does
// not know which keys are valid.
func (n *Node) keyChecked(admitted bool, version uint64, age freshness.Age) {
	if n.keysStale.Load() != admitted || !n.keysStale.CompareAndSwap(admitted, !admitted) {
		return
	}
	if admitted {
		n.Log.Info().Uint64("version", version).Stringer("age", age).Msg("keys can be judged again")
		return
	}
	n.Log.Warn().Uint64("version", version).Stringer("age", age).Dur("boundMs", n.Settings.RevokeWithin).Msg("keys can't be judged")
}

// canValidateKeys returns whether the node knows which keys are valid, or does not have to.
func (n *Node) canValidateKeys() bool {
	t := n.control.Snapshot().Table
	if n.Settings.RevokeWithin == 0 || t == nil || !t.KeysRequired {
		return true
	}
	return n.freshnessBounds().Evaluate(n.control.TableAge(t.Version), true) == freshness.Valid
}

// tableAgeSeconds returns for how long the table of routes may have been out of date:
// infinite if that is unknown, and 0 if its age is not bounded.
func (n *Node) tableAgeSeconds() float64 {
	if n.Settings.RevokeWithin == 0 {
		return 0
	}
	age := n.control.TableAge(n.version())
	if !age.Known {
		return math.Inf(1)
	}
	return age.Time.Seconds()
}
