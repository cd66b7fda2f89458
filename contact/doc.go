// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package contact lets nodes discover one another when they start, and again after a network
// partition.
//
// A Registry holds the peer addresses of some of the nodes; a PlatformRegistry keeps them on the
// platform, one small object each. An object that is up to date is not written again, and one at
// whose address no node answers for long is removed. A Discovery decides when a node reads the
// registry, which nodes it contacts, and whether it registers itself; what is fetched from
// them is up to its Node.
package contact
