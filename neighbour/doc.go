// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package neighbour selects the nodes with which a node exchanges control state: a few nodes of
// its own availability zone and a few of other zones. They change slowly, so that a node needs few
// connections while changes still reach every node.
//
// The traffic to other zones is bounded for a zone as a whole, so that it does not grow
// with the number of nodes. The package does no input or output and starts no goroutine.
package neighbour
