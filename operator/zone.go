// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// Zone is what a node tells an operator of an evacuated availability zone.
type EvacuatedZone struct {
	// Zone is its name.
	Zone string `json:"zone"`
	// Era and Revision are the platform's, at which the evacuated zones were found as they
	// are now.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Since is when the node that answers learnt of the evacuation.
	Since time.Time `json:"since"`
	// Upstreams is the number of upstreams there that would take requests.
	Upstreams int `json:"upstreams"`
	// Running is the number of requests at the upstream beside the node that answers, if
	// that is in the zone: 0 once the evacuation is done there.
	InFlight *int `json:"running,omitempty"`
}
