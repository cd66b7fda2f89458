// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package contact lets nodes find one another at their start. Some nodes write one
// small object each that bears their peer address; a node that knows nobody lists
// them. An object that is already there as it should be is not written again, and
// one at whose address nobody answers for long is removed.
package contact
