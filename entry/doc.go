// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package entry sends a caller's request to an upstream of its service: it
// picks one, sends a call to the node beside it, and decides on every further
// sending.
//
// A Dispatcher joins the pure decisions of packages route and retry with
// package peer. It never sends a request again that may have run, unless the
// request is idempotent and the service's budget has room. What it gives up on
// it returns at once, marked as given up, so that no hop nearer the caller
// tries again.
package entry
