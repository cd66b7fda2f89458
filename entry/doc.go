// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package entry dispatches callers' requests to the upstreams of their services.
// It picks an upstream, sends a call to the node beside it, and decides whether
// to retry or hedge.
//
// A Dispatcher combines the decisions of packages route and retry with the
// connections of package peer. A request that may already have run is sent again
// only if it is idempotent and the service's retry budget has room. A request
// that the Dispatcher gives up on is returned at once and marked as given up, so
// that no hop nearer the caller retries it.
package entry
