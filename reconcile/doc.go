// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package reconcile makes the sets of records that two nodes hold the same.
//
// An Exchange holds the set of one kind of record. It answers another node's questions, and With
// asks: first for the hashes of groups, then for what differs in these. What crosses grows with
// the differences and, for small sets, with a digest for each record. Package gossip has the
// sets, and the owner of an Exchange decides whom to ask, how often, and to whom changes are
// pushed.
package reconcile
