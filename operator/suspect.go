// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// Suspect is what a node tells an operator of a request with which upstreams have ended.
type Suspect struct {
	// Print is the request's fingerprint, as it stands in logs.
	Fingerprint string `json:"print"`
	// Standing is what is thought of it: seen, isolated or blocked.
	State string `json:"standing"`
	// Ends is the number of upstreams that have ended with it at hand, and Upstreams
	// are their starts.
	Crashes   int      `json:"ends"`
	Upstreams []string `json:"upstreams"`
	// Since is when the last of them did, and Until when a block ends.
	LastCrash    time.Time  `json:"since"`
	BlockedUntil *time.Time `json:"until,omitempty"`
}
