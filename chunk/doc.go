// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package chunk divides an encoded object into chunks that are identified by their digests, so that
// nodes can fetch a new version of the object from several others at once, and fetch only the
// chunks that differ from what they have.
//
// The boundaries between chunks depend on the content around them alone: a change moves no
// boundary far from it. See A. Muthitacharoen, B. Chen and D. Mazières, A low-bandwidth network
// file system, 2001. doi:10.1145/502034.502052. The rolling hash is the one of W. Xia et al.,
// FastCDC, 2016.
//
// Chunks are sent compressed and are stored so, as a node sends those that it has received to others.
package chunk
