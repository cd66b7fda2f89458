// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package coldstart limits the requests that an upstream is sent while it is cold.
//
// An upstream that has just started, or has lost its caches, can handle a number of requests
// per second and crashes at a rate well above that. All its requests pass through the gate beside
// it, so that the limit of that gate is the limit of all nodes together. The limit holds in any
// interval of one second, and not only in the seconds of a clock: a bucket that is refilled once
// a second lets twice as many through around the refill. An upstream may turn cold at any time,
// when it has just got the requests of the last second, so these are counted at all times.
//
// The package does no input or output and starts no goroutine.
package coldstart
