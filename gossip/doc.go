// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package gossip keeps sets of versioned records the same at many nodes.
//
// A Set holds records by key, the newest version of each, and a tree of hashes
// over them. Two nodes find where their sets differ by comparing hashes from the
// root down, and then exchange just the records that differ. The order in which
// records arrive, and how often, makes no difference to what a set holds.
//
// The package does no input or output and starts no goroutine. It is the
// anti-entropy of A. Demers et al., Epidemic algorithms for replicated database
// maintenance, 1987. doi:10.1145/41840.41841.
package gossip
