// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package operator

// Organisation is what a node tells an operator of an organisation that has a rate limit.
type Organisation struct {
	// Organisation is its name.
	Organisation string `json:"organisation"`
	// Rate and Burst are its limit, over all nodes together.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Here and All are the requests a second that were let in lately, at the node that
	// answers and at all nodes.
	LocalRate float64 `json:"here"`
	TotalRate float64 `json:"all"`
	// Limited are the requests that the node has refused since its start as the limit was
	// reached, and Unknown those that it refused as nobody told it in time.
	RefusedOverLimit uint64 `json:"limited"`
	RefusedUnknown   uint64 `json:"unknown"`
}
