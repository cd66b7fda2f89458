// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package simnet simulates a network for tests on the clock of testing/synctest: instances
// whose links have a bandwidth, a latency and a first-in first-out queue, and connections
// whose ends have kernels. A kernel has buffers of bounded size, acknowledges what arrives
// whether or not its process reads it, and ends a connection with ETIMEDOUT once written data
// has been unacknowledged for a set time (TCP_USER_TIMEOUT, see RFC 5482), because the link is
// silent or because the receiver's buffer stays full.
//
// Tests can pause links, drop packets, suspend processes, power off instances, and reset or silence
// connections.
package simnet
