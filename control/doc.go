// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package control maintains a node's view of the system: the known nodes and the
// active configuration.
//
// One goroutine owns this state. It publishes immutable snapshots, which the data path
// reads without blocking, even while the platform hangs. Everything that
// blocks, such as requests to peers and calls to the platform, runs on other
// goroutines that hand their results to the owner.
//
// A node pushes what it learns to a few random nodes, and once a second compares its
// state with a neighbour's (anti-entropy). One node of each availability
// zone, its representative, talks to the platform: it accepts configurations, removes
// failed nodes and writes statuses. It holds a lease, which only
// saves calls: the system stays correct while two nodes believe that they hold it.
package control
