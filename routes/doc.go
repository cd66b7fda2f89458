// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package routes holds the whole configuration of a system as one versioned
// table of routes, services and limits.
//
// A Table is an immutable value. Requests are matched by host and by the longest
// path prefix. Whether a request may run more than once depends on its route, not
// on its method. A Splitter divides the requests of a route among its services
// exactly in proportion to their weights.
//
// The package does no I/O and starts no goroutines.
package routes
