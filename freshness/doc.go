// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package freshness bounds the time for which a node's table of routes may have been out of date, so that it
// can refuse requests whose keys may have been revoked meanwhile.
//
// A Proof states that a version, and each later one, contains everything that the platform had acknowledged
// before a moment: the moment at which a read was sent to which the platform responded with that version.
// It is therefore irrelevant where the response was generated, and how long it took to arrive.
//
// Nodes send each other their proofs, by their own clocks. A node converts the moment to its own clock with a
// bound on the offset between the two. It learns the bound from a request that it sent to the other node and
// the clock reading in the reply: the reading was taken after the request had been sent. The bound can only
// make a proof older, so that a message that was delayed, or whose sender or receiver was suspended, never
// makes one younger. The assumptions are that the rates of two clocks differ by at most maxDrift, that clocks
// continue while an instance is suspended, and that nodes are honest.
//
// The package does no input or output, starts no goroutine and reads no clock.
package freshness
