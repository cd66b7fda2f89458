// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package throttle limits the requests to an upstream that advertises how many requests per
// second it accepts from all nodes together.
//
// All requests to an upstream pass through the gate beside it, so that the limit of that gate
// is the limit of all nodes. The gate applies it twice: a token bucket paces the requests as
// they are admitted, and the count of the last seconds is checked again before each request is
// written, since a process that was paused between the two may write the requests of several
// seconds at once. Health checks have a limit of their own.
//
// The package does no input or output and starts no goroutine.
package throttle
