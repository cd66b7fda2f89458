// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package configsync decides when a node reads the configuration from the platform, so
// that every node has each change in time and the reads do not grow with the number
// of nodes.
//
// One node, the leader, reads all the time. It tells a few others of each read, with
// the version that it found; they tell others, and a node that has an older version
// fetches the later one from the node that told it. A node that has not heard of a
// read for a while reads by itself, as does each node that can reach nobody. It tells
// of its read as well, so that where the leader is gone, or cut off, one of the others
// is enough. Nothing is elected or locked: two leaders cost reads, and without any
// the waits below bound the age of what a node has in force.
//
// The configuration is in two parts that each read finds together: a table of routes, by
// its version, and the evacuated zones, by the platform's Point. The platform's era goes with
// the news, so that a node that the platform does not answer hears that it has risen.
//
// A State is one node's part of this. It does no input or output, starts no goroutine
// and reads no clock.
package configsync
