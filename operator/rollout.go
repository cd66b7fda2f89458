// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

import "time"

// Rollout is what a node tells an operator of the roll-out of a version.
type Rollout struct {
	// Service is the service, and Version the one that is rolled out.
	Service string `json:"service"`
	Version string `json:"version"`
	// Phase is how far it is: trial, widened, moved, stopped, completed or rolledBack.
	Phase string `json:"phase"`
	// Share is the share of the requests, within 0 and 1, that the version gets.
	Share float64 `json:"share"`
	// Reason says why it is in that phase, Node which node decided so, and Changed when the
	// node that answers heard of it.
	Reason    string    `json:"reason"`
	Node      string    `json:"node,omitempty"`
	ChangedAt time.Time `json:"changed"`
	// Era and Revision are the platform's, at which the order was found.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}
