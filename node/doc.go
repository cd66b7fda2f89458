// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package node assembles the components of the system into the process that runs
// beside each upstream: the entry for callers, the gate of the upstream, and the
// control state.
//
// Run returns after a graceful shutdown: callers are sent to other nodes, the gate
// refuses new work and other nodes are notified, requests in flight complete as far
// as the drain timeout allows, and only then do connections close.
package node
