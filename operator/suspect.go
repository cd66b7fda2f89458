// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// Suspect is a node's report on a request that was in flight when upstreams crashed.
type Suspect struct {
	// Fingerprint is the request's fingerprint, as in logs.
	Fingerprint string `json:"print"`
	// State is seen, isolated or blocked.
	State string `json:"standing"`
	// Crashes is the number of upstreams that crashed while it was in flight. Upstreams are
	// the IDs of their starts.
	Crashes   int      `json:"ends"`
	Upstreams []string `json:"upstreams"`
	// LastCrash is when the last of them crashed. BlockedUntil is when a block ends.
	LastCrash    time.Time  `json:"since"`
	BlockedUntil *time.Time `json:"until,omitempty"`
}
