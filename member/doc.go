// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package member holds what nodes know of each other: one record for each node
// with its upstream, written by that node alone, and the rules by which records
// change and go.
//
// A node takes a new, higher incarnation each time it starts. Within it, it
// counts the versions of its record. Whoever hears two versions keeps the newer
// one, so records may be lost, repeated and reordered on the way. A record goes
// only by a tombstone that a representative writes after the node was silent for long;
// a node that reads its own tombstone takes a higher incarnation and is back.
package member
