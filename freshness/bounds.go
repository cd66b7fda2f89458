// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package freshness

import (
	"strconv"
	"time"
)

// Age is for how long a table may have been out of date.
type Age struct {
	// Known is whether there is any proof.
	Known bool
	// Time is the time since the moment of the proof.
	Time time.Duration
}

// String returns the age in milliseconds.
func (a Age) String() string {
	if !a.Known {
		return "an unknown time"
	}
	return strconv.FormatInt(a.Time.Milliseconds(), 10) + " ms"
}

// Judgement is what is to be done with a request that shows a key.
type KeyStatus int

// The judgements.
const (
	// Valid means that the key is an organisation's, as far as the bounds want it known.
	Valid KeyStatus = iota
	// Unknown means that no organisation has the key.
	Unknown
	// Stale means that the table is not known to be fresh enough to say either.
	Stale
)

// Bounds are how fresh a table has to be. A bound of zero is none.
type Bounds struct {
	// Revoke is the time after which a request whose key has been revoked is not taken.
	MaxRevokeDelay time.Duration
	// Apply is the time after which a request whose key has been added is not refused for
	// that key.
	MaxApplyDelay time.Duration
}

// Judge returns what is to be done with a request whose key the table has, or has not.
func (b Bounds) Evaluate(a Age, hasKey bool) KeyStatus {
	switch {
	case b.MaxRevokeDelay > 0 && !a.within(b.MaxRevokeDelay):
		return Stale
	case hasKey:
		return Valid
	case b.MaxRevokeDelay > 0 && b.MaxApplyDelay > 0 && !a.within(b.MaxApplyDelay):
		return Stale
	default:
		return Unknown
	}
}

// within returns whether the age is below a bound by any clock: this node's and the one by
// which the bound is reckoned may differ in rate.
func (a Age) within(bound time.Duration) bool {
	return a.Known && a.Time+drift(bound) <= bound
}
