// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package acceptance holds the configuration in force and the rules by which an
// operator's intent becomes it.
//
// The configuration of each service has a sequence that only grows. A node
// applies what has a higher sequence than what it holds and ignores the rest,
// so a configuration never reverts, whichever way and however late it arrives.
// The sequence is kept in one Accepted object of the platform for each service,
// changed by conditional updates only; deciding what to write is pure and here.
package acceptance
