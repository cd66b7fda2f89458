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

// notFreshWait is when a caller with a key may come back to a node that does not know which
// keys are valid. Where the platform answers any node that this one can reach, it knows
// again after the next read.
const keysStaleRetryAfter = 500 * time.Millisecond

// keepFresh has the nodes tell each other how fresh the table of routes is, if keys have to
// be known as revoked within a time.
func (n *Node) enableFreshness() {
	if n.Settings.RevokeWithin == 0 {
		return
	}
	n.control.Clock = n.newClock()
	n.control.MaxStaleness = n.Settings.RevokeWithin
}

// clock returns a clock that goes on while the instance is suspended, if there is one.
func (n *Node) newClock() boottime.Clock {
	clock, err := boottime.New()
	if err != nil {
		n.Log.Warn().Err(err).Msg("no clock that goes on while the instance is suspended")
	}
	return clock
}

// keys returns how keys are judged.
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

// keyBounds returns how fresh the table of routes has to be for keys to be judged by it.
func (n *Node) freshnessBounds() freshness.Bounds {
	return freshness.Bounds{
		MaxRevokeDelay: n.Settings.RevokeWithin,
		MaxApplyDelay:  n.Settings.ConfigWithin,
	}
}

// keyJudged logs when requests with keys begin or cease to be refused because the node
// does not know which keys are valid.
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

// judgesKeys returns whether the node can tell which keys are valid, where it has to.
func (n *Node) canValidateKeys() bool {
	t := n.control.Snapshot().Table
	if n.Settings.RevokeWithin == 0 || t == nil || !t.KeysRequired {
		return true
	}
	return n.freshnessBounds().Evaluate(n.control.TableAge(t.Version), true) == freshness.Valid
}

// tableAgeSeconds returns for how long the table of routes may have been out of date:
// infinite if that is not known, and 0 where it is not asked for.
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
