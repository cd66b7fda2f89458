// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package contact lets nodes find one another at their start. Each node writes
// one small object that bears its peer address; a node that knows nobody lists
// them. An object that is already there as it should be is not written again, and
// one at whose address nobody answers for long is removed.
package contact
