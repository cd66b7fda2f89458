// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package boottime provides a clock that continues while the instance is suspended.
//
// The runtime's monotonic clock may stop during suspension, so that a resumed process would
// take its data for more recent than it is.
package boottime
