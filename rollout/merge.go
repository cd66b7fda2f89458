// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package rollout

import "time"

// StoredOrder is an order as read from the platform.
type StoredOrder struct {
	// Order is the order. Its ResourceVersion is that of the object's last change.
	Order Order
	// Outcome is the recorded outcome: Completed, RolledBack, or Trial if there is none.
	Outcome Phase
}

// Merge merges an order that was read from the platform into the known state of a service's roll-out.
// The argument ok is whether there is a known state. Merge returns the new state, and whether it
// differs from the known one.
//
// The platform may be restored from a backup, in a later era, without a recorded outcome. An outcome
// that nodes know is then recorded again, and the version is not tried again. An order without
// outcome that was changed after its outcome had been recorded was submitted again.
func Merge(known State, ok bool, f StoredOrder, now time.Time) (next State, changed bool) {
	fresh := State{
		Order:  f.Order,
		When:   now,
		Reason: "ordered",
	}
	if f.Outcome.Settled() {
		fresh.Phase = f.Outcome
		fresh.Reason = "recorded on the platform"
		fresh.Recorded = f.Order.ResourceVersion
	}
	switch {
	case !ok:
		return fresh, true
	case !known.Order.Same(f.Order) && known.Order.ResourceVersion.Less(f.Order.ResourceVersion):
		return fresh, true
	case !known.Order.Same(f.Order):
		return known, false
	case known.Order.ResourceVersion.Era < f.Order.ResourceVersion.Era:
		return inLaterEra(known, f, fresh, now), true
	case f.Outcome.Settled() && !known.Phase.Settled():
		fresh.Order = known.Order
		return fresh, true
	case known.Phase.Settled() && !f.Outcome.Settled() && known.Recorded.Less(f.Order.ResourceVersion):
		return fresh, true
	}
	return known, false
}

// inLaterEra returns the state of an order that was read in a later era of the platform.
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
