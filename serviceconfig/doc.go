// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package serviceconfig makes what holds for a service from a table of routes: its classes, how its
// requests wait and are sent again, and what cold upstreams bear.
//
// A table says what callers need, such as priorities and objectives; how upstreams are used
// for that is decided here. The package does no input or output and starts no goroutine.
package serviceconfig
