// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package reconcile reconciles the sets of records of two nodes (anti-entropy).
//
// An Exchange holds the set of one kind of record. It handles other nodes' queries. Reconcile
// queries another node: first for the hashes of groups, then for the differences within them. The
// traffic grows with the differences and, for small sets, by a digest for each record. Package gossip
// implements the sets. The owner of an Exchange decides which node to query, how often, and to
// which nodes changes are pushed.
package reconcile
