// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package freshness tells a node for how long its table of routes may have been out of
// date, so that it can refuse requests whose keys may have been revoked meanwhile.
//
// A Proof says that a version, and each later one, has all that the platform acknowledged
// before a moment: that at which a read was sent which the platform answered with it. Where
// the answer was made, and how long it was under way, do not matter then.
//
// Nodes tell each other of their proofs, by their own clocks. A node converts the moment to
// its own clock by a bound on the offset between the two, which it learns from a question
// that it asked the other and the clock reading in the reply: the reading was taken after
// the question had been sent. The bound only makes a proof older, so that a message that was
// delayed, or whose sender or receiver was suspended, never makes one younger. What is
// assumed is that the rates of two clocks differ by no more than maxDrift, that they go on
// while an instance is suspended, and that nodes tell the truth.
//
// The package does no input or output, starts no goroutine and reads no clock.
package freshness
