// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package control keeps a node's view of the system: which nodes there are,
// and which configuration is in force.
//
// One goroutine owns all of that state. It publishes immutable snapshots, which
// traffic reads without waiting, also while the platform hangs. Everything that
// waits, such as exchanges with peers and calls to the platform, runs in other
// goroutines that hand their results to the one that owns the state.
//
// What a node learns it pushes to a few random nodes, and once a second it
// compares its state with one of its neighbours. One node of each availability
// zone, its representative, talks to the platform: it accepts configurations, removes
// nodes that are gone and writes statuses. It holds a lease that saves
// calls; nothing breaks when two nodes think they hold it.
package control
