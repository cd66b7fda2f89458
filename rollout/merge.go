// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "time"

// Found is an order as it was read from the platform.
type StoredOrder struct {
	// Order is the order; its Point is that of the object's last change.
	Order Order
	// Outcome is what the platform has recorded: Completed, RolledBack, or Trial if nothing.
	Outcome Phase
}

// Take returns the state of a service's roll-out once an order was read, and whether it
// differs from the one that was known, if one was.
//
// The platform may come back from a copy in a later era, without what was recorded: an outcome
// that nodes know is then to be recorded again, and the version is not tried once more. An
// order that is read later than its outcome and bears none was written anew.
func Merge(known State, ok bool, f StoredOrder, now time.Time) (next State, changed bool) {
	fresh := State{
		Order:  f.Order,
		When:   now,
		Reason: "ordered",
	}
	if f.Outcome.Settled() {
		fresh.Phase = f.Outcome
		fresh.Reason = "recorded on the platform"
		fresh.Recorded = f.Order.At
	}
	switch {
	case !ok:
		return fresh, true
	case !known.Order.Same(f.Order) && known.Order.At.Less(f.Order.At):
		return fresh, true
	case !known.Order.Same(f.Order):
		return known, false
	case known.Order.At.Era < f.Order.At.Era:
		return inLaterEra(known, f, fresh, now), true
	case f.Outcome.Settled() && !known.Phase.Settled():
		fresh.Order = known.Order
		return fresh, true
	case known.Phase.Settled() && !f.Outcome.Settled() && known.Recorded.Less(f.Order.At):
		return fresh, true
	}
	return known, false
}

// inLaterEra returns what is known of an order as of a later era of the platform.
func inLaterEra(known State, f StoredOrder, fresh State, now time.Time) State {
	if f.Outcome.Settled() {
		return fresh
	}
	next := known
	next.Order = f.Order
	switch known.Phase {
	case Completed:
		return next.WithPhase(Emptied, "the platform has lost that it was completed", known.Node, now)
	case RolledBack:
		return next.WithPhase(Stopped, "the platform has lost that it was rolled back", known.Node, now)
	}
	return next
}
