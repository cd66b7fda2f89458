// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// TableStatus is a node's report on its table of routes.
type TableStatus struct {
	// Version is the version in force, or 0 if there is none, and Since when it came into force.
	Version uint64    `json:"version"`
	Since   time.Time `json:"since,omitzero"`
	// Announced is the latest version that the node has received a notice of, if it is later than Version, and
	// AnnouncedAt is when the first notice of it arrived.
	Announced   uint64    `json:"announced,omitempty"`
	AnnouncedAt time.Time `json:"announcedAt,omitzero"`
	// Missing is the number of chunks that are missing of the table that the node is fetching, of Chunks.
	Missing int `json:"missing,omitempty"`
	Chunks  int `json:"chunks,omitempty"`
}
