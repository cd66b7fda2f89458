// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package tablefetch decides which parts of a table of routes a node requests from which other nodes, once it
// has received an offer of a later version.
//
// The table is fetched in chunks, from several nodes at once, some of which may have only a part of it
// themselves. What has been received stays: a transfer has no time limit, and ends when the table is complete, or
// when no node is left that makes progress. A version that is offered meanwhile is fetched afterwards; what both
// have in common is then there already.
//
// A State implements this for one node. It does no input or output, starts no goroutine and reads no clock.
package tablefetch
