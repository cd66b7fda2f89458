// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package neighbour chooses whom a node talks to about the control state: a few nodes in its
// own availability zone and a few elsewhere, which change slowly, so that few connections are
// needed and yet what each node knows comes to each other.
//
// What goes to other zones is bounded for a zone as a whole, so that its bytes don't grow
// with the nodes. The package does no input or output and starts no goroutine.
package neighbour
