// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package quota bounds the requests of each organisation at all nodes together by its
// rate limit.
//
// Each node has a right to the same part of every rate limit. It deposits the right at one
// node, the home, with a short lease, and the home pools the rights that it holds into a
// token bucket for each organisation and grants tokens from them on demand. A node whose
// home does not answer deposits its right elsewhere, at itself if need be, once the lease
// has ended. A right is held at one place at any time, so that the buckets of all homes
// together never grow faster than one, whoever can't reach whom; no home is elected.
//
// The package does no input or output, starts no goroutine and reads no clock: it is given
// readings of the node's clock, as the time since any origin.
package quota
