// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package freshness

import (
	"strconv"
	"time"
)

// Age is an upper bound on the time for which a table may have been out of date.
type Age struct {
	// Known is whether there is a proof.
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

// KeyStatus is how a request with a key has to be handled.
type KeyStatus int

// The values of KeyStatus.
const (
	// Valid means that an organisation has the key, and that the table is fresh enough for that.
	Valid KeyStatus = iota
	// Unknown means that no organisation has the key.
	Unknown
	// Stale means that the table is not known to be fresh enough to decide.
	Stale
)

// Bounds are how fresh a table has to be. Zero means no bound.
type Bounds struct {
	// MaxRevokeDelay is the time after which a request with a revoked key is no longer accepted.
	MaxRevokeDelay time.Duration
	// MaxApplyDelay is the time after which a request with an added key is no longer refused because of
	// the key.
	MaxApplyDelay time.Duration
}

// Evaluate returns how to handle a request. The argument hasKey is whether the table has its key.
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

// within returns whether the age is below a bound by any clock: the rates of this node's clock and of the one
// by which the bound is measured may differ.
func (a Age) within(bound time.Duration) bool {
	return a.Known && a.Time+drift(bound) <= bound
}
