// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package coldstart bounds the requests that an upstream is sent while it is cold.
//
// An upstream that has just started, or has lost its caches, bears so many requests a
// second and ends at a rate well above that. All its requests pass through the gate beside
// it, so that the bound of that gate is the bound of all nodes together. It holds in any
// second, not in seconds of a clock: a bucket that is filled once a second lets twice as
// many through around the filling. An upstream may turn cold at any moment, with the
// requests of the last second behind it, so these are counted at all times.
//
// The package does no input or output and starts no goroutine.
package coldstart
