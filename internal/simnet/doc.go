// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package simnet plays a network for tests on the clock of testing/synctest: instances
// whose links have a rate, a delay and a first-in first-out queue, and connections whose
// ends have kernels. A kernel has buffers of a bounded size, acknowledges what arrives
// whether or not its process reads it, and ends a connection with ETIMEDOUT once what was
// written has gone unacknowledged for a set time (TCP_USER_TIMEOUT, see RFC 5482), be it
// that the link is silent or that the receiver's buffer stays full.
//
// Tests have links fall silent, packets be lost, processes be suspended, instances lose
// their power and connections be reset.
package simnet
