// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// EvacuatedZone is a node's report on an evacuated availability zone.
type EvacuatedZone struct {
	// Zone is its name.
	Zone string `json:"zone"`
	// Era and Revision are the platform's when the current set of evacuated zones was
	// read.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Since is when the reporting node received the evacuation.
	Since time.Time `json:"since"`
	// Upstreams is the number of upstreams there that would otherwise accept requests.
	Upstreams int `json:"upstreams"`
	// InFlight, if not nil, is the number of requests in flight at the upstream beside the
	// reporting node, if that is in the zone. It is 0 once the evacuation is complete there.
	InFlight *int `json:"running,omitempty"`
}
