// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package contact lets nodes find one another at their start, and again after they were
// parted.
//
// A Book holds the peer addresses of some nodes on the platform, one small object each. An
// object that is already there as it should be is not written again, and one at whose address
// nobody answers for long is removed. A Discovery decides when a node looks there, whom it
// learns from, and whether it writes itself in; what there is to learn is its Node's matter.
package contact
