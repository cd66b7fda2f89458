// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package retryafter says when callers whose requests are refused had better come back.
//
// Upstreams that refuse a part of all requests, full or not, refuse one that comes back
// later as often as one that comes back at once. Upstreams that are full have room when
// the shortage ends, and what comes back before only takes the place of others.
package retryafter
