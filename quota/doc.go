// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quota enforces the rate limit of each organisation across all nodes.
//
// Each node owns an equal share of every rate limit. It delegates its share to one node, the
// coordinator, under a short lease. The coordinator pools the shares that it holds into a
// token bucket for each organisation and grants tokens from them on demand. A node whose
// coordinator does not respond delegates its share to another one, or to itself if need be,
// once the lease has expired. A share is held in one place at any time, so the buckets of all
// coordinators together never fill faster than a single one would, even if nodes can't reach
// each other. No coordinator is elected.
//
// The package does no input or output, starts no goroutine and reads no clock: it is given
// readings of the node's clock, as the time since any origin.
package quota
