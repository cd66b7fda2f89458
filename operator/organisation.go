// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

// Organisation is a node's report on an organisation that has a rate limit.
type Organisation struct {
	// Organisation is its name.
	Organisation string `json:"organisation"`
	// Rate, in requests per second, and Burst, in requests, are its rate limit over all nodes.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// LocalRate and TotalRate are the recently admitted requests per second, at the reporting
	// node and at all nodes.
	LocalRate float64 `json:"here"`
	TotalRate float64 `json:"all"`
	// RefusedOverLimit is the number of requests that the node has refused since its start because
	// the limit was reached. RefusedUnknown is the number refused because no coordinator responded
	// in time.
	RefusedOverLimit uint64 `json:"limited"`
	RefusedUnknown   uint64 `json:"unknown"`
}
