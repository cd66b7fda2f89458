// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// Rollout is a node's report on the roll-out of a version.
type Rollout struct {
	// Service is the service. Version is the version that is rolled out.
	Service string `json:"service"`
	Version string `json:"version"`
	// Phase is one of trial, widened, moved, stopped, completed and rolledBack.
	Phase string `json:"phase"`
	// Share is the share of the requests that the version gets, within 0 and 1.
	Share float64 `json:"share"`
	// Reason says why it is in that phase, Node is the node that decided so, and ChangedAt is
	// when the reporting node received the decision.
	Reason    string    `json:"reason"`
	Node      string    `json:"node,omitempty"`
	ChangedAt time.Time `json:"changed"`
	// Era and Revision are the platform's when the order was read.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}
