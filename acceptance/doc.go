// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package acceptance holds the active configuration and the rules by which an
// operator's intent becomes active.
//
// The configuration of each service has a sequence that only grows. A node
// applies configurations with a higher sequence than its own and ignores others,
// so a configuration never reverts, whichever way and however late it arrives.
// The sequence is kept in one Accepted object of the platform for each service,
// which is changed by conditional updates only. Decide, a pure function, returns
// what to write.
package acceptance
