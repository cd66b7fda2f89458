// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package boottime reads a clock that goes on while the instance is suspended.
//
// The runtime's monotonic clock may stand still then, so that a process that wakes up
// would take what it knew for younger than it is.
package boottime
