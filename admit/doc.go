// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package admit decides which requests an upstream runs, which wait for a
// moment, and which are refused at once.
//
// A Gate stands before one upstream. Every request to that upstream passes
// through it, so its count of running requests is exact. It keeps five rules:
//
//   - Never more requests run than the upstream has slots, or than the
//     adaptive limit allows when the upstream slows down.
//   - A request that can't start soon enough is refused at once, with an
//     estimate of when to come back.
//   - Waiting requests start in the order of start-time fair queueing over
//     their classes, and no class holds more than its share of the slots.
//   - Where the limits say so, a request waits for the end of a slow spell of its
//     upstream if it is expected to end sooner for that.
//   - A waiting request can be revoked. Revoking and starting exclude each
//     other: exactly one of them wins.
//
// The package does no input or output and starts no goroutine. Time is read
// from package time only, so that testing/synctest controls it.
package admit
