// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package member holds the membership records of nodes: one record for each node
// with its upstream, written by that node only, and the rules by which records
// change and expire.
//
// A node takes a new, higher incarnation each time it starts. Within an incarnation it
// numbers the versions of its record. Of two versions every node keeps the newer
// one, so records may be lost, duplicated and reordered in transit. A node that has
// been silent for too long is removed by a tombstone, which a representative writes.
// A node that receives its own tombstone takes a higher incarnation and is live again.
package member
