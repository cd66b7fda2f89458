// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package gossip implements sets of versioned records that many nodes keep consistent.
//
// A Set holds the newest version of each record by key, and a hash tree
// over the records. Two nodes find the differences between their sets by comparing hashes
// from the root down, and then exchange only the records that differ. The contents of a
// set do not depend on the order of the records' arrival, nor on duplicates.
//
// The package does no input or output and starts no goroutine. It implements the
// anti-entropy of A. Demers et al., Epidemic algorithms for replicated database
// maintenance, 1987. doi:10.1145/41840.41841.
package gossip
