// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package configsync decides when a node reads the configuration from the platform, so that every node gets
// each change in time and the number of reads does not grow with the number of nodes.
//
// One node, the leader, reads continuously. It sends the status of each read, with the version that it
// found, to a few others. These forward it, and a node with an older version fetches the later one from
// the sender. A node that has not received a status for a while reads by itself, as does each node that
// can't reach any other. It sends the status of its read as well, so that if the leader is gone or
// partitioned, a read by any other node suffices. There is no election and no lock: two leaders only cost
// reads, and without a leader the waits below bound the age of a node's configuration.
//
// The configuration has two parts that each read finds together: a table of routes, identified by its
// version, and the evacuated zones, identified by their resource version on the platform. The status
// also carries the platform's era, so that a node to which the platform does not respond learns of a
// new era.
//
// A State is one node's part of this. It does no input or output, starts no goroutine and reads no clock.
package configsync
