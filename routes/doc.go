// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package routes holds the whole configuration of a system as one versioned
// table: which route takes a request, which services a route leads to, and what
// each route allows.
//
// A Table is an immutable value. It is matched by host and by the longest path
// prefix. Whether a request may be repeated is said by its route, never by its
// method. A Splitter divides the requests of a route among its parts exactly.
//
// The package does no input or output and starts no goroutine.
package routes
