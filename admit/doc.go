// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package admit implements admission control: it decides which requests an upstream runs, which
// wait for a short time, and which are refused at once.
//
// A Gate controls the access to one upstream. Every request to that upstream passes through it,
// so its count of running requests is exact. It keeps five rules:
//
//   - At most as many requests run as the upstream has slots, or as the adaptive limit allows
//     when the upstream slows down.
//   - A request that can't start soon enough is refused at once, with an estimate of when to
//     retry.
//   - Waiting requests start in the order of start-time fair queueing over their classes, and no
//     class holds more than its share of the slots.
//   - If the limits say so, a request waits for the end of a slow period of its upstream if it is
//     expected to complete earlier that way.
//   - A waiting request can be revoked. Revoking and starting are mutually exclusive: exactly one
//     of them succeeds.
//
// The package does no input or output and starts no goroutine. It reads the time from package
// time only, so that testing/synctest controls it.
package admit
