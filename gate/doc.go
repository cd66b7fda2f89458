// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package gate guards the upstream beside this node: it takes calls from
// peers, admits, queues or refuses them, has the upstream run them, and sends
// the answers back.
//
// Every request to the upstream passes through its Gate, so the Gate knows the
// upstream's load exactly. What other nodes know of it they learn from the
// reports that the Gate puts on its answers, within the budget for watching.
package gate
